// The life of a request from its acceptance to its one final answer: the verdict of the ledger, the deadline,
// the client's leaving, the answers. Part of the gateway; docs/program.md, "The core".
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "core/attempt_execution.h"
#include "core/client.h"
#include "core/deduplication_log.h"
#include "core/event_log.h"
#include "core/source_room.h"
#include "core/timer_service.h"
#include "core/upstream_transport.h"

namespace rushhill::core {

class RequestLifecycle {
 public:
  struct Environment {
    TimerService& clock;
    EventLog& log;
    DeduplicationLog* deduplication;  // none: nothing outlives this router
    RequestTable& requests;
    AttemptExecution& attempts;
    SourceRoom& room;
    DeferredCalls& deferred;
    PolicyRunner& policy;
    Counters& tally;
  };
  // `rejection_advice`: when a client may come back whose deduplication record was not held; 0: no advice.
  RequestLifecycle(const Environment& environment, Time rejection_advice)
      : env_(environment), rejection_advice_(rejection_advice) {}

  // Accepts a request unless its source has no room. The client's answer never comes before this returns.
  std::optional<RequestId> accept(SourceRoom::Source source, Client& client, RoutingRequest told,
                                  events::CloudEvent message);
  // The ledger's verdict on a request that waited for it.
  void verdict(RequestId id, AdmissionVerdict verdict);

  // The client has left. `unread`: attempts that started for it while its leaving stood to be read.
  void cancelled(RequestId id, std::uint64_t unread);
  // Final answers that the decision module asks for; nothing where the request has one.
  void reject(RequestId id, Time retry_after);
  void fail(RequestId id);
  // The deadline has come, or the router must end.
  void expire(RequestId id);

  void attempt_started(RequestId id);
  void attempt_ended(RequestId id, int number, AttemptResult result);

 private:
  using End = SourceRoom::End;

  void apply(AdmissionVerdict verdict, RequestId id, Request& request, RoutingRequest told);
  void answer_duplicate(RequestId id, Request& request);
  void conclude(RequestId id, Request& request, End end, ExecutionCertainty fate);
  void log_conclusion(const Request& request, End end);
  void answer_soon(RequestId id, std::function<void(Client&)> answer);

  Environment env_;
  Time rejection_advice_;
};

}  // namespace rushhill::core
