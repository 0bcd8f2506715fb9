// Estimates response times by request class and by function, load times, and the pace of the fleet.
//
// A pace is the ratio of a response time to the usual response time of the same function, so that endpoints
// that run different functions can be compared. A pace above 1 is slower than usual. The usual response time
// is a mean of response times divided by the fleet's pace, so that a slowdown of the whole fleet does not
// change it.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "routing/attempt_history.h"
#include "routing/observation_window.h"
#include "routing/types.h"

namespace rushhill::routing {

// A request class and its mean response time, which starts as an estimate from the latency objective and
// moves slowly to the observed mean.
struct ClassEstimate {
  RequestClass request_class{};
  FractionalDuration response_time{};
};

// The response time and load time of one function; 0 if not known.
class FunctionTimes {
 public:
  // Sets the load time that a request stated; 0 is ignored.
  void set_load_time(Duration load_time) {
    if (load_time > Duration::zero()) load_time_ = load_time;
  }

 private:
  friend class LatencyEstimates;

  FractionalDuration response_time_{};  // with a loaded copy, at a pace of 1
  FractionalDuration load_time_{};
};

// The class and function that an estimate is for.
struct EstimateKey {
  const ClassEstimate& request_class;
  const FunctionTimes& function;
};

// The times that a request is expected to take.
struct ExpectedTimes {
  FractionalDuration response_time{};  // with a loaded copy, at a pace of 1
  FractionalDuration load_time{};
};

// All estimates of a router.
class LatencyEstimates {
 public:
  LatencyEstimates(const std::vector<RequestClass>& classes, const ObservationWindow& observation);

  // Returns the class's estimate; the reference stays valid. A class that was not configured is treated as
  // at-most-once, with an objective of one second.
  ClassEstimate& of_class(const std::string& name);

  // Adds the response time of an endpoint that had a loaded copy. Returns its pace.
  double answered(ClassEstimate& class_estimate, FunctionTimes& function, FractionalDuration duration);
  // Adds a response time that includes a load; its excess over the usual response time is the load time.
  void record_answer_after_load(const EstimateKey& key, FractionalDuration duration);

  // The response time with a loaded copy; that of the class while the function's own is not known.
  FractionalDuration response_time(const EstimateKey& key) const {
    return key.function.response_time_ > FractionalDuration::zero() ? key.function.response_time_
                                                                    : key.request_class.response_time;
  }
  // The response time with a loaded copy at the no-load pace, which follows a fall of the fleet's pace at
  // once and a rise slowly.
  FractionalDuration no_load_response_time(const EstimateKey& key) const {
    return response_time(key) * no_load_pace_;
  }
  // The load time stated for the function; otherwise the mean of all observed loads, or before the first one
  // the class's latency objective. At least a tenth of a millisecond.
  FractionalDuration load_time(const EstimateKey& key) const {
    const FractionalDuration fallback = load_time_ > FractionalDuration::zero()
                                            ? load_time_
                                            : key.request_class.request_class.latency_objective;
    const FractionalDuration stated = key.function.load_time_;
    return std::max(stated > FractionalDuration::zero() ? stated : fallback, FractionalDuration{1});
  }
  ExpectedTimes expected_times(const EstimateKey& key) const {
    return {.response_time = response_time(key), .load_time = load_time(key)};
  }
  // The mean over all classes.
  FractionalDuration mean_response_time() const { return response_time_; }

  // An endpoint's pace. The fleet's pace counts as additional samples, so it dominates if few answers are
  // known.
  double pace(const AttemptStatistics& statistics) const {
    const double prior = observation_.prior_samples();
    return (statistics.pace_sum + prior * fleet_pace_) / (statistics.pace_samples + prior);
  }
  double fleet_pace() const { return fleet_pace_; }
  // Recomputes the fleet's pace and the no-load pace from the endpoints' paces; reorders them.
  void observe_paces(std::vector<double>& paces);

 private:
  const ObservationWindow& observation_;
  std::map<std::string, ClassEstimate> classes_;
  FractionalDuration response_time_{};
  FractionalDuration load_time_{};  // mean of all observed loads; 0 before the first
  double fleet_pace_ = 1;
  double no_load_pace_ = 1;
};

}  // namespace rushhill::routing
