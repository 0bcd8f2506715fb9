#include "routing/request_dispatcher.h"

#include <algorithm>
#include <set>

namespace rushhill::routing {
namespace {

// Requests beyond their tenant's quota are shed first: they may use only this fraction of the time left.
constexpr double over_quota_wait_share = 0.5;
// In response times. No request is shed for an expected response time within that.
constexpr double tolerated_wait_factor = 2;
// In response times. A request with less time left does not wait for an endpoint.
constexpr double min_time_left_factor = 2;

EstimateKey estimate_key_of(const TrackedRequest& tracked, const FunctionRecord& function) {
  return {.request_class = *tracked.class_estimate, .function = function.times};
}

}  // namespace

void RequestDispatcher::dispatch(Timestamp now, TrackedRequest& tracked) {
  tracked.waiting = false;
  FunctionRecord& function = parts_.functions.at(tracked.request.function);
  const EstimateKey key = estimate_key_of(tracked, function);
  EndpointRecord* const endpoint = parts_.selector.select(now, tracked, function);
  if (endpoint == nullptr) {
    wait_or_shed(now, key, tracked);
    return;
  }
  // An answer after the objective or the client's deadline would be wasted work, so the request is shed at
  // once.
  const bool too_late = would_be_late(now, key, tracked, *endpoint);
  if (too_late && RetryPolicy::may_reject(tracked) && !tracked.has_open_attempt()) {
    shed_request(tracked);
    return;
  }
  send_attempt(now, tracked, function, *endpoint);
}

// No endpoint may get the request now. It waits while it can still be answered in time.
void RequestDispatcher::wait_or_shed(Timestamp now, const EstimateKey& key, TrackedRequest& tracked) {
  const FractionalDuration time_left = std::min(tracked.objective, tracked.answer_deadline) - now;
  const bool worth_waiting = !tracked.over_quota && RetryPolicy::may_reject(tracked) &&
                             parts_.retries.has_attempts_left(tracked) &&
                             min_time_left_factor * parts_.estimates.response_time(key) < time_left;
  if (worth_waiting) {
    parts_.requests.add_waiting(tracked);
  } else {
    shed_request(tracked);
  }
}

bool RequestDispatcher::would_be_late(Timestamp now, const EstimateKey& key, const TrackedRequest& tracked,
                                      const EndpointRecord& endpoint) const {
  const FractionalDuration objective_left = tracked.objective - now;
  const FractionalDuration deadline_left = tracked.answer_deadline - now;
  const FractionalDuration response_time = parts_.estimates.response_time(key);
  const FractionalDuration expected = parts_.scorer.expected_response_time(now, response_time, endpoint);
  const FractionalDuration tolerated =
      tracked.over_quota ? objective_left * over_quota_wait_share : objective_left;
  if (expected > std::max(tolerated, tolerated_wait_factor * response_time)) return true;
  if (expected > deadline_left) return true;
  const double value = tracked.over_quota ? parts_.configuration.over_quota_value : 1;
  return parts_.overload.misses_objective(
      {.no_load_time = parts_.estimates.no_load_response_time(key), .time_left = objective_left * value});
}

void RequestDispatcher::send_attempt(Timestamp now, TrackedRequest& tracked, FunctionRecord& function,
                                     EndpointRecord& endpoint) {
  const EndpointId& id = endpoint.endpoint.id;
  BelievedCopy& copy = function.copies.at(id);
  const Timestamp start_before = parts_.retries.start_before(tracked);
  const bool confirmed = copy.attempt_sent(now, parts_.configuration.copies.keep_alive);
  tracked.attempts.push_back({.endpoint = id, .sent = now, .copy_confirmed = confirmed});
  endpoint.in_flight.sent();
  endpoint.liveness.attempt_sent(now);
  parts_.warm_up.request_sent(now, *tracked.class_estimate, endpoint);
  parts_.host.send_attempt(tracked.request.id, id, {.start_before = start_before});
}

bool RequestDispatcher::wait_for_prewarm(Timestamp now, const EndpointId& endpoint, TrackedRequest& tracked) {
  BelievedCopy& copy = parts_.functions.at(tracked.request.function).copies.at(endpoint);
  EndpointRecord& record = parts_.endpoints.at(endpoint);
  if (!copy.prewarming() && !may_prewarm(now, record)) return false;
  if (copy.prewarm_ordered()) {
    parts_.load_budget.order_sent(now);
    record.tokens.take(1);
    parts_.host.prewarm(endpoint, tracked.request.function, 1);
  }
  // An attempt sent now could overtake the order, so the request is dispatched in the next maintenance or
  // when the order ends.
  parts_.requests.add_waiting(tracked);
  return true;
}

// Rule 5. Returns whether one more function may be prewarmed at this endpoint.
bool RequestDispatcher::may_prewarm(Timestamp now, const EndpointRecord& endpoint) const {
  return endpoint.may_receive() && parts_.warm_up.admits_order(now, endpoint) &&
         parts_.load_budget.allows_order(now);
}

void RequestDispatcher::check_overdue(Timestamp now, TrackedRequest& tracked) {
  if (tracked.done || tracked.streaming() || tracked.attempts.empty() || !tracked.attempts.back().open)
    return;
  FunctionRecord& function = parts_.functions.at(tracked.request.function);
  const EstimateKey key = estimate_key_of(tracked, function);
  for (Attempt& attempt : tracked.attempts) {
    // An open attempt that was already judged is overdue. It does not count as load: at a silent endpoint it
    // delays no other request.
    if (attempt.open && !attempt.judged) check_attempt(now, key, attempt);
  }
  const Attempt& newest = tracked.attempts.back();
  const EndpointRecord& endpoint = parts_.endpoints.at(newest.endpoint);
  const Timestamp awaiting_since = endpoint.liveness.awaiting_since();
  const bool silent = awaiting_since != Timestamp{} && awaiting_since <= newest.sent;
  if (!silent && !endpoint.outlier.ejected()) return;
  if (parts_.retries.is_overdue(now, key, newest, endpoint)) hedge_or_cancel(now, tracked, function);
}

void RequestDispatcher::check_attempt(Timestamp now, const EstimateKey& key, Attempt& attempt) {
  EndpointRecord& endpoint = parts_.endpoints.at(attempt.endpoint);
  if (parts_.retries.is_long_running(now, key, attempt)) endpoint.in_flight.add_long_running();
  if (parts_.retries.is_overdue(now, key, attempt, endpoint))
    monitor_.judge_attempt(now, true, attempt, endpoint);
}

void RequestDispatcher::hedge_or_cancel(Timestamp now, TrackedRequest& tracked, FunctionRecord& function) {
  const OverdueAction action = parts_.retries.overdue_action(tracked);
  if (action == OverdueAction::none) return;
  if (action == OverdueAction::hedge) {
    EndpointRecord* const endpoint = parts_.selector.select(now, tracked, function);
    if (endpoint == nullptr || tracked.newest_attempt_at(endpoint->endpoint.id) != nullptr) return;
    send_attempt(now, tracked, function, *endpoint);
  } else {
    parts_.host.cancel_attempt(tracked.request.id, static_cast<int>(tracked.attempts.size()) - 1);
  }
  parts_.retries.spend_overdue_budget();
}

void RequestDispatcher::end_before_deadline(Timestamp now, Duration reserve, TrackedRequest& tracked) {
  if (tracked.done || tracked.streaming()) return;
  const Timestamp deadline = tracked.answer_deadline + parts_.configuration.tick;
  if (now + std::min(reserve, tracked.request.time_left / 2) >= deadline) end_unanswered(tracked);
}

void RequestDispatcher::end_unanswered(TrackedRequest& tracked) {
  cancel_open_attempts(tracked);
  reject_or_fail(tracked, Duration::zero());
}

void RequestDispatcher::cancel_open_attempts(const TrackedRequest& tracked) {
  if (!parts_.configuration.retries.cancel_attempts || tracked.streaming()) return;
  for (std::size_t number = 0; number < tracked.attempts.size(); ++number) {
    if (!tracked.attempts[number].open) continue;
    parts_.host.cancel_attempt(tracked.request.id, static_cast<int>(number));
  }
}

void RequestDispatcher::reject_or_fail(TrackedRequest& tracked, Duration retry_after) {
  const RetryConfiguration& retries = parts_.configuration.retries;
  if (RetryPolicy::may_reject(tracked)) {
    const Duration advice = std::min(retry_after, retries.max_retry_after);
    parts_.host.reject(tracked.request.id, retries.retry_after ? advice : Duration::zero());
  } else {
    parts_.host.fail(tracked.request.id);
  }
  parts_.requests.finish(tracked);
}

void RequestDispatcher::dispatch_waiting(Timestamp now) {
  const std::set<RequestId> waiting = parts_.requests.take_waiting();
  for (const RequestId id : waiting) {
    TrackedRequest* const tracked = parts_.requests.find(id);
    if (tracked != nullptr && !tracked->done && tracked->waiting) dispatch(now, *tracked);
  }
}

}  // namespace rushhill::routing
