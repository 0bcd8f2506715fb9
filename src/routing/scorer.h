// The score by which endpoints are compared for a request (docs/design.md, "Score"). It is counted in loads,
// since a loaded copy saves one load.
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

constexpr double load_value = 0.5;  // of a request's priority weight; a load makes about that many late

// An endpoint that may get the request.
struct ScoredEndpoint {
  const EndpointRecord& endpoint;
  int rank = 0;                        // in the order of placement, among those that may get it
  const BelievedCopy* copy = nullptr;  // of the request's function there
  bool copy_believed = false;
};

// Adds up the terms of the score.
class Scorer {
 public:
  Scorer(const RoutingConfiguration& configuration, const ObservationWindow& observation,
         const LatencyEstimates& estimates, const OutlierDetection& outliers);

  // What the request should get out of the endpoint.
  double score(Timestamp now, const ExpectedTimes& expected, const FunctionRecord& function,
               const ScoredEndpoint& candidate) const;

  // How long a request with that response time should take at the endpoint when it finds a copy.
  FractionalDuration expected_wait(Timestamp now, FractionalDuration response_time,
                                   const EndpointRecord& endpoint) const {
    return expected_wait(now, response_time, endpoint, recent(now, endpoint));
  }

  // Noise: near ties fall by chance, to larger endpoints more often. `draw`: above 0 and below 1.
  static double tie_break(const EndpointRecord& endpoint, double draw);
  // For an ejected endpoint whose turn on the recovery ramp it is: above what the others can score.
  static double ramp_bonus();

 private:
  AttemptStatistics recent(Timestamp now, const EndpointRecord& endpoint) const {
    return endpoint.history.recent(now, observation_.recent_buckets());
  }
  FractionalDuration expected_wait(Timestamp now, FractionalDuration response_time,
                                   const EndpointRecord& endpoint, const AttemptStatistics& seen) const;
  static double copy_term(const FunctionPlacement& placement, const ScoredEndpoint& candidate);
  double location_term(const EndpointRecord& endpoint) const;
  static double full_lanes_term(double lanes, const BelievedCopy* copy);
  double failure_term(const AttemptStatistics& seen) const;

  const ObservationWindow& observation_;
  const LatencyEstimates& estimates_;
  const OutlierDetection& outliers_;
  const std::string& location_;
  double crossing_price_;  // of an attempt in another location
};

}  // namespace rushhill::routing
