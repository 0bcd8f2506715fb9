// Usual clients with their connections open, while bad clients send at full speed.
#include "rig.h"

using namespace rig;

namespace {

constexpr int bad_clients = 20;
constexpr double work_ms = 20;
constexpr double trouble_from_ms = 3000, trouble_until_ms = 9000, stop_sending_ms = 10000, end_ms = 22000;
constexpr double lost_after_ms =
    500 + 50;  // after the client's time: half a second, and the slack of sockets

struct Sent {
  double at = 0, answered_at = 0;
  Answer answer;
};

}  // namespace

int main(int count, char** arguments) {
  const Task task = task_of(count, arguments);
  Record record(task.record);
  std::atomic<int> forwarded{0};
  const auto invoked = [&](Server& server, const SocketPtr& connection, const Invoke& invoke) {
    record.line("%s: invoke %s", server.name.c_str(), invoke.id.c_str());
    ++forwarded;
    std::thread([=] {
      sleep_ms(work_ms);
      connection->write(invoke.id + " HIT remark=reused 4\r\ndone\r\n");
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
  settings.sockets = 1024;
  Router router(task.root, task.folder);
  router.write_configuration(configuration(settings, router.listen_port, free_port(), board));
  router.start();

  std::mutex mutex;
  std::map<int, Sent> requests;
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(std::make_unique<Client>(router.listen_port, [&](int number, const Answer& answer) {
      const std::lock_guard lock(mutex);
      Sent& request = requests[number];
      request.answered_at = answer.at;
      request.answer = answer;
      record.line("client: answer to %d after %.0f ms: status %d, protocol status %d%s", number,
                  answer.at - request.at, answer.status(), answer.protocol_status,
                  answer.lost ? ", connection ended" : "");
    }));
    if (!clients.back()->connected()) cannot_run("no connection to the router");
  }
  const double began = now_ms();
  BadClients bad;
  std::atomic<std::uint64_t> bad_sent{0};
  std::string bad_bytes;
  for (const std::string& burst : bursts_of_unknown_class(1'500)) bad_bytes += burst;
  bool began_bad = false, ended_bad = false;
  for (int number = 1; now_ms() < began + stop_sending_ms; ++number) {
    if (task.trouble && !began_bad && now_ms() > began + trouble_from_ms) {
      began_bad = true;
      record.line("%d bad clients begin", bad_clients);
      bad.start(bad_clients, [&](const std::atomic<bool>& over) {
        send_at_full_speed(router.listen_port, bad_bytes, over, bad_sent);
      });
    }
    if (began_bad && !ended_bad && now_ms() > began + trouble_until_ms) {
      ended_bad = true;
      bad.end();
      record.line("bad clients have ended: %llu times 60,000 requests",
                  static_cast<unsigned long long>(bad_sent));
    }
    {
      const std::lock_guard lock(mutex);
      requests[number].at = now_ms();
      record.line("client: sends %d", number);
    }
    // A client has at most 32 requests open on a connection.
    for (std::size_t i = 0; i < clients.size(); ++i) {
      Client& client = *clients[(static_cast<std::size_t>(number) + i) % clients.size()];
      if (!client.connected() || client.open() >= 32) {
        if (i + 1 == clients.size()) {
          const std::lock_guard lock(mutex);
          requests.erase(number);
          record.line("client: %d is not sent, all connections are full", number);
        }
        continue;
      }
      client.send(number,
                  usual_params(settings, request_id(static_cast<std::uint64_t>(number)),
                               request_id(static_cast<std::uint64_t>(number % 5 + 1)), 4),
                  "look");
      break;
    }
    sleep_ms(40);
  }
  bad.end();
  sleep_until_ms(began + end_ms);

  int served = 0, other = 0, lost = 0;
  double longest = 0;
  {
    const std::lock_guard lock(mutex);
    for (const auto& [number, request] : requests) {
      const double limit = request.at + settings.deadline_ms + lost_after_ms;
      const bool is_lost = request.answered_at == 0 || request.answer.lost || request.answered_at > limit;
      if (is_lost) {
        ++lost;
        record.line("request %d is lost: %s", number,
                    request.answered_at == 0 ? "no answer"
                    : request.answer.lost    ? "connection ended"
                                             : "answered late");
      } else {
        ++(request.answer.status() == 200 ? served : other);
      }
      if (request.answered_at != 0) longest = std::max(longest, request.answered_at - request.at);
    }
  }
  if (forwarded < 50) cannot_run("too few requests were forwarded");
  const std::string verdict = std::to_string(served) + " served, " + std::to_string(other) +
                              " refused or failed in time, " + std::to_string(lost) +
                              " lost; the longest took " + std::to_string(static_cast<int>(longest)) +
                              " ms of " + std::to_string(settings.deadline_ms);
  finish(router, record, lost > 0, verdict.c_str());
}
