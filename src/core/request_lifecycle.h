// Handles a request from its acceptance to its final answer: the admission verdict, the deadline,
// cancellation by the client, and the answers. Part of the gateway; docs/program.md, "The core".
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "core/attempt_execution.h"
#include "core/client.h"
#include "core/deduplication_log.h"
#include "core/event_log.h"
#include "core/memory_budget.h"
#include "core/source_limiter.h"
#include "core/timer_service.h"
#include "core/upstream_transport.h"

namespace rushhill::core {

// A cancellation by the client. See Gateway::client_cancelled() for `attempts_after_cancel`.
struct ClientCancellation {
  RequestId request = 0;
  std::uint64_t attempts_after_cancel = 0;
};

// Concludes each request of the RequestTable exactly once: with a final answer, or by the client's
// cancellation.
class RequestLifecycle {
 public:
  // The other parts of the gateway, all of which must outlive this one.
  struct Environment {
    TimerService& clock;
    EventLog& log;
    DeduplicationLog* deduplication;         // null if no records are replicated
    MemoryBudget* request_memory = nullptr;  // null if it is not limited
    RequestTable& requests;
    AttemptExecution& attempts;
    SourceLimiter& source_limiter;
    DeferredCalls& deferred;
    PolicyRunner& policy;
    Counters& counters;
  };
  // `retry_after` is the delay advised to clients whose requests the deduplication log could not record; zero
  // means that no delay is advised.
  RequestLifecycle(const Environment& environment, Duration retry_after)
      : env_(environment), retry_after_(retry_after) {}

  // Accepts a request, or returns nothing if its source is over its limit. The final answer is never
  // delivered before this call returns.
  std::optional<RequestId> accept(SourceLimiter::Source source, Client& client,
                                  RoutingRequest routing_request, events::CloudEvent message);
  // The deduplication log has decided on a request that was waiting for the verdict.
  void admission_decided(RequestId id, AdmissionVerdict verdict);

  void client_cancelled(const ClientCancellation& cancellation);
  // Give the final answer that the routing policy has decided on. They do nothing if the request has one
  // already.
  void reject(RequestId id, Duration retry_after);
  void fail(RequestId id);
  // Ends a request whose deadline has passed, or which is open when the router must terminate.
  void expire(RequestId id);

  bool may_start_attempt(RequestId id) const;
  void attempt_started(RequestId id);
  void attempt_ended(RequestId id, int number, AttemptResult result);

 private:
  using End = SourceLimiter::End;

  void apply_verdict(AdmissionVerdict verdict, RequestId id, Request& request,
                     RoutingRequest routing_request);
  void answer_duplicate(RequestId id, Request& request);
  void conclude(RequestId id, Request& request, End end, ExecutionCertainty certainty);
  void log_conclusion(const Request& request, End end);
  void answer_soon(RequestId id, std::function<void(Client&)> answer);

  Environment env_;
  Duration retry_after_;
};

}  // namespace rushhill::core
