// Numbered events whose first shot ends with an error. The second shot goes to a model server that has just
// joined, and the connections to it come up late.
#include "rig.h"

using namespace rig;

namespace {

constexpr int memory_span_ms = 1500;  // how long the model servers remember a mark
constexpr int slack_ms = 50;          // "each time limit is 50 ms longer"
constexpr int permitted_lateness_ms = 1000;
constexpr int warm_up_requests = 200;  // answered by HIT
constexpr int requests = 20;
constexpr double work_ms = 30, failing_work_ms = 900;
constexpr double joins_ms = 400, opens_ms = 1500, end_ms = 7000;  // after the first of the requests

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
  std::map<std::string, double> failed_at;  // when the first shot was answered by FAULT
};

std::string mark_of(const std::string& fields) {
  const std::size_t at = fields.find("replay=");
  return at == std::string::npos ? "" : fields.substr(at + 7, fields.find(',', at) - at - 7);
}
std::string mark_of_request(int number) { return "mark-" + std::to_string(number); }
bool first_shot_fails(const std::string& mark) { return std::atoi(mark.c_str() + 5) < 1000; }

// The way to a model server. While it is shut its queue is full, so that the system's first try to connect
// gets no answer and the second one, a second later, does.
class Door {
 public:
  Door(int server_port, bool shut) : server_port_(server_port), listener_(listen_on(port_, shut ? 0 : 4096)) {
    if (shut) {
      filler_ = connect_to(port_);
    } else {
      open();
    }
  }
  int port() const { return port_; }
  void open() {
    ::listen(listener_, 4096);
    std::thread([this] {
      for (int fd = 0; (fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const int server = connect_to(server_port_);
        std::thread(pass, fd, server).detach();
        std::thread(pass, server, fd).detach();
      }
    }).detach();
  }

 private:
  static void pass(int from, int to) {
    char buffer[65536];
    for (ssize_t got = 0; (got = ::recv(from, buffer, sizeof buffer, 0)) > 0;) {
      if (!write_all(to, {buffer, static_cast<std::size_t>(got)})) break;
    }
    ::shutdown(to, SHUT_WR);
  }
  int server_port_, port_ = 0, listener_, filler_ = -1;
};

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
    std::thread([=, &record, &group, name = server.name] {
      sleep_ms(fails ? failing_work_ms : work_ms);
      if (fails) {
        const std::lock_guard lock(group.mutex);
        group.failed_at[mark] = now_ms();
      }
      record.line("%s: answers %s with %s", name.c_str(), invoke.id.c_str(), fails ? "FAULT" : "HIT");
      connection->write(invoke.id + (fails ? " FAULT - 0\r\n\r\n" : " HIT remark=reused 4\r\ndone\r\n"));
    }).detach();
  };
  Server old_server("s-0", invoked), new_server("s-1", invoked);
  Door door(new_server.port(), task.trouble);
  Board board;
  board.tell(host(old_server.name, old_server.port()), true);

  Settings settings;
  settings.name = "berth-hold";
  settings.effect = "guarded";
  settings.group = "all";
  settings.memory_span_ms = memory_span_ms;
  settings.aim_ms = 3000;
  settings.deadline_ms = 6000;
  settings.connect_timeout_ms = 1500;
  Router router(task.root, task.folder);
  router.write_configuration(configuration(settings, router.listen_port, free_port(), board));
  router.start();

  Client client(router.listen_port, [&](int number, const Answer& answer) {
    record.line("client: answer to %s: status %d, protocol status %d%s", mark_of_request(number).c_str(),
                answer.status(), answer.protocol_status, answer.lost ? ", connection ended" : "");
  });
  if (!client.connected()) cannot_run("no connection to the router");
  const auto send = [&](int number) {
    Params params = usual_params(settings, request_id(static_cast<std::uint64_t>(number)),
                                 request_id(static_cast<std::uint64_t>(number % 5 + 1)), 4);
    params.emplace_back("HTTP_X_UNIQUE", mark_of_request(number));
    record.line("client: sends %s", mark_of_request(number).c_str());
    client.send(number, params, "hold");
  };
  for (int number = 1000; number < 1000 + warm_up_requests; ++number) send(number), sleep_ms(10);
  sleep_ms(300);

  const double began = now_ms();
  for (int number = 1; number <= requests; ++number) send(number), sleep_ms(5);
  sleep_until_ms(began + joins_ms);
  board.tell(host(new_server.name, door.port(), "active", unix_ms()), false);
  record.line("s-1 joins%s", task.trouble ? "; connections to it do not come up for now" : "");
  sleep_until_ms(began + opens_ms);
  if (task.trouble) {
    record.line("connections to s-1 come up again");
    door.open();
  }
  sleep_until_ms(began + end_ms);

  int sent_too_late = 0, run_twice = 0, sent_again = 0, excused = 0;
  {
    const std::lock_guard lock(group.mutex);
    for (const auto& [mark, arrivals] : group.arrivals) {
      if (arrivals.size() < 2) continue;
      ++sent_again;
      int runs = 0;
      bool late = false;
      for (const Arrival& arrival : arrivals) {
        runs += arrival.ran_anew;
        late |= arrival.at > arrivals.front().at + memory_span_ms + slack_ms;
      }
      // From the end of the first shot to the arrival of the second: no longer than a connection may be late.
      const double lateness = arrivals[1].at - group.failed_at[mark];
      record.line(
          "%s: first shot at %.1f, second one %.1f later, %.1f after the first one's end; run %d times",
          mark.c_str(), arrivals[0].at, arrivals[1].at - arrivals[0].at, lateness, runs);
      if (late && lateness > permitted_lateness_ms + slack_ms) {
        ++excused;
        continue;
      }
      sent_too_late += late;
      run_twice += runs > 1;
    }
    if (sent_again == 0) cannot_run("no event was sent again");
  }
  const std::string verdict = std::to_string(sent_again) + " events sent again, " +
                              std::to_string(sent_too_late) +
                              " of them after the time that their mark is remembered, " +
                              std::to_string(run_twice) + " events run twice; " + std::to_string(excused) +
                              " not counted, their connections were later than permitted";
  finish(router, record, sent_too_late > 0, verdict.c_str());
}
