#include "routing/latency_estimates.h"

#include "routing/statistics.h"

namespace rushhill::routing {
namespace {

constexpr double objective_over_response_time = 4;  // a guess, until answers are seen
constexpr Duration unknown_objective = one_second;  // of a class that was not configured
// Of a rise of the pace, each tenth of a second: the no-load pace follows in some twenty seconds, as the
// histories do.
constexpr double no_load_pace_step = 0.005;

ClassEstimate first_estimate(const RequestClass& request_class) {
  return {
      .request_class = request_class,
      .response_time = FractionalDuration{request_class.latency_objective} / objective_over_response_time};
}

}  // namespace

LatencyEstimates::LatencyEstimates(const std::vector<RequestClass>& classes,
                                   const ObservationWindow& observation)
    : observation_(observation) {
  for (const RequestClass& request_class : classes) {
    const auto added = classes_.try_emplace(request_class.name, first_estimate(request_class)).first;
    response_time_ = std::max(response_time_, added->second.response_time);
  }
}

ClassEstimate& LatencyEstimates::of_class(const std::string& name) {
  if (const auto found = classes_.find(name); found != classes_.end()) return found->second;
  const RequestClass unknown{
      .name = name,
      .latency_objective = unknown_objective,
      .retry_safety = RetrySafety::at_most_once,
  };
  return classes_.try_emplace(name, first_estimate(unknown)).first->second;
}

double LatencyEstimates::answered(ClassEstimate& request_class, FunctionTimes& function,
                                  FractionalDuration taken) {
  add_sample(request_class.response_time, taken);
  add_sample(response_time_, taken);
  if (function.response_time_ == FractionalDuration::zero()) {
    function.response_time_ = request_class.response_time / fleet_pace_;
  }
  add_sample(function.response_time_, taken / fleet_pace_);
  return taken / function.response_time_;
}

void LatencyEstimates::answered_after_load(const EstimateKey& key, FractionalDuration taken) {
  add_sample(load_time_, std::max(taken - response_time(key), FractionalDuration::zero()));
}

void LatencyEstimates::observe_paces(std::vector<double>& paces) {
  fleet_pace_ = median(paces, fleet_pace_);
  no_load_pace_ = std::min(fleet_pace_, no_load_pace_ + no_load_pace_step * (fleet_pace_ - no_load_pace_));
}

}  // namespace rushhill::routing
