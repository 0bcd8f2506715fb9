// When a further attempt of a request is safe (rules 1 and 2), when an attempt is overdue, and how many
// overdue ones may be moved or hedged (docs/design.md, "Five rules").
#pragma once

#include <cstdint>

#include "routing/configuration.h"
#include "routing/endpoint_table.h"
#include "routing/latency_estimates.h"
#include "routing/request_tracker.h"

namespace rushhill::routing {

// What is to be done about a request whose newest attempt is overdue.
enum class OverdueAction : std::uint8_t { none, hedge, cancel };

// The rules, and the budget of overdue attempts that may be sent again.
class RetryPolicy {
 public:
  RetryPolicy(const RoutingConfiguration& configuration, const EndpointTable& endpoints,
              const LatencyEstimates& estimates)
      : retries_(configuration.retries), tick_(configuration.tick), endpoints_(endpoints),
        estimates_(estimates) {}

  // Rule 1. Whether the request may have a further attempt anywhere.
  bool may_attempt(Timestamp now, const TrackedRequest& tracked) const {
    return !tracked.done && !tracked.streaming() && now < tracked.limit && attempts_left(tracked);
  }
  // Rule 2. Whether its earlier attempts allow that attempt at this endpoint.
  bool may_attempt_at(Timestamp now, const TrackedRequest& tracked, const EndpointRecord& endpoint) const {
    return tracked.attempts.empty() || earlier_allow(now, tracked, endpoint);
  }
  // Whether the request may be rejected: its attempts have had no effect, or none that a repetition doubles.
  static bool may_reject(const TrackedRequest& tracked);
  bool attempts_left(const TrackedRequest& tracked) const {
    return static_cast<int>(tracked.attempts.size()) < retries_.attempt_limit;
  }

  // How long an attempt may be out before it is overdue; short where its endpoint is ejected already.
  Duration patience(const EstimateKey& key, const Attempt& attempt, const EndpointRecord& endpoint) const;
  bool overdue(Timestamp now, const EstimateKey& key, const Attempt& attempt,
               const EndpointRecord& endpoint) const {
    return now >= attempt.sent + patience(key, attempt, endpoint);
  }
  // Whether an attempt has been out for longer than usual.
  bool outlasts(Timestamp now, const EstimateKey& key, const Attempt& attempt) const {
    return now - attempt.sent > outlasting_factor * estimates_.no_load_response_time(key);
  }
  // Where the fleet is late, what is overdue is only late too: doubling all of it would make that worse.
  OverdueAction overdue_action(const TrackedRequest& tracked) const;

  void attempt_succeeded();
  void overdue_moved() { overdue_budget_ -= 1; }

 private:
  static constexpr double most_overdue_budget = 5;  // moved at once
  static constexpr double outlasting_factor = 0.5;  // response times; an attempt just sent tells nothing

  bool earlier_allow(Timestamp now, const TrackedRequest& tracked, const EndpointRecord& endpoint) const;
  bool hinders_another(Timestamp now, const RequestClass& request_class, const Attempt& attempt,
                       const EndpointRecord& endpoint) const;
  bool shares_deduplication(DeduplicationScope scope, const EndpointId& earlier,
                            const EndpointRecord& other) const;

  const RetryConfiguration& retries_;
  Duration tick_;
  const EndpointTable& endpoints_;
  const LatencyEstimates& estimates_;
  double overdue_budget_ = most_overdue_budget;
};

}  // namespace rushhill::routing
