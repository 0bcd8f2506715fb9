#include "core/endpoint_call_execution.h"

#include "routing/routing_policy.h"

namespace rushhill::core {
namespace {

constexpr Time probe_timeout = 10'000;  // tenths of a millisecond; an older report is worth nothing

}  // namespace

void EndpointCallExecution::probe(const EndpointId& endpoint) {
  ++env_.counters.probes;
  probes_.start(endpoint, env_.clock.now());
  env_.upstream.probe(endpoint, probe_timeout);
}

void EndpointCallExecution::probe_ended(const EndpointId& endpoint, AttemptOutcome outcome,
                                        const LoadReport& report) {
  const Time taken = probes_.end(endpoint, env_.clock.now());
  const ProbeEnd end{.endpoint = endpoint, .outcome = outcome, .taken = to_duration(taken), .report = report};
  env_.policy.run([&](RoutingPolicy& policy, Timestamp now) { policy.probe_ended(now, end); });
}

void EndpointCallExecution::prewarm(const EndpointId& endpoint, const FunctionId& function, int copies) {
  prewarms_.start({endpoint, function}, env_.clock.now());
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
  const Time taken = prewarms_.end({endpoint, function}, env_.clock.now());
  const PrewarmEnd end{.endpoint = endpoint,
                       .function = function,
                       .outcome = outcome,
                       .taken = to_duration(taken),
                       .copies = copies};
  env_.policy.run([&](RoutingPolicy& policy, Timestamp now) { policy.prewarm_ended(now, end); });
}

void EndpointCallExecution::evict(const EndpointId& endpoint, const FunctionId& function) {
  ++env_.counters.evictions;
  env_.upstream.evict(endpoint, function);
}

}  // namespace rushhill::core
