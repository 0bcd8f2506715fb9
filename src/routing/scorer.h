// The score by which endpoints are compared for a request (docs/design.md, "Score"). Its unit is the cost of
// one load, which a loaded copy saves.
#pragma once

#include <string>

#include "routing/configuration.h"
#include "routing/endpoint_table.h"
#include "routing/function_table.h"
#include "routing/latency_estimates.h"
#include "routing/observation_window.h"
#include "routing/outlier_detection.h"
#include "routing/request_tracker.h"

namespace rushhill::routing {

// Cost of the delay that a load causes, as a fraction of a request's priority weight: about that fraction of
// the requests that wait for a load miss their latency objective.
constexpr double load_delay_cost = 0.5;

// An endpoint that may get the request.
struct ScoredEndpoint {
  const EndpointRecord& endpoint;
  int rank = 0;  // position in the placement order, among the endpoints that may get the request
  const BelievedCopy* copy = nullptr;  // the endpoint's copy of the request's function
  bool copy_believed = false;
};

// Adds up the terms of the score.
class Scorer {
 public:
  Scorer(const RoutingConfiguration& configuration, const ObservationWindow& observation,
         const LatencyEstimates& estimates, const OutlierDetection& outliers);

  // Returns the score of the endpoint for the request; higher is better.
  double score(Timestamp now, const ExpectedTimes& expected, const FunctionRecord& function,
               const ScoredEndpoint& candidate) const;

  // Returns the response time expected at the endpoint if a copy is loaded, for a request whose usual
  // response time is `response_time`.
  FractionalDuration expected_response_time(Timestamp now, FractionalDuration response_time,
                                            const EndpointRecord& endpoint) const {
    return expected_response_time(now, response_time, endpoint, recent_attempts(now, endpoint));
  }

  // Returns random noise that decides near ties, more often in favour of larger endpoints. `draw` is a random
  // number above 0 and below 1.
  static double tie_break(const EndpointRecord& endpoint, double draw);
  // Added to the score of an ejected endpoint that its recovery ramp admits. It outweighs the highest failure
  // term and a loaded copy at another endpoint.
  static double recovery_ramp_bonus();

 private:
  AttemptStatistics recent_attempts(Timestamp now, const EndpointRecord& endpoint) const {
    return endpoint.history.recent(now, observation_.recent_buckets());
  }
  FractionalDuration expected_response_time(Timestamp now, FractionalDuration response_time,
                                            const EndpointRecord& endpoint,
                                            const AttemptStatistics& statistics) const;
  static double copy_term(const FunctionPlacement& placement, const ScoredEndpoint& candidate);
  double location_term(const EndpointRecord& endpoint) const;
  static double lane_overflow_term(double lanes, const BelievedCopy* copy);
  double failure_term(const AttemptStatistics& statistics) const;

  const ObservationWindow& observation_;
  const LatencyEstimates& estimates_;
  const OutlierDetection& outliers_;
  const std::string& location_;
  double cross_location_cost_;  // cost of an attempt in another location, in loads
};

}  // namespace rushhill::routing
