// Tracks how often this router uses an endpoint, which determines how far back statistics about it must reach
// (docs/design.md, "What changed for size").
#pragma once

#include "routing/attempt_history.h"
#include "routing/sliding_window.h"
#include "routing/time.h"

namespace rushhill::routing {

// From this many answers on, an endpoint's own statistics count at least as much as the fleet's.
constexpr double max_prior_samples = 3;
// With so few buckets, a fault shows within one or two of them.
constexpr int min_recent_buckets = 4;

// Counts requests over the history span.
using RequestWindow = SlidingWindow<double, history_buckets>;

// Derives the spans over which endpoints are judged from the observation interval: the mean time between two
// requests of this router to the same endpoint.
class ObservationWindow {
 public:
  // Observation starts with the first endpoint list message.
  bool started() const { return started_at_ != Timestamp{}; }
  void start(Timestamp now) { started_at_ = now; }

  void request_received(Timestamp now) { requests_.bucket_at(now) += 1; }
  double requests(Timestamp now) const { return requests_.total(now); }

  // How long this router has been observing.
  Duration observed_for(Timestamp now) const { return now - started_at_; }
  // The part of that time that lies within the history span, at least one second.
  Duration seen(Timestamp now) const;

  // Recomputes the interval. `serving_endpoints`: how many endpoints may receive requests.
  void update(Timestamp now, double serving_endpoints);

  // The observation interval: the mean time between two of this router's requests to the same endpoint, at
  // most the history span.
  Duration interval() const { return interval_; }
  // The interval as a share of the history span, at most 1.
  double interval_share() const;
  // The number of newest history buckets that describe the present: about two intervals.
  int recent_buckets() const { return recent_buckets_; }
  // The number of samples as which the fleet's mean counts in an endpoint's statistics.
  double prior_samples() const { return prior_samples_; }

 private:
  RequestWindow requests_{history_bucket_width};
  Timestamp started_at_{};
  Duration interval_ = one_second;
  int recent_buckets_ = min_recent_buckets;
  double prior_samples_ = max_prior_samples;
};

}  // namespace rushhill::routing
