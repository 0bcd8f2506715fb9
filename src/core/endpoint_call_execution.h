// Carries out decisions about endpoints that belong to no request: probes, and orders to prewarm and to evict
// copies.
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

// Sends the calls through the UpstreamTransport and reports their ends to the routing policy.
class EndpointCallExecution {
 public:
  // The other parts of the gateway; all of them outlive this one.
  struct Environment {
    TimerService& clock;
    UpstreamTransport& upstream;
    DeduplicationLog* deduplication;  // none: orders are not recorded
    DeferredCalls& deferred;
    PolicyRunner& policy;
    Counters& counters;
  };
  // `prewarm_timeout`: a prewarm order is given up after that.
  EndpointCallExecution(const Environment& environment, Duration prewarm_timeout)
      : env_(environment), prewarm_timeout_(prewarm_timeout) {}

  void probe(const EndpointId& endpoint);
  // Orders copies of a function to be loaded. Where the order could not be recorded it ends as not sent.
  void prewarm(const EndpointId& endpoint, const FunctionId& function, int copies);
  void evict(const EndpointId& endpoint, const FunctionId& function);

  // Ends of these calls, reported to the routing policy with the time taken.
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
