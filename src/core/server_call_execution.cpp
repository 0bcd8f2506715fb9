#include "core/server_call_execution.h"

#include "routing/routing_policy.h"

namespace rushhill::core {
namespace {

constexpr Time probe_limit = 10'000;  // tenths of a millisecond; a report older than that is none

}  // namespace

void EndpointCallExecution::probe(const EndpointId& server) {
  ++env_.tally.probes;
  probes_.start(server, env_.clock.now());
  env_.upstream.probe(server, probe_limit);
}

void EndpointCallExecution::probe_ended(const EndpointId& server, AttemptOutcome ending,
                                        const LoadReport& report) {
  const Time taken = probes_.end(server, env_.clock.now());
  const ProbeEnd end{.endpoint = server, .outcome = ending, .taken = to_duration(taken), .report = report};
  env_.policy.run([&](RoutingPolicy& policy, Timestamp now) { policy.probe_ended(now, end); });
}

void EndpointCallExecution::prewarm(const EndpointId& server, const FunctionId& function, int copies) {
  prewarms_.start({server, function}, env_.clock.now());
  if (env_.deduplication != nullptr && !env_.deduplication->prepare_prewarm()) {
    env_.deferred.run_soon(
        [this, server, function] { prewarm_ended(server, function, AttemptOutcome::not_sent, 0); });
    return;
  }
  ++env_.tally.prewarms;
  env_.upstream.prewarm(server, function, copies, prewarm_timeout_);
}

void EndpointCallExecution::prewarm_ended(const EndpointId& server, const FunctionId& function,
                                          AttemptOutcome ending, int copies) {
  const Time taken = prewarms_.end({server, function}, env_.clock.now());
  const PrewarmEnd end{.endpoint = server,
                       .function = function,
                       .outcome = ending,
                       .taken = to_duration(taken),
                       .copies = copies};
  env_.policy.run([&](RoutingPolicy& policy, Timestamp now) { policy.prewarm_ended(now, end); });
}

void EndpointCallExecution::evict(const EndpointId& server, const FunctionId& function) {
  ++env_.tally.evictions;
  env_.upstream.evict(server, function);
}

}  // namespace rushhill::core
