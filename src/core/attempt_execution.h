// Carries out the routing policy's decisions about attempts: starts them, cancels them, and reports the end
// of each exactly once to the policy. Part of the gateway; docs/program.md, "The core".
#pragma once

#include "core/counters.h"
#include "core/deferred_calls.h"
#include "core/event_log.h"
#include "core/policy_runner.h"
#include "core/request_table.h"
#include "core/timer_service.h"
#include "core/upstream_transport.h"
#include "routing/routing_policy.h"

namespace rushhill::core {

// Sends the attempts of the requests in the RequestTable through the UpstreamTransport.
class AttemptExecution {
 public:
  // The other parts of the gateway, all of which must outlive this one.
  struct Environment {
    TimerService& clock;
    UpstreamTransport& upstream;
    EventLog& log;
    RequestTable& requests;
    DeferredCalls& deferred;
    PolicyRunner& policy;
    Counters& counters;
  };
  // `attempt_limit` is the maximum number of attempts per request; further attempts end as not sent.
  AttemptExecution(const Environment& environment, int attempt_limit)
      : env_(environment), attempt_limit_(attempt_limit) {}

  // Sends the request to the endpoint as its next attempt.
  void start(RequestId id, const EndpointId& endpoint, const AttemptLimits& limits);

  // Cancels one attempt at the routing policy's request. Does nothing if the attempt has ended already.
  void cancel(RequestId id, int number);
  // Cancels the attempts of which no byte has been sent.
  void cancel_unsent(RequestId id, Request& request);
  // Cancels all open attempts and reports them as unanswered.
  void expire_attempts(RequestId id, Request& request);

  // Marks an attempt as ended and cancels its timeout, without a report.
  void close(Attempt& attempt);
  // Reports the end of a closed attempt to the routing policy, and erases the request if it is finished.
  void report_end(RequestId id, int number, const AttemptResult& result);

 private:
  void cancel_and_report(RequestId id, int number, AttemptOutcome outcome);
  void close_and_report(RequestId id, Request& request, int number, AttemptOutcome outcome);
  void report_end_soon(RequestId id, Request& request, int number, AttemptOutcome outcome);
  void log_end(const Request& request, int number, AttemptOutcome outcome);

  Environment env_;
  int attempt_limit_;
};

}  // namespace rushhill::core
