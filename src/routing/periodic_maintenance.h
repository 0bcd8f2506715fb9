// Periodic maintenance: the work of the policy that is driven by a timer instead of an event.
#pragma once

#include "routing/endpoint_monitor.h"
#include "routing/request_dispatcher.h"
#include "routing/routing_parts.h"
#include "routing/timer_lateness.h"

namespace rushhill::routing {

// Runs every tenth of a second. Its only state is the time of its last run, and how late the runs were.
class PeriodicMaintenance {
 public:
  // Short compared with a latency objective, and long compared with a tick.
  static constexpr Duration period = one_second / 10;

  PeriodicMaintenance(RoutingParts& parts, EndpointMonitor& monitor, RequestDispatcher& dispatcher)
      : parts_(parts), monitor_(monitor), dispatcher_(dispatcher) {}

  void start(Timestamp now) { last_run_ = now; }
  void run(Timestamp now);

 private:
  struct FleetSample;

  FleetSample maintain_endpoints(Timestamp now);
  void maintain_endpoint(Timestamp now, EndpointRecord& record, FleetSample& sample);
  void update_estimates(Timestamp now, FleetSample& sample);
  void sweep_tables(Timestamp now);
  void check_requests(Timestamp now);
  Duration deadline_reserve(Timestamp now) const;
  void observe_overload(Timestamp now);

  RoutingParts& parts_;
  EndpointMonitor& monitor_;
  RequestDispatcher& dispatcher_;
  Timestamp last_run_{};
  TimerLateness lateness_;
};

}  // namespace rushhill::routing
