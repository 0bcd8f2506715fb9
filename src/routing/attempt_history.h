// Statistics of the recent attempts at one endpoint.
#pragma once

#include <memory>
#include <utility>

#include "routing/sliding_window.h"
#include "routing/time.h"

namespace rushhill::routing {

constexpr int history_buckets = 20;  // an endpoint's capacity is steady over that time
constexpr Duration history_bucket_width = one_second;
constexpr Duration history_span = history_buckets * history_bucket_width;

// Sums over the attempts that ended at an endpoint.
struct AttemptStatistics {
  double succeeded = 0;
  double judged = 0;        // attempts counted as good or bad
  double bad = 0;           // attempts that failed or were overdue
  double pace_samples = 0;  // answers with a known pace
  double pace_sum = 0;      // sum of their paces: response times divided by the usual ones of their functions
  AttemptStatistics& operator+=(const AttemptStatistics& other) {
    succeeded += other.succeeded;
    judged += other.judged;
    bad += other.bad;
    pace_samples += other.pace_samples;
    pace_sum += other.pace_sum;
    return *this;
  }
};

// The statistics of one endpoint over the history span.
class AttemptHistory {
 public:
  AttemptHistory() = default;
  AttemptHistory(AttemptHistory&& other) noexcept
      : owned_window_(std::move(other.owned_window_)), window_(std::exchange(other.window_, &empty_window_)) {
  }
  AttemptHistory& operator=(AttemptHistory&& other) noexcept {
    owned_window_ = std::move(other.owned_window_);
    window_ = std::exchange(other.window_, &empty_window_);
    return *this;
  }
  AttemptHistory(const AttemptHistory&) = delete;
  AttemptHistory& operator=(const AttemptHistory&) = delete;
  ~AttemptHistory() = default;

  void add_success(Timestamp now) { bucket_at(now).succeeded += 1; }

  // Adds an answer that took `times_usual` times the usual response time of its function.
  void add_pace(Timestamp now, double times_usual) {
    AttemptStatistics& bucket = bucket_at(now);
    bucket.pace_samples += 1;
    bucket.pace_sum += times_usual;
  }

  // Adds an attempt that was counted as good or bad.
  void add_judged_attempt(Timestamp now, bool bad) {
    AttemptStatistics& bucket = bucket_at(now);
    bucket.judged += 1;
    bucket.bad += bad ? 1 : 0;
  }

  // Returns the sums over the newest buckets.
  AttemptStatistics recent(Timestamp now, int newest_buckets) const {
    return window_->total(now, newest_buckets);
  }
  AttemptStatistics all(Timestamp now) const { return window_->total(now); }

  void clear() { *this = AttemptHistory(); }

 private:
  using Window = SlidingWindow<AttemptStatistics, history_buckets>;

  static inline const Window empty_window_{history_bucket_width};

  AttemptStatistics& bucket_at(Timestamp now) {
    if (!owned_window_) {
      owned_window_ = std::make_unique<Window>(history_bucket_width);
      window_ = owned_window_.get();
    }
    return owned_window_->bucket_at(now);
  }

  // Null until there is something to add: a window takes a kilobyte, and in a large fleet a router sends most
  // endpoints nothing.
  std::unique_ptr<Window> owned_window_;
  const Window* window_ = &empty_window_;  // for reading, without a test for each endpoint and tick
};

}  // namespace rushhill::routing
