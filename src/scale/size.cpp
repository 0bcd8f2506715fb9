#include "scale/size.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "core/endpoint_list_source.h"
#include "core/peer_messenger.h"
#include "emulator/network.h"
#include "routing/configuration.h"

namespace rushhill::scale {
namespace {

constexpr Time second = 10'000;       // tenths of a millisecond
constexpr Time latency = 5;           // time from one router to another
constexpr Time loading = 3 * second;  // until instances that were asked for stand
constexpr double most_bad = 0.01;     // of a second's requests, late or given up; more is a bad second
constexpr int at_once = 4;            // instances of a server that are asked for together

struct NoPeers final : core::PeerMessenger {
  void send(int, const std::string&) override {}
} no_peers;

// At least one of each function while there are enough, the rest by the part of the calls; at servers by
// chance.
void place(HollowServers& servers, const Size& size, emulator::Network& network) {
  std::ranlux24_base chance(1);
  Calls calls(size.sizes, 2);
  const std::vector<core::EndpointListEntry> list = servers.list();
  std::map<std::pair<std::size_t, int>, int> copies;
  for (int i = 0; i < size.instances; ++i) {
    const int function = i < size.sizes.functions ? i : calls.next();
    const std::size_t at = chance() % list.size();
    servers.at(list[at].endpoint.id)
        .prewarm(servers.function(function_name(function)), ++copies[{at, function}],
                 [](simulation::JobOutcome, int) {});
    if ((i + 1) % (size.sizes.servers * at_once) == 0) network.run_until(network.now() + loading);
  }
  network.run_until(network.now() + loading);
}

struct Running {
  explicit Running(const Size& of)
      : size(of), servers(network, of.sizes.servers, of.sizes.functions), calls(of.sizes, 1) {
    place(servers, size, network);
    next = static_cast<double>(network.now());
    for (int i = 0; i < size.routers; ++i) routers.push_back(router(i));
  }
  std::unique_ptr<HollowRouter> router(int me) {
    RoutingConfiguration deployment = deployment_of(size.sizes);
    deployment.router_number = me;
    deployment.location = location_of(me);
    deployment.retries.cancel_attempts = true;  // an attempt at a silent machine is given up
    deployment.connect_timeout = to_duration(connect_limit);
    auto made =
        std::make_unique<HollowRouter>(deployment, servers, no_peers, static_cast<std::uint64_t>(++lives));
    made->gateway().endpoints_updated(EndpointListForm::complete, list());
    return made;
  }
  // As discovery tells it, which may be late.
  std::vector<core::EndpointListEntry> list() const {
    std::vector<core::EndpointListEntry> all = servers.list();
    for (core::EndpointListEntry& entry : all) {
      if (const auto it = told.find(entry.endpoint.id); it != told.end()) entry = it->second;
    }
    return all;
  }
  void tell(const std::vector<core::EndpointListEntry>& changes) {
    for (const core::EndpointListEntry& entry : changes) told[entry.endpoint.id] = entry;
    for (const auto& one : routers) one->gateway().endpoints_updated(EndpointListForm::delta, changes);
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
    core::Counters start = tally();
    const auto before = standings();
    const double cpu = user_ns();
    Meter meter(counter);
    meter.begin();
    pass(size.measured);
    meter.end();
    const auto count = static_cast<double>(routers.size());
    const double seconds = static_cast<double>(size.measured) / static_cast<double>(second) * count;
    const core::Counters stop = tally();
    Figures found{{"instructions", meter.sum() / seconds}, {"user ns", (user_ns() - cpu) / seconds}};
    found["requests"] = static_cast<double>(stop.accepted - start.accepted) / seconds;
    found["attempts a request"] = static_cast<double>(stop.attempts - start.attempts) /
                                  static_cast<double>(stop.accepted - start.accepted);
    const auto requests = static_cast<double>(stop.accepted - start.accepted);
    const auto after = standings();
    const auto part = [&](std::size_t which) { return static_cast<double>(after[which] - before[which]); };
    found["answered"] = part(0) / requests;
    found["in time"] = part(1) / requests;
    found["cold"] = part(3) / requests;
    if (part(3) > 0) found["cold within 0.45 s"] = part(4) / part(3);
    double standing = 0;
    for (const core::EndpointListEntry& entry : servers.list()) {
      for (const auto& [name, copies] : servers.at(entry.endpoint.id).instance_counts()) standing += copies;
    }
    found["instances standing"] = standing;
    found["overdue"] = static_cast<double>(stop.expired);
    found["peak resident"] = peak_resident_bytes();
    const double held = allocated_bytes();
    routers.clear();
    found["bytes"] = (held - allocated_bytes()) / count;
    return found;
  }
  // Answered, in time, given up, cold, cold in time.
  std::array<std::int64_t, 5> standings() const {
    return {sum(&HollowRouter::answered), sum(&HollowRouter::in_time), sum(&HollowRouter::given_up),
            sum(&HollowRouter::cold), sum(&HollowRouter::cold_in_time)};
  }
  double open() const {
    std::size_t sum = 0;
    for (const auto* all : {&routers, &ended}) {
      for (const auto& router : *all) sum += router->gateway().open_requests();
    }
    return static_cast<double>(sum);
  }
  core::Counters tally() const {
    core::Counters sum;
    for (const auto* all : {&routers, &ended}) {
      for (const auto& router : *all) {
        const core::Counters& one = router->gateway().tally();
        sum.accepted += one.accepted, sum.attempts += one.attempts, sum.expired += one.expired;
      }
    }
    return sum;
  }
  std::int64_t sum(std::int64_t HollowRouter::*which) const {
    std::int64_t total = 0;
    for (const auto& one : routers) total += (*one).*which;
    for (const auto& one : ended) total += (*one).*which;
    return total;
  }

  Size size;
  emulator::Network network{latency};
  HollowServers servers;
  Calls calls;
  double next = 0;
  RequestId number = 0;
  int lives = 0;
  std::map<EndpointId, core::EndpointListEntry> told;  // what is no more as it was at the start
  std::vector<std::unique_ptr<HollowRouter>> routers;
  std::vector<std::unique_ptr<HollowRouter>>
      ended;  // by a restart: they answer what they had, and take nothing
};

}  // namespace

Figures run_at(const Size& size, Counter& counter) {
  Running running(size);
  return running.counted(counter);
}

// An ordinary day's failures, a rack, a zone, the same untold, the regions apart, a zone's routers at once.
std::vector<Fault> faults(const Size& size) {
  constexpr Time minute = 60 * second, late = second;
  constexpr int zones = 6, rack = 40;
  const int zone = (size.sizes.servers + zones - 1) / zones;
  using enum Fault::Kind;
  return {
      {"3 servers", servers, 0, std::max(size.sizes.servers / 3, 1), 3, minute, late},
      {"a rack of 40", servers, 0, 1, rack, minute, late},
      {"a zone, lost and back", servers, 0, zones, zone, minute, late},
      {"a zone, and discovery down", servers, 0, zones, zone, minute, 0},
      {"regions apart for 5 min", regions_apart, 0, 1, 0, 5 * minute, 0},
      {"a zone's routers restarted", routers_restart, 0, zones, (size.routers + zones - 1) / zones, late, 0}};
}

Figures run_fault(const Size& size, const Fault& fault, Counter& counter) {
  Running running(size);
  running.pass(size.lead);
  const std::vector<core::EndpointListEntry> list = running.servers.list();
  std::vector<core::EndpointListEntry> gone, back;
  for (int i = 0; fault.kind == Fault::Kind::servers && i < fault.count; ++i) {
    const auto at = static_cast<std::size_t>(fault.first + i * fault.every);
    if (at < list.size()) gone.push_back(list[at]);
  }
  back = gone;
  for (core::EndpointListEntry& entry : gone) entry.endpoint.state = EndpointState::removed;
  const Time begins = running.network.now(), ends = begins + fault.span;
  const Time told_at = fault.told_after > 0 ? begins + fault.told_after : 0;
  const auto begin = [&](bool on) {
    for (core::EndpointListEntry& entry : back) {
      if (on) running.servers.stop(entry.endpoint.id);
      if (!on)
        running.servers.start(entry.endpoint.id),
            entry.endpoint.started = to_timestamp(running.network.now());
    }
    if (fault.kind == Fault::Kind::regions_apart) running.servers.part_regions(on);
    for (int i = 0; fault.kind == Fault::Kind::routers_restart && !on && i < fault.count; ++i) {
      const auto at = static_cast<std::size_t>(fault.first + i * fault.every);
      if (at >= running.routers.size()) continue;
      running.ended.push_back(std::exchange(running.routers[at], running.router(static_cast<int>(at))));
    }
  };
  const auto first = running.standings();
  const core::Counters tally = running.tally();
  auto before = first;
  RequestId sent = running.number;
  double dearest = 0, seconds_bad = 0;
  const double open = running.open();
  begin(true);
  for (Time at = begins; at < ends + size.measured; at += second) {
    if (at == ends) begin(false);
    if (told_at > 0 && at == told_at) running.tell(gone);
    if (told_at > 0 && at == ends + fault.told_after) running.tell(back);
    Meter meter(counter);
    meter.begin();
    running.pass(second);
    meter.end();
    dearest = std::max(dearest, meter.sum() / static_cast<double>(running.routers.size()));
    const auto now = running.standings();
    // Answered late or given up in that second, whenever they were asked.
    const auto bad = static_cast<double>((now[0] - now[1]) - (before[0] - before[1]) + now[2] - before[2]);
    if (bad > most_bad * static_cast<double>(running.number - sent))
      seconds_bad = static_cast<double>(at + second - begins) / static_cast<double>(second);
    before = now, sent = running.number;
  }
  running.pass(2 * second + second);  // what is open ends by its deadline
  const auto last = running.standings();
  const core::Counters after = running.tally();
  const auto asked = static_cast<double>(after.accepted - tally.accepted);
  Figures found{{"requests", asked},
                {"late", static_cast<double>(last[0] - first[0] - (last[1] - first[1]))},
                {"unanswered", asked + open - running.open() -
                                   static_cast<double>(last[0] - first[0] + last[2] - first[2])},
                {"given up", static_cast<double>(last[2] - first[2])},
                {"attempts a request", static_cast<double>(after.attempts - tally.attempts) / asked},
                {"last bad second", seconds_bad},
                {"overdue", static_cast<double>(after.expired - tally.expired)},
                {"peak resident", peak_resident_bytes()},
                {"instructions, dearest second", dearest}};
  return found;
}

}  // namespace rushhill::scale
