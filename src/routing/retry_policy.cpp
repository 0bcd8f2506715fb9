#include "routing/retry_policy.h"

#include <algorithm>

namespace rushhill::routing {
namespace {

// In response times. If they are exponentially distributed, 1 in 400 is longer.
constexpr double overdue_factor = 6;
constexpr double ejected_overdue_factor = 3;  // in response times, at an ejected endpoint
// Overdue attempts that one success allows to hedge or cancel: about as many as one silent endpoint causes.
constexpr double budget_per_success = 0.1;

}  // namespace

bool RetryPolicy::earlier_attempts_allow(Timestamp now, const TrackedRequest& tracked,
                                         const EndpointRecord& endpoint) const {
  const RequestClass& request_class = tracked.request_class();
  return std::ranges::none_of(tracked.attempts, [&](const Attempt& attempt) {
    return forbids_another(now, request_class, attempt, endpoint);
  });
}

bool RetryPolicy::forbids_another(Timestamp now, const RequestClass& request_class, const Attempt& attempt,
                                  const EndpointRecord& endpoint) const {
  if (attempt.open && !retries_.hedging) return true;
  if (!attempt.open && !attempt.may_have_run) return false;
  if (request_class.retry_safety == RetrySafety::at_most_once) return true;
  if (request_class.retry_safety == RetrySafety::idempotent) return false;
  return now >= key_forgotten_at(request_class, attempt) ||
         !shares_deduplication(request_class.deduplication_scope, attempt.endpoint, endpoint);
}

Timestamp RetryPolicy::start_before(const TrackedRequest& tracked) const {
  const RequestClass& request_class = tracked.request_class();
  Timestamp start_before = Timestamp::max();
  if (request_class.retry_safety != RetrySafety::keyed) return start_before;
  for (const Attempt& attempt : tracked.attempts) {
    if (attempt.open || attempt.may_have_run)
      start_before = std::min(start_before, key_forgotten_at(request_class, attempt));
  }
  return start_before;
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

Duration RetryPolicy::overdue_delay(const EstimateKey& key, const Attempt& attempt,
                                    const EndpointRecord& endpoint) const {
  const bool ejected = endpoint.outlier.ejected();
  const FractionalDuration response_time = estimates_.response_time(key) * estimates_.fleet_pace() *
                                           (ejected ? ejected_overdue_factor : overdue_factor);
  const int loads = (ejected ? 0 : 1) + (attempt.copy_confirmed ? 0 : 1);
  const FractionalDuration expected = response_time + loads * estimates_.load_time(key);
  return std::chrono::duration_cast<Duration>(expected) + 2 * tick_;
}

OverdueAction RetryPolicy::overdue_action(const TrackedRequest& tracked) const {
  const RequestClass& request_class = tracked.request_class();
  if (request_class.retry_safety == RetrySafety::at_most_once) return OverdueAction::none;
  if (!has_attempts_left(tracked) || overdue_budget_ < 1) return OverdueAction::none;
  if (retries_.hedging) return OverdueAction::hedge;
  const bool key_is_local = request_class.retry_safety == RetrySafety::keyed &&
                            request_class.deduplication_scope != DeduplicationScope::everywhere;
  if (!retries_.cancel_attempts || key_is_local) return OverdueAction::none;
  return OverdueAction::cancel;
}

void RetryPolicy::attempt_succeeded() {
  overdue_budget_ = std::min(overdue_budget_ + budget_per_success, max_overdue_budget);
}

}  // namespace rushhill::routing
