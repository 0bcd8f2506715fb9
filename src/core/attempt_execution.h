// Carries out decisions about attempts: starts them, cancels them, and reports the one end of each to the
// routing policy. Part of the gateway; docs/program.md, "The core".
#pragma once

#include "core/counters.h"
#include "core/deferred_calls.h"
#include "core/event_log.h"
#include "core/policy_runner.h"
#include "core/request_table.h"
#include "core/timer_service.h"
#include "core/upstream_transport.h"

namespace rushhill::core {

// Sends the attempts of the requests in the RequestTable through the UpstreamTransport.
class AttemptExecution {
 public:
  // The other parts of the gateway; all of them outlive this one.
  struct Environment {
    TimerService& clock;
    UpstreamTransport& upstream;
    EventLog& log;
    RequestTable& requests;
    DeferredCalls& deferred;
    PolicyRunner& policy;
    Counters& counters;
  };
  // `attempt_limit`: of one request; further attempts end as not sent.
  AttemptExecution(const Environment& environment, int attempt_limit)
      : env_(environment), attempt_limit_(attempt_limit) {}

  // Sends the request to the endpoint as its next attempt. `timeout`: 0: until the request's deadline.
  void start(RequestId id, const EndpointId& endpoint, Duration timeout);

  // Cancels one attempt because the routing policy asks for it; nothing where it has ended already.
  void cancel(RequestId id, int number);
  // Cancels the attempts of which no byte has left.
  void cancel_unsent(RequestId id, Request& request);
  // Cancels all attempts because the request's deadline has come.
  void cancel_at_deadline(RequestId id, Request& request);

  // Marks an attempt as ended, without any report.
  void close(Attempt& attempt);
  // Reports the end of a closed attempt to the routing policy; erases the request if it is over with that.
  void report_end(RequestId id, int number, const AttemptResult& result);

 private:
  void cancel_sent(RequestId id, int number, AttemptOutcome outcome);
  void close_and_report(RequestId id, Request& request, int number, AttemptOutcome outcome);
  void report_end_soon(RequestId id, Request& request, int number, AttemptOutcome outcome);
  void log_end(const Request& request, int number, AttemptOutcome outcome);

  Environment env_;
  int attempt_limit_;
};

}  // namespace rushhill::core
