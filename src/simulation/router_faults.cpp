#include "simulation/router_faults.h"

#include <cstdint>
#include <vector>

#include "simulation/random_draws.h"

namespace rushhill::simulation {
namespace {

using enum FaultKind;

constexpr std::uint64_t seed_mask = 0x5eed;  // draws other numbers than the rest of the day does
constexpr double ticks_per_second = 10'000;
constexpr Time quiet_end = 30'000;  // tenths of a millisecond, so that every router is back and connected

// Seconds.
constexpr double shortest_gap = 0.5;
constexpr double earliest_start = 1;
constexpr double longest_fault = 4;
constexpr double longest_router_gap = 2;
constexpr double shortest_router_fault = 0.2;
constexpr double longest_link_gap = 1;
constexpr double shortest_link_fault = 0.3;

constexpr int kill_weight = 2;

// Milliseconds.
constexpr double least_delay = 5;
constexpr double most_delay = 200;

// Bytes a second.
constexpr double least_throttle = 2'000;
constexpr double most_throttle = 50'000;

// Kinds that are drawn one after another: each fault ends before the next begins.
struct FaultSequence {
  std::vector<FaultKind> kinds{};
  double longest_gap = 0;     // seconds
  double shortest_fault = 0;  // seconds
};

class RouterFaultDraws {
 public:
  explicit RouterFaultDraws(Day& day) : day_(day), draws_(day.seed ^ seed_mask) {}

  void add(const FaultSequence& sequence) {
    const Time end = day_.span() - quiet_end;
    Time at = time_between(earliest_start, sequence.longest_gap);
    while (at < end) {
      const Fault fault = draw_fault(sequence, at);
      at += fault.span + time_between(shortest_gap, sequence.longest_gap);
      if (fault.at + fault.span < end) day_.faults.push_back(fault);
    }
  }

 private:
  Fault draw_fault(const FaultSequence& sequence, Time at) {
    Fault fault;
    fault.kind =
        sequence.kinds[static_cast<std::size_t>(draws_.below(static_cast<int>(sequence.kinds.size())))];
    fault.at = at;
    fault.span = time_between(sequence.shortest_fault, longest_fault);
    fault.router = draws_.below(day_.routers);
    if (is_link_fault(fault.kind)) fault.other = draw_other(fault.router);
    if (fault.kind == link_delay) fault.size = draws_.between(least_delay, most_delay);
    if (fault.kind == link_throttle) fault.size = draws_.between(least_throttle, most_throttle);
    return fault;
  }

  int draw_other(int router) { return (router + 1 + draws_.below(day_.routers - 1)) % day_.routers; }

  // Of seconds.
  Time time_between(double least, double most) {
    return static_cast<Time>(draws_.between(least, most) * ticks_per_second);
  }

  Day& day_;
  RandomDraws draws_;
};

}  // namespace

void add_router_faults(Day& day, const RouterFaults& faults) {
  RouterFaultDraws draws(day);
  FaultSequence of_routers{.longest_gap = longest_router_gap, .shortest_fault = shortest_router_fault};
  if (faults.stalls) of_routers.kinds.push_back(router_stall);
  if (faults.crashes) of_routers.kinds.insert(of_routers.kinds.end(), kill_weight, router_kill);
  if (faults.restarts) of_routers.kinds.push_back(router_restart);
  if (!of_routers.kinds.empty()) draws.add(of_routers);
  if (!faults.links || day.routers <= 1) return;
  draws.add({.kinds = {link_drop, link_one_way, link_delay, link_throttle, link_cut, link_garble, link_twice},
             .longest_gap = longest_link_gap,
             .shortest_fault = shortest_link_fault});
}

}  // namespace rushhill::simulation
