// A simulated endpoint that warms up after its start, for the tests of slow start.
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

// A simulated fleet and the events of a run. Times are relative to the start of the run. A release replaces
// endpoints by new ones.
struct FleetScenario {
  std::string name{};
  int routers = 300;
  int endpoints = 40;
  double load = 0.5;                // share of the warm fleet's capacity
  double load_after_release = 0.5;  // as `load`, from the release on
  double replaced_share = 0.8;      // of the endpoints, within `release_span`
  Time release_span = 4 * second;
  Time release_at = 12 * second;
  Time length = 20 * second;
  double initial_capacity = 0.16;  // share of its full capacity that an endpoint has at its start
  Time warm_up_span = 10 * second;
  double cores = 3;         // reference cores that an endpoint equals: two, of 1.5 times the speed
  Time work = second / 10;  // mean work of a request, as time on a reference core
  std::uint32_t seed = 1;
  double crashed_share = 0;               // of the endpoints; these restart cold at the release
  double restarted_router_share = 0;      // of the routers, until two seconds after the release span
  double failing_share = 0;               // of the attempts; these end in an error
  double retried_share = 0;               // of the rejected or failed requests, by their clients
  Time max_notification_delay = second;   // of an endpoint list message; the minimum is 0.01 s
  bool missing_copy_is_reported = false;  // An endpoint without the function does not load it.
  Time latency_objective = 3 * second / 4;
};

inline void PrintTo(const FleetScenario& scenario, std::ostream* out) { *out << scenario.name; }

// The configuration of rule 4 in these fleets: twice what an endpoint can serve within the span.
constexpr double budget_multiple = 2;
constexpr Time budget_span = 3 * second / 2;

// One endpoint. It loads a copy of a function when the first request or order for the function arrives.
class SimulatedEndpoint {
 public:
  SimulatedEndpoint() = default;
  SimulatedEndpoint(const EndpointId& id, Time started) { restart(id, started); }

  const Endpoint& list_entry() const { return list_entry_; }
  void drain() { list_entry_.state = EndpointState::draining; }
  bool warm_from_start() const { return list_entry_.started == Timestamp{}; }
  Time started() const { return to_ticks(list_entry_.started); }
  // Increases each time the process is replaced.
  int process_number() const { return process_number_; }
  // Starts a new process, which is cold and has neither copies nor open requests.
  void restart(const EndpointId& id, Time now) {
    list_entry_ = {.id = id, .started = to_timestamp(now)};
    ++process_number_;
    workers_free_at_.assign(workers, now);
    open_until_.clear();
    copies_.clear();
  }

  // The share of the full capacity, which the endpoint reaches over the warm-up span.
  double capacity(Time now, const FleetScenario& scenario) const {
    if (warm_from_start()) return 1;
    const double age = std::max(0.0, static_cast<double>(now - started() - budget_span));
    return std::min(1.0, scenario.initial_capacity + (1 - scenario.initial_capacity) * age /
                                                         static_cast<double>(scenario.warm_up_span));
  }

  bool accepts(Time now) {
    while (!open_until_.empty() && open_until_.front() <= now) open_until_.pop_front();
    return list_entry_.state == EndpointState::active && open_until_.size() < max_open;
  }
  bool has_copy(const FunctionId& function) const { return copies_.contains(function); }
  // Starts to load a copy unless there is one. Returns whether it did.
  bool load_copy(Time now, const FunctionId& function) {
    return copies_.try_emplace(function, now + load_time).second;
  }
  Time copy_ready_at(const FunctionId& function) const { return copies_.at(function); }

  // Runs a request on the first worker that becomes free. Returns when the request is done.
  Time run(Time now, const FunctionId& function, double duration) {
    const auto worker = std::ranges::min_element(workers_free_at_);
    const Time start = std::max({now, *worker, copies_.at(function)});
    *worker = start + static_cast<Time>(duration);
    const Time done = *worker;
    open_until_.insert(std::ranges::upper_bound(open_until_, done), done);
    return done;
  }

  // Adds work to the utilization, an average over about the last second. `work` is the time that it takes all
  // cores together when warm.
  void add_work(Time now, double work) {
    const double decay = std::exp(-static_cast<double>(now - recent_work_at_) / second);
    recent_work_ = recent_work_ * decay + work / second;
    recent_work_at_ = now;
  }
  double utilization(Time now) {
    add_work(now, 0);
    return std::min(1.0, recent_work_);
  }

  static constexpr Time load_time = second / 2;

 private:
  static constexpr std::size_t workers = 2;
  static constexpr std::size_t max_open = 18;

  Endpoint list_entry_;  // as in the endpoint list
  int process_number_ = 0;
  std::vector<Time> workers_free_at_;
  std::deque<Time> open_until_;        // when each open request is done, in order
  std::map<FunctionId, Time> copies_;  // when each copy is loaded
  double recent_work_ = 0;
  Time recent_work_at_ = 0;
};

}  // namespace rushhill
