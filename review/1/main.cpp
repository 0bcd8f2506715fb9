// Numbered events whose first shot ends with an error, while a few bad clients send at full speed.
#include "rig.h"

using namespace rig;

namespace {

constexpr int memory_span_ms = 5000;      // how long the model servers remember a mark
constexpr int slack_ms = 50;              // "each time limit is 50 ms longer"
constexpr int warm_up_requests = 200;     // answered by HIT
constexpr int rounds = 3, requests = 40;  // requests a round
constexpr int every_so_many_fail = 4;
constexpr double work_ms = 30, failing_work_ms = 500;
constexpr int bad_clients = 2;
constexpr double trouble_from_ms = 250, trouble_until_ms = 5800, end_ms = 9500;

struct Arrival {
  double at = 0;
  std::string server;
  bool ran_anew = false;
};

// What the model servers of the group know together: they drop a repeat for `memory_span_ms`.
struct Group {
  std::mutex mutex;
  std::map<std::string, double> ran_at;  // by mark
  std::map<std::string, std::vector<Arrival>> arrivals;
};

std::string mark_of(const std::string& fields) {
  const std::size_t at = fields.find("replay=");
  return at == std::string::npos ? "" : fields.substr(at + 7, fields.find(',', at) - at - 7);
}
std::string mark_of_request(int number) { return "mark-" + std::to_string(number); }
bool first_shot_fails(const std::string& mark) {
  const int number = std::atoi(mark.c_str() + 5);
  return number < 1000 && number % every_so_many_fail == 0;
}

}  // namespace

int main(int count, char** arguments) {
  const Task task = task_of(count, arguments);
  Record record(task.record);
  Group group;
  const auto invoked = [&](Server& server, const SocketPtr& connection, const Invoke& invoke) {
    const std::string mark = mark_of(invoke.fields);
    bool first = false;
    {
      const std::lock_guard lock(group.mutex);
      auto& arrivals = group.arrivals[mark];
      first = arrivals.empty();
      const auto ran = group.ran_at.find(mark);
      const bool anew = ran == group.ran_at.end() || now_ms() - ran->second > memory_span_ms;
      if (anew) group.ran_at[mark] = now_ms();
      arrivals.push_back({now_ms(), server.name, anew});
      record.line("%s: invoke %s %s: %s", server.name.c_str(), invoke.id.c_str(), mark.c_str(),
                  anew ? "runs" : "a repeat, dropped");
    }
    const bool fails = first && first_shot_fails(mark);
    std::thread([=, &record, name = server.name] {
      sleep_ms(fails ? failing_work_ms : work_ms);
      record.line("%s: answers %s with %s", name.c_str(), invoke.id.c_str(), fails ? "FAULT" : "HIT");
      connection->write(invoke.id + (fails ? " FAULT - 0\r\n\r\n" : " HIT remark=reused 4\r\ndone\r\n"));
    }).detach();
  };
  std::vector<std::unique_ptr<Server>> servers;
  std::string hosts;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<Server>("s-" + std::to_string(i), invoked));
    hosts += (i == 0 ? "" : ",") + host(servers.back()->name, servers.back()->port());
  }
  Board board;
  board.tell(hosts, true);

  Settings settings;
  settings.name = "berth-hold";
  settings.effect = "guarded";
  settings.group = "all";
  settings.memory_span_ms = memory_span_ms;
  settings.aim_ms = 4000;
  settings.deadline_ms = 8000;
  Router router(task.root, task.folder);
  router.write_configuration(configuration(settings, router.listen_port, free_port(), board));
  router.start();

  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(std::make_unique<Client>(router.listen_port, [&](int number, const Answer& answer) {
      record.line("client: answer to %s: status %d, protocol status %d%s", mark_of_request(number).c_str(),
                  answer.status(), answer.protocol_status, answer.lost ? ", connection ended" : "");
    }));
    if (!clients.back()->connected()) cannot_run("no connection to the router");
  }
  const auto send = [&](int number) {
    Params params = usual_params(settings, request_id(static_cast<std::uint64_t>(number)),
                                 request_id(static_cast<std::uint64_t>(number % 5 + 1)), 4);
    params.emplace_back("HTTP_X_UNIQUE", mark_of_request(number));
    record.line("client: sends %s", mark_of_request(number).c_str());
    clients[static_cast<std::size_t>(number % 4)]->send(number, params, "hold");
  };
  std::string bad_bytes;
  for (const std::string& burst : bursts_of_unknown_class(1'500)) bad_bytes += burst;
  for (int round = 0; round < rounds; ++round) {
    const int first_warm_up = 1000 + round * warm_up_requests;
    for (int i = 0; i < warm_up_requests; ++i) send(first_warm_up + i), sleep_ms(10);
    sleep_ms(300);
    const double began = now_ms();
    for (int i = 1; i <= requests; ++i) send(round * 100 + i), sleep_ms(5);
    sleep_until_ms(began + trouble_from_ms);
    BadClients bad;
    std::atomic<std::uint64_t> bad_sent{0};
    if (task.trouble) {
      record.line("%d bad clients begin", bad_clients);
      bad.start(bad_clients, [&](const std::atomic<bool>& over) {
        send_at_full_speed(router.listen_port, bad_bytes, over, bad_sent);
      });
    }
    sleep_until_ms(began + trouble_until_ms);
    bad.end();
    record.line("bad clients have ended: %llu times 60,000 requests",
                static_cast<unsigned long long>(bad_sent));
    sleep_until_ms(began + end_ms);
  }

  int sent_too_late = 0, run_twice = 0, sent_again = 0;
  {
    const std::lock_guard lock(group.mutex);
    for (const auto& [mark, arrivals] : group.arrivals) {
      int runs = 0;
      bool late = false;
      for (const Arrival& arrival : arrivals) {
        runs += arrival.ran_anew;
        // The first shot has run: it was answered by HIT or FAULT, or has no answer yet.
        late |= arrival.at > arrivals.front().at + memory_span_ms + slack_ms;
      }
      sent_again += arrivals.size() > 1;
      sent_too_late += late;
      run_twice += runs > 1;
      if (late)
        record.line("%s: first shot at %.1f, last one at %.1f, run %d times", mark.c_str(),
                    arrivals.front().at, arrivals.back().at, runs);
    }
    if (group.arrivals.size() < warm_up_requests) cannot_run("too few requests were forwarded");
  }
  const std::string verdict = std::to_string(sent_again) + " events sent again, " +
                              std::to_string(sent_too_late) +
                              " of them after the time that their mark is remembered, " +
                              std::to_string(run_twice) + " events run twice";
  finish(router, record, sent_too_late > 0, verdict.c_str());
}
