#include "routing/latency_estimates.h"

#include "routing/statistics.h"

namespace rushhill::routing {
namespace {

// Before answers are observed, a class's response time is assumed to be its objective divided by this.
constexpr double initial_objective_over_response_time = 4;
constexpr Duration unconfigured_class_objective = one_second;
// The share of a rise in the fleet's pace by which the no-load pace follows it, every tenth of a second. The
// no-load pace thus follows within about twenty seconds, the span of the attempt histories.
constexpr double no_load_pace_step = 0.005;

ClassEstimate initial_estimate(const RequestClass& request_class) {
  return {.request_class = request_class,
          .response_time =
              FractionalDuration{request_class.latency_objective} / initial_objective_over_response_time};
}

}  // namespace

LatencyEstimates::LatencyEstimates(const std::vector<RequestClass>& classes,
                                   const ObservationWindow& observation)
    : observation_(observation) {
  for (const RequestClass& request_class : classes) {
    const auto added = classes_.try_emplace(request_class.name, initial_estimate(request_class)).first;
    response_time_ = std::max(response_time_, added->second.response_time);
  }
}

ClassEstimate& LatencyEstimates::of_class(const std::string& name) {
  if (const auto found = classes_.find(name); found != classes_.end()) return found->second;
  const RequestClass unknown{
      .name = name,
      .latency_objective = unconfigured_class_objective,
      .retry_safety = RetrySafety::at_most_once,
  };
  return classes_.try_emplace(name, initial_estimate(unknown)).first->second;
}

double LatencyEstimates::answered(ClassEstimate& class_estimate, FunctionTimes& function,
                                  FractionalDuration duration) {
  add_sample(class_estimate.response_time, duration);
  add_sample(response_time_, duration);
  if (function.response_time_ == FractionalDuration::zero()) {
    function.response_time_ = class_estimate.response_time / fleet_pace_;
  }
  add_sample(function.response_time_, duration / fleet_pace_);
  return duration / function.response_time_;
}

void LatencyEstimates::record_answer_after_load(const EstimateKey& key, FractionalDuration duration) {
  add_sample(load_time_, std::max(duration - response_time(key), FractionalDuration::zero()));
}

void LatencyEstimates::observe_paces(std::vector<double>& paces) {
  fleet_pace_ = median(paces, fleet_pace_);
  no_load_pace_ = std::min(fleet_pace_, no_load_pace_ + no_load_pace_step * (fleet_pace_ - no_load_pace_));
}

}  // namespace rushhill::routing
