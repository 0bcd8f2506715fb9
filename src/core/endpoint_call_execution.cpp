#include "core/endpoint_call_execution.h"

#include "routing/routing_policy.h"

namespace rushhill::core {
namespace {

constexpr Duration probe_timeout = one_second;  // a load report that arrives later is out of date

}  // namespace

void EndpointCallExecution::probe(const EndpointId& endpoint) {
  ++env_.counters.probes;
  probes_.start(endpoint, env_.clock.timestamp());
  env_.upstream.probe(endpoint, probe_timeout);
}

void EndpointCallExecution::probe_ended(const EndpointId& endpoint, AttemptOutcome outcome,
                                        const LoadReport& report) {
  const Duration taken = probes_.end(endpoint, env_.clock.timestamp());
  const ProbeEnd end{.endpoint = endpoint, .outcome = outcome, .taken = taken, .report = report};
  env_.policy.run([&](RoutingPolicy& policy, Timestamp now) { policy.probe_ended(now, end); });
}

void EndpointCallExecution::prewarm(const EndpointId& endpoint, const FunctionId& function, int copies) {
  prewarms_.start({endpoint, function}, env_.clock.timestamp());
  if (env_.deduplication != nullptr && !env_.deduplication->prepare_prewarm()) {
    env_.deferred.run_soon(
        [this, endpoint, function] { prewarm_ended(endpoint, function, AttemptOutcome::not_sent, 0); });
    return;
  }
  ++env_.counters.prewarms;
  env_.upstream.prewarm(endpoint, function, copies, prewarm_timeout_);
}

void EndpointCallExecution::prewarm_ended(const EndpointId& endpoint, const FunctionId& function,
                                          AttemptOutcome outcome, int copies) {
  const Duration taken = prewarms_.end({endpoint, function}, env_.clock.timestamp());
  const PrewarmEnd end{
      .endpoint = endpoint,
      .function = function,
      .outcome = outcome,
      .taken = taken,
      .copies = copies,
  };
  env_.policy.run([&](RoutingPolicy& policy, Timestamp now) { policy.prewarm_ended(now, end); });
}

void EndpointCallExecution::evict(const EndpointId& endpoint, const FunctionId& function) {
  ++env_.counters.evictions;
  env_.upstream.evict(endpoint, function);
}

}  // namespace rushhill::core
