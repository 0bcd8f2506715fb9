#include "scale/size.h"

#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "emulator/network.h"

namespace rushhill::scale {
namespace {

constexpr Time second = 10'000;       // tenths of a millisecond
constexpr Time latency = 5;           // time from one router to another
constexpr Time loading = 3 * second;  // until instances that were asked for stand
constexpr int at_once = 4;            // instances of a server that are asked for together

struct NoPeers final : core::Peers {
  void tell(int, const std::string&) override {}
} no_peers;

// At least one of each function while there are enough, the rest by the part of the calls; at servers by
// chance.
void place(HollowServers& servers, const Size& size, emulator::Network& network) {
  std::ranlux24_base chance(1);
  Calls calls(size.sizes, 2);
  const std::vector<core::RosterEntry> list = servers.list();
  std::map<std::pair<std::size_t, int>, int> copies;
  for (int i = 0; i < size.instances; ++i) {
    const int function = i < size.sizes.functions ? i : calls.next();
    const std::size_t at = chance() % list.size();
    servers.at(list[at].server.id)
        .hold(servers.function(function_name(function)), ++copies[{at, function}], [](standin::Fate, int) {});
    if ((i + 1) % (size.sizes.servers * at_once) == 0) network.run_until(network.now() + loading);
  }
  network.run_until(network.now() + loading);
}

struct Running {
  explicit Running(const Size& told)
      : size(told), servers(network, told.sizes.servers, told.sizes.functions), calls(told.sizes, 1) {
    place(servers, size, network);
    next = static_cast<double>(network.now());
    Deployment deployment = deployment_of(size.sizes);
    for (int i = 0; i < size.routers; ++i) {
      deployment.me = i;
      routers.push_back(
          std::make_unique<HollowRouter>(deployment, servers, no_peers, static_cast<std::uint64_t>(i) + 1));
      routers.back()->gateway().roster(RosterForm::complete, servers.list());
    }
  }
  // Clients choose a router by turns.
  void pass(Time span) {
    const Time until = network.now() + span;
    const double rate = size.sizes.requests * static_cast<double>(routers.size());
    for (; next < static_cast<double>(until); next += static_cast<double>(second) / rate) {
      network.run_until(static_cast<Time>(next));
      const int function = calls.next();
      routers[static_cast<std::size_t>(number) % routers.size()]->request(function_name(function), number);
      ++number;
    }
    network.run_until(until);
  }
  Figures counted(Counter& counter) {
    pass(size.lead);
    core::Tally start = tally();
    const std::int64_t answered_before = answered(), in_time_before = in_time();
    const double cpu = user_ns();
    Meter meter(counter);
    meter.begin();
    pass(size.measured);
    meter.end();
    const auto count = static_cast<double>(routers.size());
    const double seconds = static_cast<double>(size.measured) / static_cast<double>(second) * count;
    const core::Tally ended = tally();
    Figures found{{"instructions", meter.sum() / seconds}, {"user ns", (user_ns() - cpu) / seconds}};
    found["requests"] = static_cast<double>(ended.taken - start.taken) / seconds;
    found["attempts a request"] =
        static_cast<double>(ended.shots - start.shots) / static_cast<double>(ended.taken - start.taken);
    found["answered"] =
        static_cast<double>(answered() - answered_before) / static_cast<double>(ended.taken - start.taken);
    found["in time"] =
        static_cast<double>(in_time() - in_time_before) / static_cast<double>(ended.taken - start.taken);
    double standing = 0;
    for (const core::RosterEntry& entry : servers.list()) {
      for (const auto& [name, copies] : servers.at(entry.server.id).standing()) standing += copies;
    }
    found["instances standing"] = standing;
    found["overdue"] = static_cast<double>(ended.overdue);
    found["peak resident"] = peak_resident_bytes();
    const double held = allocated_bytes();
    routers.clear();
    found["bytes"] = (held - allocated_bytes()) / count;
    return found;
  }
  core::Tally tally() {
    core::Tally sum;
    for (const auto& router : routers) {
      const core::Tally& one = router->gateway().tally();
      sum.taken += one.taken, sum.shots += one.shots, sum.overdue += one.overdue;
    }
    return sum;
  }
  std::int64_t answered() const {
    std::int64_t sum = 0;
    for (const auto& router : routers) sum += router->answered;
    return sum;
  }
  std::int64_t in_time() const {
    std::int64_t sum = 0;
    for (const auto& router : routers) sum += router->in_time;
    return sum;
  }

  Size size;
  emulator::Network network{latency};
  HollowServers servers;
  Calls calls;
  double next = 0;
  EventId number = 0;
  std::vector<std::unique_ptr<HollowRouter>> routers;
};

}  // namespace

Figures run_at(const Size& size, Counter& counter) {
  Running running(size);
  return running.counted(counter);
}

}  // namespace rushhill::scale
