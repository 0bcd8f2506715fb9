#include "routing/retry_policy.h"

#include <algorithm>

namespace rushhill::routing {
namespace {

constexpr double patience_factor = 6;          // response times; an exponential one is longer 1 time in 400
constexpr double ejected_patience_factor = 3;  // response times, at an ejected endpoint
constexpr double budget_per_success = 0.1;     // a silent endpoint costs as many

}  // namespace

bool RetryPolicy::earlier_allow(Timestamp now, const TrackedRequest& tracked,
                                const EndpointRecord& endpoint) const {
  const RequestClass& request_class = tracked.request_class();
  return std::ranges::none_of(tracked.attempts, [&](const Attempt& attempt) {
    return hinders_another(now, request_class, attempt, endpoint);
  });
}

bool RetryPolicy::hinders_another(Timestamp now, const RequestClass& request_class, const Attempt& attempt,
                                  const EndpointRecord& endpoint) const {
  if (attempt.open && !retries_.hedging) return true;
  if (!attempt.open && !attempt.may_have_run) return false;
  if (request_class.retry_safety == RetrySafety::at_most_once) return true;
  if (request_class.retry_safety == RetrySafety::idempotent) return false;
  const bool key_forgotten = now - attempt.sent + tick_ >= request_class.deduplication_span;
  return key_forgotten ||
         !shares_deduplication(request_class.deduplication_scope, attempt.endpoint, endpoint);
}

bool RetryPolicy::shares_deduplication(DeduplicationScope scope, const EndpointId& earlier,
                                       const EndpointRecord& other) const {
  const EndpointRecord* const record = endpoints_.find(earlier);
  if (record == nullptr) return false;
  switch (scope) {
    case DeduplicationScope::everywhere:
      return true;
    case DeduplicationScope::location:
      return record->endpoint.location == other.endpoint.location;
    case DeduplicationScope::cell:
      return record->endpoint.cell == other.endpoint.cell;
  }
  return false;
}

bool RetryPolicy::may_reject(const TrackedRequest& tracked) {
  const RequestClass& request_class = tracked.request_class();
  if (request_class.retry_safety == RetrySafety::idempotent) return true;
  if (request_class.retry_safety == RetrySafety::keyed &&
      request_class.deduplication_scope == DeduplicationScope::everywhere) {
    return true;
  }
  return std::ranges::none_of(tracked.attempts, &Attempt::may_have_run);
}

Duration RetryPolicy::patience(const EstimateKey& key, const Attempt& attempt,
                               const EndpointRecord& endpoint) const {
  const bool ejected = endpoint.outlier.ejected();
  const FractionalDuration response_time = estimates_.response_time(key) * estimates_.fleet_pace() *
                                           (ejected ? ejected_patience_factor : patience_factor);
  const int loads = (ejected ? 0 : 1) + (attempt.copy_confirmed ? 0 : 1);
  const FractionalDuration expected = response_time + loads * estimates_.load_time(key);
  return std::chrono::duration_cast<Duration>(expected) + 2 * tick_;
}

OverdueAction RetryPolicy::overdue_action(const TrackedRequest& tracked) const {
  const RequestClass& request_class = tracked.request_class();
  if (request_class.retry_safety == RetrySafety::at_most_once) return OverdueAction::none;
  if (!attempts_left(tracked) || overdue_budget_ < 1) return OverdueAction::none;
  if (retries_.hedging) return OverdueAction::hedge;
  const bool key_is_local = request_class.retry_safety == RetrySafety::keyed &&
                            request_class.deduplication_scope != DeduplicationScope::everywhere;
  if (!retries_.cancel_attempts || key_is_local) return OverdueAction::none;
  return OverdueAction::cancel;
}

void RetryPolicy::attempt_succeeded() {
  overdue_budget_ = std::min(overdue_budget_ + budget_per_success, most_overdue_budget);
}

}  // namespace rushhill::routing
