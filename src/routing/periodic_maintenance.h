// Periodic maintenance: what the policy does by its clock rather than for a message.
#pragma once

#include "routing/endpoint_monitor.h"
#include "routing/request_dispatcher.h"
#include "routing/routing_parts.h"

namespace rushhill::routing {

// Runs every tenth of a second. It keeps nothing but the moment of its last run.
class PeriodicMaintenance {
 public:
  static constexpr Duration period = one_second / 10;  // short beside any objective, long beside a tick

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
  void observe_overload(Timestamp now);

  RoutingParts& parts_;
  EndpointMonitor& monitor_;
  RequestDispatcher& dispatcher_;
  Timestamp last_run_{};
};

}  // namespace rushhill::routing
