// Bad clients send hundreds of requests at once, with bodies of the length that the protocol permits, to a
// router with the memory and descriptors of a small one. The platform kills a router that is over its memory.
#include "rig.h"

using namespace rig;

namespace {

constexpr int memory_mb = 32, sockets = 256;  // the least that the pages name
constexpr int bad_clients = 100, requests_at_once = 300;
constexpr std::size_t body_bytes = 16 * 1024;
constexpr double work_ms = 50, error_ms = 5;
constexpr double trouble_from_ms = 3000, trouble_until_ms = 8000, end_ms = 12000;

// Requests that can be read and name a function that no model server knows.
std::string burst_of_unknown_functions(const Settings& settings, std::uint64_t client, std::uint64_t burst) {
  const std::string body(body_bytes, 'b');
  std::string bytes;
  for (std::uint64_t i = 0; i < requests_at_once; ++i) {
    const std::uint64_t number = burst * requests_at_once + i;
    const std::string id = request_id(0xbad0000000000000ULL | client << 32U | number);
    bytes += request_records(static_cast<int>(number % 60'000 + 1),
                             usual_params(settings, id, id, body.size()), body);
  }
  return bytes;
}

}  // namespace

int main(int count, char** arguments) {
  const Task task = task_of(count, arguments);
  Record record(task.record);
  std::atomic<int> bad_forwarded{0}, good_forwarded{0};
  const auto invoked = [&](Server&, const SocketPtr& connection, const Invoke& invoke) {
    const bool known = invoke.fields.find("thing=bad") == std::string::npos;
    ++(known ? good_forwarded : bad_forwarded);
    std::thread([=] {
      sleep_ms(known ? work_ms : error_ms);
      connection->write(invoke.id + (known ? " HIT remark=reused 4\r\ndone\r\n" : " FAULT - 0\r\n\r\n"));
    }).detach();
  };
  std::vector<std::unique_ptr<Server>> servers;
  std::string hosts;
  for (int i = 0; i < 12; ++i) {
    servers.push_back(std::make_unique<Server>("s-" + std::to_string(i), invoked));
    hosts += (i == 0 ? "" : ",") + host(servers.back()->name, servers.back()->port());
  }
  Board board;
  board.tell(hosts, true);

  Settings settings;
  settings.memory_mb = memory_mb;
  settings.sockets = sockets;
  Router router(task.root, task.folder);
  router.write_configuration(configuration(settings, router.listen_port, free_port(), board));
  router.start();
  const pid_t pid = router.pid();
  std::atomic<long> peak_kb{0};
  std::atomic<bool> killed{false};
  // The platform. Memory of the program's own text and libraries is not counted.
  std::thread([&, pid] {
    while (!killed) {
      const long now_kb = status_kb(pid, "RssAnon");
      if (now_kb > peak_kb) peak_kb = now_kb;
      if (now_kb > memory_mb * 1024L) {
        record.line("platform: %ld kB of memory in use, over %d MB: the router is killed", now_kb, memory_mb);
        ::kill(pid, SIGKILL);
        killed = true;
      }
      sleep_ms(2);
    }
  }).detach();

  std::atomic<int> answered{0}, lost{0};
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(std::make_unique<Client>(router.listen_port, [&](int number, const Answer& answer) {
      record.line("client: request %d: status %d, protocol status %d%s", number, answer.status(),
                  answer.protocol_status, answer.lost ? ", connection ended" : "");
      ++(answer.lost ? lost : answered);
    }));
    if (!clients.back()->connected()) cannot_run("no connection to the router");
  }
  const double began = now_ms();
  BadClients bad;
  std::atomic<std::uint64_t> bad_sent{0}, bad_number{0};
  bool began_bad = false;
  int number = 0;
  while (now_ms() < began + end_ms && !killed) {
    if (task.trouble && !began_bad && now_ms() > began + trouble_from_ms) {
      began_bad = true;
      record.line("%d bad clients begin, each with %d requests at once; %ld kB of memory in use", bad_clients,
                  requests_at_once, status_kb(pid, "RssAnon"));
      bad.start(bad_clients, [&](const std::atomic<bool>& over) {
        const std::uint64_t client = ++bad_number;
        send_again_when_turned_away(
            router.listen_port,
            [&](std::uint64_t burst) { return burst_of_unknown_functions(settings, client, burst); },
            requests_at_once, over, bad_sent);
      });
    }
    if (began_bad && now_ms() > began + trouble_until_ms) {
      bad.end();
      if (!killed) record.line("bad clients have ended");
    }
    ++number;
    record.line("client: sends request %d", number);
    clients[static_cast<std::size_t>(number % 4)]->send(
        number,
        usual_params(settings, request_id(static_cast<std::uint64_t>(number)),
                     request_id(static_cast<std::uint64_t>(number % 8 + 1)), body_bytes),
        std::string(body_bytes, 'g'));
    sleep_ms(20);
  }
  bad.end();
  sleep_ms(500);
  record.line("bad requests sent: %llu, forwarded: %d; usual ones forwarded: %d",
              static_cast<unsigned long long>(bad_sent), bad_forwarded.load(), good_forwarded.load());
  int status = 0;
  const bool crashed = !killed && router.ended(status);
  const std::string verdict = "peak of memory " + std::to_string(peak_kb) + " kB, permitted " +
                              std::to_string(memory_mb * 1024) +
                              " kB; usual requests: " + std::to_string(answered) + " answered, " +
                              std::to_string(lost) + " lost" + (crashed ? "; the router has ended" : "");
  if (good_forwarded < 50) cannot_run("too few requests were forwarded");
  finish(router, record, killed || crashed, verdict.c_str());
}
