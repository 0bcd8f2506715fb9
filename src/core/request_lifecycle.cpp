#include "core/request_lifecycle.h"

#include <chrono>
#include <ratio>
#include <string>
#include <utility>

#include "core/upstream_transport.h"
#include "routing/routing_policy.h"

namespace rushhill::core {
namespace {

using FractionalMilliseconds = std::chrono::duration<double, std::milli>;

const char* name_of(SourceLimiter::End end) {
  switch (end) {
    case SourceLimiter::End::succeeded:
      return "honoured";
    case SourceLimiter::End::failed:
      return "rejected or failed";
    case SourceLimiter::End::cancelled:
      break;
  }
  return "gone";
}

ExecutionCertainty certainty_without_reply(const Request& request) {
  return request.attempts.empty() ? ExecutionCertainty::not_executed : ExecutionCertainty::may_have_executed;
}

}  // namespace

std::optional<RequestId> RequestLifecycle::accept(SourceLimiter::Source source, Client& client,
                                                  RoutingRequest routing_request,
                                                  events::CloudEvent message) {
  if (!env_.source_limiter.within_share(source)) {
    ++env_.counters.not_accepted;
    return std::nullopt;
  }
  const auto [id, request] = env_.requests.add();
  routing_request.id = id;
  request.client = &client;
  request.memory = MemoryCharge(env_.request_memory, memory_of(message));
  request.message = std::move(message);
  request.accepted = env_.clock.timestamp();
  request.deadline = request.accepted + routing_request.time_left;
  request.deadline_timer =
      env_.clock.at(to_ticks(request.deadline), [this, request_id = id] { expire(request_id); });
  request.source = source;
  env_.source_limiter.request_accepted(request.accepted, source);
  ++env_.counters.accepted;
  AdmissionVerdict verdict = AdmissionVerdict::untracked;
  if (env_.deduplication != nullptr) {
    verdict = env_.deduplication->admit(id, routing_request.request_class, request.message,
                                        routing_request.time_left);
  }
  apply_verdict(verdict, id, request, std::move(routing_request));
  return id;
}

// Passes an admitted request to the routing policy; concludes a request that is not admitted.
void RequestLifecycle::apply_verdict(AdmissionVerdict verdict, RequestId id, Request& request,
                                     RoutingRequest routing_request) {
  request.awaiting_verdict.reset();
  switch (verdict) {
    case AdmissionVerdict::tracked:
      request.recorded = true;
      [[fallthrough]];
    case AdmissionVerdict::untracked:
      env_.policy.run(
          [&](RoutingPolicy& policy, Timestamp now) { policy.request_received(now, routing_request); });
      break;
    case AdmissionVerdict::pending:
      request.recorded = true;
      request.awaiting_verdict = std::move(routing_request);
      break;
    case AdmissionVerdict::duplicate:
      answer_duplicate(id, request);
      break;
    case AdmissionVerdict::unavailable:
      ++env_.counters.not_replicated;
      reject(id, retry_after_);
      break;
  }
}

void RequestLifecycle::admission_decided(RequestId id, AdmissionVerdict verdict) {
  Request* request = env_.requests.find(id);
  if (request == nullptr || !request->awaiting_verdict || request->concluded) return;
  RoutingRequest routing_request = std::move(*request->awaiting_verdict);
  routing_request.time_left = request->deadline - env_.clock.timestamp();
  // A verdict at the deadline is too late, even if the deadline timer has not fired yet.
  if (routing_request.time_left <= Duration::zero()) {
    expire(id);
    return;
  }
  apply_verdict(verdict, id, *request, std::move(routing_request));
}

void RequestLifecycle::client_cancelled(const ClientCancellation& cancellation) {
  env_.counters.attempts_after_cancel += cancellation.attempts_after_cancel;
  const RequestId id = cancellation.request;
  Request* request = env_.requests.find(id);
  if (request == nullptr || request->client == nullptr) return;
  request->client = nullptr;
  if (request->concluded) return;
  ++env_.counters.cancelled;
  const bool unseen_by_policy = request->awaiting_verdict.has_value();
  conclude(id, *request, End::cancelled, certainty_without_reply(*request));
  if (unseen_by_policy) return;
  env_.policy.run([&](RoutingPolicy& policy, Timestamp now) { policy.client_cancelled(now, id); });
}

void RequestLifecycle::reject(RequestId id, Duration retry_after) {
  Request* request = env_.requests.find(id);
  if (request == nullptr || request->concluded) return;
  ++env_.counters.rejected;
  conclude(id, *request, End::failed, ExecutionCertainty::not_executed);
  answer_soon(id, [retry_after, id](Client& client) { client.rejected(id, retry_after); });
}

void RequestLifecycle::fail(RequestId id) {
  Request* request = env_.requests.find(id);
  if (request == nullptr || request->concluded) return;
  ++env_.counters.failed;
  conclude(id, *request, End::failed, certainty_without_reply(*request));
  answer_soon(id, [id](Client& client) { client.failed(id); });
}

void RequestLifecycle::answer_duplicate(RequestId id, Request& request) {
  ++env_.counters.failed;
  ++env_.counters.duplicates;
  conclude(id, request, End::failed, ExecutionCertainty::not_executed);
  answer_soon(id, [id](Client& client) { client.duplicate(id); });
}

// The routing policy normally gives the final answer before the deadline; if it has not, the core does so
// here.
void RequestLifecycle::expire(RequestId id) {
  Request* request = env_.requests.find(id);
  if (request == nullptr) return;
  if (!request->concluded) {
    if (request->awaiting_verdict) {  // the policy has not seen the request
      reject(id, Duration::zero());
      return;
    }
    ++env_.counters.expired;
    env_.log.write(Level::error, "request failed without an answer from the routing policy",
                   {{"event", request->message.id}});
    fail(id);
    env_.policy.run([&](RoutingPolicy& policy, Timestamp now) { policy.client_cancelled(now, id); });
  }
  env_.attempts.expire_attempts(id, *request);
}

bool RequestLifecycle::may_start_attempt(RequestId id) const {
  const Request* request = env_.requests.find(id);
  return request == nullptr || request->client == nullptr || request->client->may_start_attempt(id);
}

void RequestLifecycle::attempt_started(RequestId id) {
  const Request* request = env_.requests.find(id);
  if (request != nullptr && request->client != nullptr) request->client->attempt_started(id);
}

void RequestLifecycle::attempt_ended(RequestId id, int number, AttemptResult result) {
  Attempt* attempt = env_.requests.find_attempt({.request = id, .number = number});
  if (attempt == nullptr || !attempt->open) return;
  Request& request = env_.requests.at(id);
  // An attempt that ends at the deadline is too late, even if the deadline timer has not fired yet.
  if (!request.concluded && env_.clock.timestamp() >= request.deadline) {
    expire(id);
    return;
  }
  env_.attempts.close(*attempt);
  if (result.outcome == AttemptOutcome::succeeded && !request.concluded) {
    ++env_.counters.succeeded;
    conclude(id, request, End::succeeded, ExecutionCertainty::executed);
    Client* client = std::exchange(request.client, nullptr);
    client->succeeded(id, std::move(result.reply));
  }
  env_.attempts.report_end(id, number, result);
}

// Marks the request as concluded. From then on it only waits for its attempts to end, and nothing more is
// sent for it: unsent attempts are cancelled here even if the configuration does not allow sent ones to be
// cancelled.
void RequestLifecycle::conclude(RequestId id, Request& request, End end, ExecutionCertainty certainty) {
  if (request.recorded) env_.deduplication->request_ended(request.message, certainty);
  env_.attempts.cancel_unsent(id, request);
  env_.source_limiter.request_concluded(env_.clock.timestamp(), request.source, end);
  request.concluded = true;
  env_.deferred.run_soon([this, id] { env_.requests.erase_if_finished(id); });
  log_conclusion(request, end);
}

void RequestLifecycle::log_conclusion(const Request& request, End end) {
  if (!env_.log.should_log(Level::debug)) return;
  const FractionalMilliseconds elapsed = env_.clock.timestamp() - request.accepted;
  env_.log.write(Level::debug, "request concluded",
                 {{"outcome", name_of(end)},
                  {"event", request.message.id},
                  {"source", request.message.source},
                  {"shots", std::to_string(request.attempts.size())},
                  {"ms", std::to_string(elapsed.count())}});
}

// Delivers the answer to the client after the current call has returned, ahead of other work: the deadline
// may be near.
void RequestLifecycle::answer_soon(RequestId id, std::function<void(Client&)> answer) {
  ++env_.requests.at(id).deferred_calls;
  env_.deferred.run_urgently([this, id, answer = std::move(answer)] {
    Request& request = env_.requests.at(id);
    --request.deferred_calls;
    Client* client = std::exchange(request.client, nullptr);
    if (client != nullptr) answer(*client);
    env_.requests.erase_if_finished(id);
  });
}

}  // namespace rushhill::core
