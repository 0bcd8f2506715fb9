// Slow start of the endpoints on the list: the rule of slow_start.h, with what this router has seen.
#pragma once

#include "routing/endpoint_table.h"
#include "routing/fleet_load.h"
#include "routing/latency_estimates.h"
#include "routing/slow_start.h"

namespace rushhill::routing {

// Says what the endpoints that warm up may get, and counts what they got.
class EndpointWarmUp {
 public:
  EndpointWarmUp(const SlowStartLimits& limits, const LatencyEstimates& estimates,
                 const FleetLoad& fleet_load)
      : slow_start_(limits), estimates_(estimates), fleet_load_(fleet_load) {}

  // Since when the endpoint has been warming up; default: it is warm.
  Timestamp warming_since(Timestamp now, const EndpointRecord& record) const {
    return slow_start_.warming_since(
        now, {.started = record.endpoint.started, .restarted = record.liveness.restarted_at()});
  }

  bool is_warm(Timestamp now, const EndpointRecord& record) const {
    return warming_since(now, record) == Timestamp{};
  }

  // Rule 4. Whether the endpoint can bear one more request from this router.
  bool admits_request(Timestamp now, const EndpointRecord& record) const {
    const Timestamp since = warming_since(now, record);
    return since == Timestamp{} ||
           slow_start_.admits_request(now - since, record.weight(), record.tokens, observed_load());
  }
  // Rule 4, for a prewarm order.
  bool admits_order(Timestamp now, const EndpointRecord& record) const {
    return is_warm(now, record) || record.tokens.allow_order();
  }

  void endpoint_added(EndpointRecord& record) const {
    record.tokens = slow_start_.first_tokens(record.endpoint.id);
  }
  // Every request weighs as the mean work of its class.
  void request_sent(Timestamp now, const ClassEstimate& request_class, EndpointRecord& record) const {
    if (is_warm(now, record)) return;
    record.tokens.take(SlowStart::cost_of_request(request_class.response_time, observed_load()));
  }
  void refill(const WarmUpProgress& progress, EndpointRecord& record) const {
    slow_start_.refill(progress, record.weight(), observed_load(), record.tokens);
  }

 private:
  ObservedLoad observed_load() const {
    return {.response_time = estimates_.mean_response_time(),
            .utilization = fleet_load_.utilization(),
            .successes = fleet_load_.successes()};
  }

  SlowStart slow_start_;
  const LatencyEstimates& estimates_;
  const FleetLoad& fleet_load_;
};

}  // namespace rushhill::routing
