// Expected response times by class and function, load times, and the pace of the fleet.
//
// A pace is a response time over the usual one of the same function: it compares endpoints that run different
// functions.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "routing/attempt_history.h"
#include "routing/observation_window.h"
#include "routing/types.h"

namespace rushhill::routing {

// A request class and its mean response time; at first a guess from the objective that gives way slowly.
struct ClassEstimate {
  RequestClass request_class{};
  FractionalDuration response_time{};
};

// What is known of one function's times. 0: not known.
class FunctionTimes {
 public:
  // The load time that a request stated.
  void load_time_stated(Duration load_time) {
    if (load_time > Duration::zero()) load_time_ = load_time;
  }

 private:
  friend class LatencyEstimates;

  FractionalDuration response_time_{};  // with a copy loaded, at the usual pace
  FractionalDuration load_time_{};
};

// Whose times an estimate is for.
struct EstimateKey {
  const ClassEstimate& request_class;
  const FunctionTimes& function;
};

// What a request is expected to take.
struct ExpectedTimes {
  FractionalDuration response_time{};  // where a copy is loaded, at the usual pace
  FractionalDuration load_time{};
};

// All estimates of a router.
class LatencyEstimates {
 public:
  LatencyEstimates(const std::vector<RequestClass>& classes, const ObservationWindow& observation);

  // The class's estimate; a class that was not configured is of the strictest kind. Stays valid.
  ClassEstimate& of_class(const std::string& name);

  // An answer of an endpoint that held a loaded copy. Returns its pace.
  double answered(ClassEstimate& request_class, FunctionTimes& function, FractionalDuration taken);
  // An answer that had to wait for a load.
  void answered_after_load(const EstimateKey& key, FractionalDuration taken);

  // Response time where a copy is loaded.
  FractionalDuration response_time(const EstimateKey& key) const {
    return key.function.response_time_ > FractionalDuration::zero() ? key.function.response_time_
                                                                    : key.request_class.response_time;
  }
  // The same at the pace of an endpoint without load.
  FractionalDuration no_load_response_time(const EstimateKey& key) const {
    return response_time(key) * no_load_pace_;
  }
  FractionalDuration load_time(const EstimateKey& key) const {
    const FractionalDuration guess = load_time_ > FractionalDuration::zero()
                                         ? load_time_
                                         : key.request_class.request_class.latency_objective;
    const FractionalDuration known = key.function.load_time_;
    return std::max(known > FractionalDuration::zero() ? known : guess, FractionalDuration{1});
  }
  ExpectedTimes expected_times(const EstimateKey& key) const {
    return {.response_time = response_time(key), .load_time = load_time(key)};
  }
  // Mean over all classes.
  FractionalDuration mean_response_time() const { return response_time_; }

  // An endpoint's pace, drawn to the fleet's where few answers are known.
  double pace(const AttemptStatistics& statistics) const {
    const double prior = observation_.prior_samples();
    return (statistics.pace_sum + prior * fleet_pace_) / (statistics.paced + prior);
  }
  double fleet_pace() const { return fleet_pace_; }
  // Takes the fleet's pace anew from those of the endpoints; changes their order.
  void observe_paces(std::vector<double>& paces);

 private:
  const ObservationWindow& observation_;
  std::map<std::string, ClassEstimate> classes_;
  FractionalDuration response_time_{};
  FractionalDuration load_time_{};  // 0: none seen
  double fleet_pace_ = 1;
  double no_load_pace_ = 1;
};

}  // namespace rushhill::routing
