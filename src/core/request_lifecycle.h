// The life of a request from its acceptance to its one final answer: the verdict of the ledger, the deadline,
// the client's leaving, the answers. Part of the gateway; docs/program.md, "The core".
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "core/attempt_execution.h"
#include "core/source_room.h"

namespace rushhill::core {

class RequestLifecycle {
 public:
  struct Environment {
    Clockwork& clock;
    Diary& log;
    Ledger* ledger;  // none: nothing outlives this router
    RequestTable& requests;
    AttemptExecution& attempts;
    SourceRoom& room;
    DeferredCalls& deferred;
    DecisionModule& decisions;
    Tally& tally;
  };
  // `rejection_advice`: when a client may come back whose deduplication record was not held; 0: no advice.
  RequestLifecycle(const Environment& environment, Time rejection_advice)
      : env_(environment), rejection_advice_(rejection_advice) {}

  // Accepts a request unless its source has no room. The client's answer never comes before this returns.
  std::optional<EventId> accept(SourceRoom::Source source, Client& client, Event told,
                                events::CloudEvent message);
  // The ledger's verdict on a request that waited for it.
  void verdict(EventId id, Taking verdict);

  // The client has left. `unread`: attempts that started for it while its leaving stood to be read.
  void cancelled(EventId id, std::uint64_t unread);
  // Final answers that the decision module asks for; nothing where the request has one.
  void reject(EventId id, Time retry_after);
  void fail(EventId id);
  // The deadline has come, or the router must end.
  void expire(EventId id);

  void attempt_started(EventId id);
  void attempt_ended(EventId id, int number, ShotResult result);

 private:
  using End = SourceRoom::End;

  void apply(Taking verdict, EventId id, Request& request, Event told);
  void answer_known(EventId id, Request& request);
  void conclude(EventId id, Request& request, End end, Fate fate);
  void log_conclusion(const Request& request, End end);
  void answer_soon(EventId id, std::function<void(Client&)> answer);

  Environment env_;
  Time rejection_advice_;
};

}  // namespace rushhill::core
