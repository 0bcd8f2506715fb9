// Carries out the routing policy's decisions that belong to no request: probes of endpoints, and orders to
// prewarm or evict copies of functions.
// Part of the gateway; docs/program.md, "The core".
#pragma once

#include <utility>

#include "core/counters.h"
#include "core/deduplication_log.h"
#include "core/deferred_calls.h"
#include "core/outstanding_calls.h"
#include "core/policy_runner.h"
#include "core/timer_service.h"
#include "core/upstream_transport.h"

namespace rushhill::core {

// Sends the calls through the UpstreamTransport, and reports the ends of probes and prewarm orders to the
// routing policy.
class EndpointCallExecution {
 public:
  // The other parts of the gateway, all of which must outlive this one.
  struct Environment {
    TimerService& clock;
    UpstreamTransport& upstream;
    DeduplicationLog* deduplication;  // null if prewarm orders are not recorded
    DeferredCalls& deferred;
    PolicyRunner& policy;
    Counters& counters;
  };
  // `prewarm_timeout` is how long the transport waits for the answer to a prewarm order.
  EndpointCallExecution(const Environment& environment, Duration prewarm_timeout)
      : env_(environment), prewarm_timeout_(prewarm_timeout) {}

  void probe(const EndpointId& endpoint);
  // Orders the endpoint to load copies of a function. The order ends as not sent if the deduplication log
  // does not permit it.
  void prewarm(const EndpointId& endpoint, const FunctionId& function, int copies);
  void evict(const EndpointId& endpoint, const FunctionId& function);

  // Report the end of a call to the routing policy, with the time that it took.
  void probe_ended(const EndpointId& endpoint, AttemptOutcome outcome, const LoadReport& report);
  void prewarm_ended(const EndpointId& endpoint, const FunctionId& function, AttemptOutcome outcome,
                     int copies);

 private:
  Environment env_;
  Duration prewarm_timeout_;
  OutstandingCalls<EndpointId> probes_;
  OutstandingCalls<std::pair<EndpointId, FunctionId>> prewarms_;
};

}  // namespace rushhill::core
