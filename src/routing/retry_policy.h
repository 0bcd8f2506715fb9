// Decides when a further attempt of a request is safe (rules 1 and 2), when an attempt is overdue, and how
// many overdue attempts may be hedged or cancelled (docs/design.md, "Five rules").
#pragma once

#include <cstdint>

#include "routing/configuration.h"
#include "routing/endpoint_table.h"
#include "routing/latency_estimates.h"
#include "routing/request_tracker.h"

namespace rushhill::routing {

// The reaction to a request whose newest attempt is overdue.
enum class OverdueAction : std::uint8_t { none, hedge, cancel };

// Applies the retry rules and holds the budget for overdue attempts.
class RetryPolicy {
 public:
  RetryPolicy(const RoutingConfiguration& configuration, const EndpointTable& endpoints,
              const LatencyEstimates& estimates)
      : retries_(configuration.retries), tick_(configuration.tick), endpoints_(endpoints),
        estimates_(estimates) {}

  // Rule 1. Returns whether the request may have a further attempt at any endpoint.
  bool may_attempt(Timestamp now, const TrackedRequest& tracked) const {
    return !tracked.done && !tracked.streaming() && now < tracked.answer_deadline &&
           has_attempts_left(tracked);
  }
  // Rule 2. Returns whether the earlier attempts allow a further one at this endpoint.
  bool may_attempt_at(Timestamp now, const TrackedRequest& tracked, const EndpointRecord& endpoint) const {
    return tracked.attempts.empty() || earlier_attempts_allow(now, tracked, endpoint);
  }
  // Returns before when the next attempt has to leave, so that no endpoint has forgotten the request's
  // idempotency key by then.
  Timestamp start_before(const TrackedRequest& tracked) const;
  // Returns whether the request may be rejected: its attempts had no effect, or a retry does not repeat the
  // effect.
  static bool may_reject(const TrackedRequest& tracked);
  bool has_attempts_left(const TrackedRequest& tracked) const {
    return static_cast<int>(tracked.attempts.size()) < retries_.attempt_limit;
  }

  // Returns the time after which an open attempt is overdue. It is shorter at an ejected endpoint.
  Duration overdue_delay(const EstimateKey& key, const Attempt& attempt,
                         const EndpointRecord& endpoint) const;
  bool is_overdue(Timestamp now, const EstimateKey& key, const Attempt& attempt,
                  const EndpointRecord& endpoint) const {
    return now >= attempt.sent + overdue_delay(key, attempt, endpoint);
  }
  // Returns whether the attempt has been open for so long that it counts as a sign of load.
  bool is_long_running(Timestamp now, const EstimateKey& key, const Attempt& attempt) const {
    return now - attempt.sent > long_running_factor * estimates_.no_load_response_time(key);
  }
  // Returns the action for a request whose newest attempt is overdue. A budget limits the hedged and
  // cancelled attempts: when the whole fleet is slow, overdue attempts are merely slow, and sending all of
  // them again would add to the load.
  OverdueAction overdue_action(const TrackedRequest& tracked) const;

  void attempt_succeeded();
  void spend_overdue_budget() { overdue_budget_ -= 1; }

 private:
  static constexpr double max_overdue_budget = 5;  // attempts hedged or cancelled in a burst
  // In no-load response times. A younger attempt says nothing about load.
  static constexpr double long_running_factor = 0.5;

  bool earlier_attempts_allow(Timestamp now, const TrackedRequest& tracked,
                              const EndpointRecord& endpoint) const;
  Timestamp key_forgotten_at(const RequestClass& request_class, const Attempt& attempt) const {
    return attempt.sent + request_class.deduplication_span - tick_;
  }
  bool forbids_another(Timestamp now, const RequestClass& request_class, const Attempt& attempt,
                       const EndpointRecord& endpoint) const;
  bool shares_deduplication(DeduplicationScope scope, const EndpointId& earlier,
                            const EndpointRecord& other) const;

  const RetryConfiguration& retries_;
  Duration tick_;
  const EndpointTable& endpoints_;
  const LatencyEstimates& estimates_;
  double overdue_budget_ = max_overdue_budget;
};

}  // namespace rushhill::routing
