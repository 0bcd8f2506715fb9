// Overload control: how far the endpoints are beyond their no-load level, and which requests are rejected for
// it (docs/design.md, "Overload").
//
// Two signals are kept. The first is a gradient: the own attempts that are out for longer than usual, set
// beside those that the successes of late keep out at the no-load pace (Little's law). It shows an overload
// well before the first late answer. The second, per tenant, is the share of attempts at loaded copies that
// came back slow or were rejected by the endpoint.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "routing/sliding_window.h"
#include "routing/time.h"

namespace rushhill::routing {

// An answer that a request would get now.
struct ExpectedAnswer {
  FractionalDuration no_load_time{};  // with nothing else at the endpoint
  FractionalDuration time_left{};     // until its latency objective
};

// Both signals, from what this router's own attempts showed.
class OverloadControl {
 public:
  // An attempt succeeded that takes so long when nothing else is at the endpoint.
  void attempt_succeeded(Timestamp now, FractionalDuration no_load_time) {
    no_load_times_.bucket_at(now) += no_load_time;
  }

  // An attempt ended at an endpoint that held a loaded copy; slow: after most of the latency objective, or
  // rejected.
  void attempt_at_loaded_copy(Timestamp now, const std::string& tenant, bool slow);

  // The share of the tenant's requests to reject at once, alike at every router, so that the rest is in time.
  // May be below 0 where there is no overload.
  double share_to_reject(Timestamp now, const std::string& tenant);

  // Takes anew, for each endpoint, how many own attempts are out for longer than usual; changes their order.
  // `observed_for` is this router's age, `requests` how many it took of late.
  void observe_in_flight(Timestamp now, Duration observed_for, double requests,
                         std::vector<double>& outlasting);

  // Whether a request would miss its objective at the load ratio of now.
  bool misses_objective(const ExpectedAnswer& answer) const {
    const FractionalDuration tolerated =
        std::max(answer.time_left * tolerated_part, tolerated_answers * answer.no_load_time);
    return answer.no_load_time * load_ratio_ > tolerated;
  }

  // How many times as long as without load an answer takes now.
  double load_ratio() const { return load_ratio_; }

 private:
  static constexpr int window_buckets = 20;      // of a second
  static constexpr int recent_buckets = 4;       // trouble shows within one or two
  static constexpr double tolerated_part = 0.7;  // of the time left; the fullest endpoints are above the mean
  static constexpr double tolerated_answers = 2;  // no-load times; nothing is rejected for a wait within that

  // At endpoints that held a loaded copy.
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
  std::map<std::string, AttemptWindow> attempts_;  // at loaded copies, by tenant
  double load_ratio_ = 1;
};

}  // namespace rushhill::routing
