// How often this router sees an endpoint, and how long a past therefore tells of the present (docs/design.md,
// "What changed for size").
#pragma once

#include "routing/attempt_history.h"
#include "routing/sliding_window.h"
#include "routing/time.h"

namespace rushhill::routing {

constexpr double most_prior_samples = 3;  // answers an endpoint must show before its figures are its own
constexpr int fewest_recent_buckets = 4;  // so that a fault shows within one or two

// Counts the requests that this router takes, over all functions.
using RequestWindow = SlidingWindow<double, history_buckets>;

// All that is judged over time follows the interval in which each endpoint gets one of this router's
// requests.
class ObservationWindow {
 public:
  // The first message of the endpoint list starts it.
  bool started() const { return started_at_ != Timestamp{}; }
  void start(Timestamp now) { started_at_ = now; }

  void request_taken(Timestamp now) { requests_.bucket_at(now) += 1; }
  double requests(Timestamp now) const { return requests_.total(now); }

  // How long this router has observed; `seen` of it is within the history.
  Duration observed_for(Timestamp now) const { return now - started_at_; }
  Duration seen(Timestamp now) const;

  // Takes the interval anew for so many endpoints that may receive requests.
  void update(Timestamp now, double serving_endpoints);

  // An endpoint gets one of this router's requests in about that; no longer than the history.
  Duration interval() const { return interval_; }
  // The part of the history that one interval covers, up to 1.
  double interval_share() const;
  // Buckets of a history that tell of the present.
  int recent_buckets() const { return recent_buckets_; }
  // Answers that an endpoint must show before its figures count as much as the fleet's.
  double prior_samples() const { return prior_samples_; }

 private:
  RequestWindow requests_{history_bucket_width};
  Timestamp started_at_{};
  Duration interval_ = one_second;
  int recent_buckets_ = fewest_recent_buckets;
  double prior_samples_ = most_prior_samples;
};

}  // namespace rushhill::routing
