#include "scale/fault_run.h"

#include <algorithm>

#include "scale/assumptions.h"
#include "scale/meter.h"
#include "scale/process_usage.h"

namespace rushhill::scale {
namespace {

constexpr Time minute = 60 * second;
constexpr Time announcement_delay = second;
constexpr Time drain_span = 3 * second;   // in which all open requests reach their deadline
constexpr double tolerated_share = 0.01;  // of a second's requests, late or given up; a bad second has more
constexpr int failed_servers_of_a_day = 3;

// Applies one fault to a simulation, announces it, and ends it.
class FaultInjector {
 public:
  FaultInjector(FleetSimulation& simulation, const Fault& fault)
      : simulation_(simulation), fault_(fault), begin_(simulation.now()), end_(begin_ + fault.span) {
    if (fault_.kind != FaultKind::servers) return;
    const std::vector<core::EndpointListEntry> list = simulation_.servers().list();
    for (const std::size_t index : affected(list.size())) servers_.push_back(list[index]);
    removed_ = servers_;
    for (core::EndpointListEntry& entry : removed_) entry.endpoint.state = EndpointState::removed;
  }

  Time begin_time() const { return begin_; }
  Time end_time() const { return end_; }

  // Does what is due at that second.
  void act(Time now) {
    if (now == begin_) begin();
    if (now == end_) end();
    if (fault_.announced_after == 0) return;
    if (now == begin_ + fault_.announced_after) simulation_.announce(removed_);
    if (now == end_ + fault_.announced_after) simulation_.announce(servers_);
  }

 private:
  // Positions of the servers or routers affected, of so many.
  std::vector<std::size_t> affected(std::size_t total) const {
    std::vector<std::size_t> indices;
    for (int i = 0; i < fault_.count; ++i) {
      const auto index = static_cast<std::size_t>(fault_.first + i * fault_.step);
      if (index < total) indices.push_back(index);
    }
    return indices;
  }

  void begin() {
    for (const core::EndpointListEntry& entry : servers_) simulation_.servers().stop(entry.endpoint.id);
    if (fault_.kind == FaultKind::regions_partitioned) simulation_.servers().set_regions_partitioned(true);
  }

  void end() {
    for (core::EndpointListEntry& entry : servers_) {
      simulation_.servers().start(entry.endpoint.id);
      entry.endpoint.started = to_timestamp(simulation_.now());
    }
    if (fault_.kind == FaultKind::regions_partitioned) simulation_.servers().set_regions_partitioned(false);
    if (fault_.kind != FaultKind::routers_restart) return;
    for (const std::size_t index : affected(simulation_.router_count())) simulation_.restart_router(index);
  }

  FleetSimulation& simulation_;
  const Fault& fault_;
  Time begin_;
  Time end_;
  std::vector<core::EndpointListEntry> servers_;  // affected, as they are once the fault has ended
  std::vector<core::EndpointListEntry> removed_;  // the same as they are announced during the fault
};

// Watches a simulation second by second.
class SecondsObserver {
 public:
  SecondsObserver(FleetSimulation& simulation, Counter& counter)
      : simulation_(simulation), counter_(counter), before_(simulation.outcomes()),
        sent_before_(simulation.requests_sent()) {}

  // Passes one second. True: it was a bad one, by the requests that ended in it, whenever they were sent.
  bool run_second() {
    Meter meter(counter_);
    meter.begin();
    simulation_.run(second);
    meter.end();
    dearest_ = std::max(dearest_, meter.sum() / static_cast<double>(simulation_.router_count()));
    const RequestOutcomes after = simulation_.outcomes();
    const RequestOutcomes ended = after - before_;
    const RequestId sent = simulation_.requests_sent() - sent_before_;
    before_ = after;
    sent_before_ = simulation_.requests_sent();
    return static_cast<double>(ended.late() + ended.given_up) > tolerated_share * static_cast<double>(sent);
  }

  // The most work of one router in a second.
  double dearest() const { return dearest_; }

 private:
  FleetSimulation& simulation_;
  Counter& counter_;
  RequestOutcomes before_;
  RequestId sent_before_;
  double dearest_ = 0;
};

}  // namespace

Figures FaultRunResult::figures() const {
  return {{figure_name::requests, requests},
          {"late", late},
          {"given up", given_up},
          {"unanswered", unanswered},
          {figure_name::attempts_per_request, attempts_per_request},
          {"last bad second", last_bad_second},
          {figure_name::expired, expired},
          {figure_name::peak_resident, peak_resident},
          {figure_name::dearest_second, dearest_second}};
}

std::vector<Fault> faults(const SimulationSize& size) {
  const int servers = size.fleet.servers;
  const int servers_per_zone = (servers + zone_count - 1) / zone_count;
  const int routers_per_zone = (size.routers + zone_count - 1) / zone_count;
  return {
      {.name = "3 servers",
       .step = std::max(servers / failed_servers_of_a_day, 1),
       .count = failed_servers_of_a_day,
       .span = minute,
       .announced_after = announcement_delay},
      {.name = "a rack of 40",
       .count = servers_per_rack,
       .span = minute,
       .announced_after = announcement_delay},
      {.name = "a zone, lost and back",
       .step = zone_count,
       .count = servers_per_zone,
       .span = minute,
       .announced_after = announcement_delay},
      {.name = "a zone, and discovery down", .step = zone_count, .count = servers_per_zone, .span = minute},
      {.name = "regions apart for 5 min", .kind = FaultKind::regions_partitioned, .span = 5 * minute},
      {.name = "a zone's routers restarted",
       .kind = FaultKind::routers_restart,
       .step = zone_count,
       .count = routers_per_zone,
       .span = second}};
}

FaultRunResult run_fault(const SimulationSize& size, const Fault& fault, Counter& counter) {
  FleetSimulation simulation(size);
  simulation.run(size.warm_up);
  FaultInjector injector(simulation, fault);
  const RequestOutcomes outcomes_before = simulation.outcomes();
  const RequestCounts counts_before = simulation.counts();
  const double open_before = simulation.open_requests();
  SecondsObserver observer(simulation, counter);
  FaultRunResult result;
  for (Time at = injector.begin_time(); at < injector.end_time() + size.measured_span; at += second) {
    injector.act(at);
    if (observer.run_second()) result.last_bad_second = to_seconds(at + second - injector.begin_time());
  }
  simulation.run(drain_span);
  const RequestOutcomes outcomes = simulation.outcomes() - outcomes_before;
  const RequestCounts counts = simulation.counts() - counts_before;
  const auto ended = static_cast<double>(outcomes.answered + outcomes.given_up);
  result.requests = counts.accepted;
  result.late = static_cast<double>(outcomes.late());
  result.given_up = static_cast<double>(outcomes.given_up);
  result.unanswered = counts.accepted + open_before - simulation.open_requests() - ended;
  result.attempts_per_request = counts.attempts / counts.accepted;
  result.expired = counts.expired;
  result.peak_resident = peak_resident_bytes();
  result.dearest_second = observer.dearest();
  return result;
}

}  // namespace rushhill::scale
