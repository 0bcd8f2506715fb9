// Carries out decisions about servers that belong to no request: probes, orders to load and to evict copies.
// Part of the gateway; docs/program.md, "The core".
#pragma once

#include <utility>

#include "core/decision_module.h"
#include "core/deduplication_log.h"
#include "core/deferred_calls.h"
#include "core/outstanding_calls.h"
#include "core/tally.h"
#include "core/timer_service.h"
#include "core/upstream_transport.h"

namespace rushhill::core {

class EndpointCallExecution {
 public:
  struct Environment {
    TimerService& clock;
    UpstreamTransport& upstream;
    DeduplicationLog* deduplication;  // none: orders leave without being told to others
    DeferredCalls& deferred;
    PolicyRunner& policy;
    Counters& tally;
  };
  // `order_limit`: the time after which an order to load is given up.
  EndpointCallExecution(const Environment& environment, Time order_limit)
      : env_(environment), prewarm_timeout_(order_limit) {}

  void probe(const EndpointId& server);
  // Orders copies of a function to be loaded. Where the ledger does not let it leave it ends as not sent.
  void prewarm(const EndpointId& server, const FunctionId& function, int copies);
  void evict(const EndpointId& server, const FunctionId& function);

  // Ends of what was asked for, reported to the decision module with the time taken.
  void probe_ended(const EndpointId& server, AttemptOutcome ending, const LoadReport& report);
  void prewarm_ended(const EndpointId& server, const FunctionId& function, AttemptOutcome ending, int copies);

 private:
  Environment env_;
  Time prewarm_timeout_;
  OutstandingCalls<EndpointId> probes_;
  OutstandingCalls<std::pair<EndpointId, FunctionId>> prewarms_;
};

}  // namespace rushhill::core
