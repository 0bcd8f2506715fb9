// Overload control. Measures how far the endpoints' load is above their no-load level, and decides which
// requests are rejected because of it (docs/design.md, "Overload").
//
// There are two signals. The first is a gradient: it compares the number of this router's long-running
// attempts with the number of attempts that the recent successes would keep in flight without load (Little's
// law). It shows an overload well before the first late answer. The second is, for each tenant, the share of
// attempts at loaded copies that were slow or were rejected by the endpoint.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "routing/sliding_window.h"
#include "routing/time.h"

namespace rushhill::routing {

// The answer that a request would get without load, and the time left for it.
struct ExpectedAnswer {
  FractionalDuration no_load_time{};  // response time at an idle endpoint
  FractionalDuration time_left{};     // until its latency objective
};

// Keeps both signals, from this router's own attempts.
class OverloadControl {
 public:
  // Records a successful attempt. `no_load_time`: its expected response time at an idle endpoint.
  void attempt_succeeded(Timestamp now, FractionalDuration no_load_time) {
    no_load_times_.bucket_at(now) += no_load_time;
  }

  // Records the end of an attempt at an endpoint that had a loaded copy. `slow`: it took most of the latency
  // objective or was rejected.
  void record_attempt_at_loaded_copy(Timestamp now, const std::string& tenant, bool slow);

  // The share of the tenant's requests to reject on arrival, so that the others are answered in time. It may
  // be negative if there is no overload. Every router applies the same rule to its own attempts.
  double share_to_reject(Timestamp now, const std::string& tenant);

  // Recomputes the load ratio. `long_running_counts` holds, for each endpoint, the number of this router's
  // long-running attempts (as RetryPolicy defines them); it is reordered. `observed_for` is how long the
  // router has been observing, `requests` how many it received in the history span.
  void observe_in_flight(Timestamp now, Duration observed_for, double requests,
                         std::vector<double>& long_running_counts);

  // Whether a request would probably miss its objective at the present load ratio.
  bool misses_objective(const ExpectedAnswer& answer) const {
    const FractionalDuration tolerated =
        std::max(answer.time_left * tolerated_share, tolerated_response_times * answer.no_load_time);
    return answer.no_load_time * load_ratio_ > tolerated;
  }

  // The estimated ratio of the present response time to that without load, at least 1.
  double load_ratio() const { return load_ratio_; }

 private:
  static constexpr int window_buckets = 20;  // of one second
  static constexpr int recent_buckets = 4;   // An overload shows within one or two of these.
  // Share of the time left. The most loaded endpoints are slower than the mean.
  static constexpr double tolerated_share = 0.7;
  // No-load response times. No request is rejected for a wait within them.
  static constexpr double tolerated_response_times = 2;

  // Counts of attempts at endpoints that had a loaded copy.
  struct Attempts {
    double all = 0;
    double slow = 0;
    Attempts& operator+=(const Attempts& other) {
      all += other.all;
      slow += other.slow;
      return *this;
    }
  };
  using AttemptWindow = SlidingWindow<Attempts, window_buckets>;

  AttemptWindow& attempts_of(const std::string& tenant);

  SlidingWindow<FractionalDuration, window_buckets> no_load_times_{one_second};
  std::map<std::string, AttemptWindow> attempts_;  // by tenant
  double load_ratio_ = 1;
};

}  // namespace rushhill::routing
