// Applies the slow start rule of slow_start.h to the endpoints on the list, with the load that this router
// has observed.
#pragma once

#include "routing/endpoint_table.h"
#include "routing/fleet_load.h"
#include "routing/latency_estimates.h"
#include "routing/slow_start.h"

namespace rushhill::routing {

// Decides which requests and orders an endpoint that is warming up may get, and counts them.
class EndpointWarmUp {
 public:
  EndpointWarmUp(const SlowStartLimits& limits, const LatencyEstimates& estimates,
                 const FleetLoad& fleet_load)
      : slow_start_(limits), estimates_(estimates), fleet_load_(fleet_load) {}

  // Returns since when the endpoint has been warming up; the default value if it is warm.
  Timestamp warming_since(Timestamp now, const EndpointRecord& record) const {
    return slow_start_.warming_since(
        now, {.started = record.endpoint.started, .restarted = record.liveness.restarted_at()});
  }

  bool is_warm(Timestamp now, const EndpointRecord& record) const {
    return warming_since(now, record) == Timestamp{};
  }

  // Rule 4. Whether this router may send the endpoint one more request.
  bool admits_request(Timestamp now, const EndpointRecord& record) const {
    const Timestamp since = warming_since(now, record);
    return since == Timestamp{} ||
           slow_start_.admits_request(now - since, record.weight(), record.tokens, observed_load());
  }
  // Rule 4. Whether this router may send the endpoint a prewarm order.
  bool admits_order(Timestamp now, const EndpointRecord& record) const {
    return is_warm(now, record) || record.tokens.allows_order();
  }

  void endpoint_added(EndpointRecord& record) const {
    record.tokens = slow_start_.initial_tokens(record.endpoint.id);
  }
  // Charges a warming endpoint for a request, by the mean response time of the request's class.
  void request_sent(Timestamp now, const ClassEstimate& class_estimate, EndpointRecord& record) const {
    if (is_warm(now, record)) return;
    record.tokens.take(SlowStart::cost_of_request(class_estimate.response_time, observed_load()));
  }
  void refill(const WarmUpProgress& progress, EndpointRecord& record) const {
    slow_start_.refill(progress, record.weight(), observed_load(), record.tokens);
  }

 private:
  ObservedLoad observed_load() const {
    return {.response_time = estimates_.mean_response_time(),
            .utilization = fleet_load_.utilization(),
            .throughput = fleet_load_.throughput()};
  }

  SlowStart slow_start_;
  const LatencyEstimates& estimates_;
  const FleetLoad& fleet_load_;
};

}  // namespace rushhill::routing
