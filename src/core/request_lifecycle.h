// The life of a request from its acceptance to its one final answer: the admission verdict, the deadline, the
// cancellation by the client, the answers. Part of the gateway; docs/program.md, "The core".
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

// The client of a request has left. `attempts_unread`: see Gateway::client_cancelled.
struct ClientCancellation {
  RequestId request = 0;
  std::uint64_t attempts_unread = 0;
};

// Decides when and how each request of the RequestTable is concluded.
class RequestLifecycle {
 public:
  // The other parts of the gateway; all of them outlive this one.
  struct Environment {
    TimerService& clock;
    EventLog& log;
    DeduplicationLog* deduplication;  // none: nothing outlives this router
    RequestTable& requests;
    AttemptExecution& attempts;
    SourceRoom& room;
    DeferredCalls& deferred;
    PolicyRunner& policy;
    Counters& counters;
  };
  // `retry_after`: when clients may come back whose requests could not be recorded; zero: no advice.
  RequestLifecycle(const Environment& environment, Duration retry_after)
      : env_(environment), retry_after_(retry_after) {}

  // Accepts a request unless its source has no room. The client's answer never comes before this returns.
  std::optional<RequestId> accept(SourceRoom::Source source, Client& client, RoutingRequest routing_request,
                                  events::CloudEvent message);
  // The verdict on a request that waited for it.
  void admission_decided(RequestId id, AdmissionVerdict verdict);

  void cancelled(const ClientCancellation& cancellation);
  // Final answers that the routing policy asks for; nothing where the request has one.
  void reject(RequestId id, Duration retry_after);
  void fail(RequestId id);
  // The deadline has come, or the router must end.
  void expire(RequestId id);

  void attempt_started(RequestId id);
  void attempt_ended(RequestId id, int number, AttemptResult result);

 private:
  using End = SourceRoom::End;

  void apply(AdmissionVerdict verdict, RequestId id, Request& request, RoutingRequest routing_request);
  void answer_duplicate(RequestId id, Request& request);
  void conclude(RequestId id, Request& request, End end, ExecutionCertainty certainty);
  void log_conclusion(const Request& request, End end);
  void answer_soon(RequestId id, std::function<void(Client&)> answer);

  Environment env_;
  Duration retry_after_;
};

}  // namespace rushhill::core
