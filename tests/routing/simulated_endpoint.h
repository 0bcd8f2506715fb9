// A simulated endpoint that warms up after its start, as the tests of slow start load it.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "fake_host.h"
#include "routing/types.h"

namespace rushhill {

// A fleet and what happens to it. Times are spans from its start.
struct FleetScenario {
  std::string name{};
  int routers = 300;
  int endpoints = 40;
  double load = 0.5;                // of what the warm fleet bears
  double load_after_release = 0.5;  // from the release on
  double replaced = 0.8;            // of the endpoints, within `release_span`
  Time release_span = 4 * second;
  Time release_at = 12 * second;
  Time length = 20 * second;
  double initial_capacity = 0.16;  // of an endpoint at its start
  Time warm_up_span = 10 * second;
  double cores = 3;         // requests' work a second that an endpoint does: two cores, half as fast again
  Time work = second / 10;  // mean, of a request
  std::uint32_t seed = 1;
  double crashed = 0;                // of the endpoints: these die at the release and are back cold at once
  double restarted = 0;              // of the routers, between the release and two seconds after its span
  double failing = 0;                // of the attempts end in an error
  double retried = 0;                // of what is rejected or failed comes again from its client
  Time notified_within = second;     // each router is notified of a change after 0.01 s to this
  bool missing_is_answered = false;  // an endpoint without the function says so; the routers order it there
  Time latency_objective = 3 * second / 4;
};

inline void PrintTo(const FleetScenario& scenario, std::ostream* out) { *out << scenario.name; }

// Rule 4, as these fleets are configured: of what an endpoint can bear within the span, twice as much.
constexpr double budget_multiple = 2;
constexpr Time budget_span = 3 * second / 2;

// One endpoint. Its copies are loaded one after the other by the requests and orders that name them.
class SimulatedEndpoint {
 public:
  SimulatedEndpoint() = default;
  SimulatedEndpoint(const EndpointId& id, Time started) { restart(id, started); }

  const Endpoint& listed() const { return listed_; }
  void drain() { listed_.state = EndpointState::draining; }
  bool warm_from_the_first() const { return listed_.started == Timestamp{}; }
  Time started() const { return to_ticks(listed_.started); }
  // One more each time that its process is replaced.
  int process() const { return process_; }
  // A new process: cold, without copies or open requests.
  void restart(const EndpointId& id, Time now) {
    listed_ = {.id = id, .started = to_timestamp(now)};
    ++process_;
    workers_free_at_.assign(workers, now);
    open_until_.clear();
    copies_.clear();
  }

  // Of its full capacity, which it reaches over the warm-up span.
  double capacity(Time now, const FleetScenario& scenario) const {
    if (warm_from_the_first()) return 1;
    const double age = std::max(0.0, static_cast<double>(now - started() - budget_span));
    return std::min(1.0, scenario.initial_capacity + (1 - scenario.initial_capacity) * age /
                                                         static_cast<double>(scenario.warm_up_span));
  }

  bool accepts(Time now) {
    while (!open_until_.empty() && open_until_.front() <= now) open_until_.pop_front();
    return listed_.state == EndpointState::active && open_until_.size() < most_open;
  }
  bool has_copy(const FunctionId& function) const { return copies_.contains(function); }
  // Loads a copy where there is none. Returns whether there was none.
  bool load_copy(Time now, const FunctionId& function) {
    return copies_.try_emplace(function, now + load_time).second;
  }
  Time copy_ready_at(const FunctionId& function) const { return copies_.at(function); }

  // Puts a request to the worker that is free first; returns when it is done.
  Time run(Time now, const FunctionId& function, double work_at_pace) {
    const auto worker = std::ranges::min_element(workers_free_at_);
    const Time begins = std::max({now, *worker, copies_.at(function)});
    *worker = begins + static_cast<Time>(work_at_pace);
    const Time done = *worker;
    open_until_.insert(std::ranges::upper_bound(open_until_, done), done);
    return done;
  }

  // Work of the last second or so, of what the cores can do warm.
  void add_work(Time now, double work) {
    const double kept = std::exp(-static_cast<double>(now - recent_work_at_) / second);
    recent_work_ = recent_work_ * kept + work / second;
    recent_work_at_ = now;
  }
  double utilization(Time now) {
    add_work(now, 0);
    return std::min(1.0, recent_work_);
  }

  static constexpr Time load_time = second / 2;

 private:
  static constexpr std::size_t workers = 2;
  static constexpr std::size_t most_open = 18;

  Endpoint listed_;  // as the endpoint list says
  int process_ = 0;
  std::vector<Time> workers_free_at_;
  std::deque<Time> open_until_;        // of the requests it has in hand
  std::map<FunctionId, Time> copies_;  // loaded from then on
  double recent_work_ = 0;
  Time recent_work_at_ = 0;
};

}  // namespace rushhill
