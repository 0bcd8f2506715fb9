#include "core/request_lifecycle.h"

#include <string>
#include <utility>

#include "core/upstream_transport.h"
#include "routing/routing_policy.h"

namespace rushhill::core {
namespace {

constexpr double ticks_per_ms = 10;  // Time counts tenths of a millisecond

const char* name_of(SourceRoom::End end) {
  switch (end) {
    case SourceRoom::End::succeeded:
      return "honoured";
    case SourceRoom::End::failed:
      return "given up";
    case SourceRoom::End::cancelled:
      break;
  }
  return "gone";
}

ExecutionCertainty fate_without_reply(const Request& request) {
  return request.attempts.empty() ? ExecutionCertainty::not_executed : ExecutionCertainty::may_have_executed;
}

}  // namespace

std::optional<RequestId> RequestLifecycle::accept(SourceRoom::Source source, Client& client,
                                                  RoutingRequest told, events::CloudEvent message) {
  if (!env_.room.within_share(source)) {
    ++env_.tally.not_accepted;
    return std::nullopt;
  }
  const auto [id, request] = env_.requests.add();
  told.id = id;
  request.client = &client;
  request.message = std::move(message);
  request.accepted = env_.clock.now();
  request.deadline = request.accepted + to_ticks(told.time_left);
  request.deadline_timer = env_.clock.at(request.deadline, [this, added = id] { expire(added); });
  request.source = source;
  env_.room.accepted(request.accepted, source);
  ++env_.tally.accepted;
  AdmissionVerdict verdict = AdmissionVerdict::untracked;
  if (env_.deduplication != nullptr) {
    verdict = env_.deduplication->admit(id, told.request_class, request.message, to_ticks(told.time_left));
  }
  apply(verdict, id, request, std::move(told));
  return id;
}

// What does not go on to the decision module is answered at once.
void RequestLifecycle::apply(AdmissionVerdict verdict, RequestId id, Request& request, RoutingRequest told) {
  request.awaiting_record.reset();
  switch (verdict) {
    case AdmissionVerdict::tracked:
      request.recorded = true;
      [[fallthrough]];
    case AdmissionVerdict::untracked:
      env_.policy.run([&](RoutingPolicy& policy, Timestamp now) { policy.request_received(now, told); });
      break;
    case AdmissionVerdict::pending:
      request.recorded = true;
      request.awaiting_record = std::move(told);
      break;
    case AdmissionVerdict::duplicate:
      answer_duplicate(id, request);
      break;
    case AdmissionVerdict::unavailable:
      ++env_.tally.not_replicated;
      reject(id, rejection_advice_);
      break;
  }
}

void RequestLifecycle::verdict(RequestId id, AdmissionVerdict verdict) {
  Request* request = env_.requests.find(id);
  if (request == nullptr || !request->awaiting_record || request->concluded) return;
  RoutingRequest told = std::move(*request->awaiting_record);
  told.time_left = to_duration(request->deadline - env_.clock.now());
  // In the tick of the deadline the deadline comes first.
  if (told.time_left <= Duration::zero()) {
    expire(id);
    return;
  }
  apply(verdict, id, *request, std::move(told));
}

void RequestLifecycle::cancelled(RequestId id, std::uint64_t unread) {
  env_.tally.attempts_after_cancel += unread;
  Request* request = env_.requests.find(id);
  if (request == nullptr || request->client == nullptr) return;
  request->client = nullptr;
  if (request->concluded) return;
  ++env_.tally.cancelled;
  const bool unknown_to_module = request->awaiting_record.has_value();
  conclude(id, *request, End::cancelled, fate_without_reply(*request));
  if (unknown_to_module) return;
  env_.policy.run([&](RoutingPolicy& policy, Timestamp now) { policy.client_cancelled(now, id); });
}

void RequestLifecycle::reject(RequestId id, Time retry_after) {
  Request* request = env_.requests.find(id);
  if (request == nullptr || request->concluded) return;
  ++env_.tally.rejected;
  conclude(id, *request, End::failed, ExecutionCertainty::not_executed);
  answer_soon(id, [retry_after, id](Client& client) { client.rejected(id, retry_after); });
}

void RequestLifecycle::fail(RequestId id) {
  Request* request = env_.requests.find(id);
  if (request == nullptr || request->concluded) return;
  ++env_.tally.failed;
  conclude(id, *request, End::failed, fate_without_reply(*request));
  answer_soon(id, [id](Client& client) { client.failed(id); });
}

void RequestLifecycle::answer_duplicate(RequestId id, Request& request) {
  ++env_.tally.failed;
  ++env_.tally.duplicates;
  conclude(id, request, End::failed, ExecutionCertainty::not_executed);
  answer_soon(id, [id](Client& client) { client.duplicate(id); });
}

// The decision module has given its answer before; where it has not, the core does.
void RequestLifecycle::expire(RequestId id) {
  Request* request = env_.requests.find(id);
  if (request == nullptr) return;
  if (!request->concluded) {
    if (request->awaiting_record) {  // the module has not heard of it
      reject(id, 0);
      return;
    }
    ++env_.tally.expired;
    env_.log.write(Level::error, "no answer by the hard limit", {{"event", request->message.id}});
    fail(id);
    env_.policy.run([&](RoutingPolicy& policy, Timestamp now) { policy.client_cancelled(now, id); });
  }
  env_.attempts.cancel_at_deadline(id, *request);
}

void RequestLifecycle::attempt_started(RequestId id) {
  const Request* request = env_.requests.find(id);
  if (request != nullptr && request->client != nullptr) request->client->attempt_started(id);
}

void RequestLifecycle::attempt_ended(RequestId id, int number, AttemptResult result) {
  Attempt* attempt = env_.requests.find_attempt(id, number);
  if (attempt == nullptr || !attempt->open) return;
  Request& request = env_.requests.at(id);
  // In the very tick of the deadline the deadline comes first.
  if (!request.concluded && env_.clock.now() >= request.deadline) {
    expire(id);
    return;
  }
  env_.attempts.close(*attempt);
  if (result.outcome == AttemptOutcome::succeeded && !request.concluded) {
    ++env_.tally.succeeded;
    conclude(id, request, End::succeeded, ExecutionCertainty::executed);
    Client* client = std::exchange(request.client, nullptr);
    client->succeeded(id, std::move(result.reply));
  }
  env_.attempts.report_end(id, number, result);
}

// From here on the request only waits for the ends of its attempts. Nothing is sent for it any more, whether
// or not what is out may be cancelled.
void RequestLifecycle::conclude(RequestId id, Request& request, End end, ExecutionCertainty fate) {
  if (request.recorded) env_.deduplication->request_ended(request.message, fate);
  env_.attempts.cancel_unsent(id, request);
  env_.room.concluded(env_.clock.now(), request.source, end);
  request.concluded = true;
  env_.deferred.run_soon([this, id] { env_.requests.erase_if_over(id); });
  log_conclusion(request, end);
}

void RequestLifecycle::log_conclusion(const Request& request, End end) {
  if (!env_.log.wants(Level::debug)) return;
  const double elapsed_ms = static_cast<double>(env_.clock.now() - request.accepted) / ticks_per_ms;
  env_.log.write(Level::debug, "final answer",
                 {{"outcome", name_of(end)},
                  {"event", request.message.id},
                  {"source", request.message.source},
                  {"shots", std::to_string(request.attempts.size())},
                  {"ms", std::to_string(elapsed_ms)}});
}

// Answers that the decision module gives leave when it has returned.
void RequestLifecycle::answer_soon(RequestId id, std::function<void(Client&)> answer) {
  ++env_.requests.at(id).deferred_calls;
  env_.deferred.run_soon([this, id, answer = std::move(answer)] {
    Request& request = env_.requests.at(id);
    --request.deferred_calls;
    Client* client = std::exchange(request.client, nullptr);
    if (client != nullptr) answer(*client);
    env_.requests.erase_if_over(id);
  });
}

}  // namespace rushhill::core
