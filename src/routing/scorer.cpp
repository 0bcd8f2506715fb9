#include "routing/scorer.h"

#include <algorithm>
#include <cmath>

namespace rushhill::routing {
namespace {

constexpr double failure_cost = 2;  // loads; a failed attempt costs its response time and another attempt
// Response times that each open attempt of this router at the endpoint adds for the next one.
constexpr double in_flight_slope = 0.3;
constexpr double silence_factor = 3;  // response times; longer silence lowers the score
// Loads; below 1, so that a loaded copy beats the endpoint that placement prefers.
constexpr double preferred_endpoint_score = 0.8;
// Loads; smaller differences are noise to a single router and are decided at random.
constexpr double tie_break_scale = 0.01;

}  // namespace

Scorer::Scorer(const RoutingConfiguration& configuration, const ObservationWindow& observation,
               const LatencyEstimates& estimates, const OutlierDetection& outliers)
    : observation_(observation), estimates_(estimates), outliers_(outliers),
      location_(configuration.location), cross_location_cost_(configuration.prices.cross_location /
                                                              (configuration.prices.load + load_delay_cost)) {
}

double Scorer::score(Timestamp now, const ExpectedTimes& expected, const FunctionRecord& function,
                     const ScoredEndpoint& candidate) const {
  const EndpointRecord& endpoint = candidate.endpoint;
  const AttemptStatistics statistics = recent_attempts(now, endpoint);
  const double response_time_term =
      expected_response_time(now, expected.response_time, endpoint, statistics) / expected.load_time;
  return copy_term(function.placement, candidate) + location_term(endpoint) -
         lane_overflow_term(function.lanes, candidate.copy) - response_time_term - failure_term(statistics);
}

// An endpoint without a believed copy counts as having one if the function's share of the requests implies
// that the requests of other routers keep a copy loaded there.
double Scorer::copy_term(const FunctionPlacement& placement, const ScoredEndpoint& candidate) {
  if (candidate.rank < placement.replicas() || candidate.copy_believed) return 1;
  const int ranks_beyond_replicas = candidate.rank - std::max(placement.replicas() - 1, 0);
  return preferred_endpoint_score * std::exp2(-ranks_beyond_replicas);
}

double Scorer::location_term(const EndpointRecord& endpoint) const {
  return endpoint.endpoint.location == location_ ? cross_location_cost_ : 0;
}

double Scorer::lane_overflow_term(double lanes, const BelievedCopy* copy) {
  const int open = copy == nullptr ? 0 : copy->open_attempts();
  return std::max(0.0, open + 1 - lanes) / lanes;
}

double Scorer::failure_term(const AttemptStatistics& statistics) const {
  return failure_cost * outliers_.bad_share(statistics);
}

FractionalDuration Scorer::expected_response_time(Timestamp now, FractionalDuration response_time,
                                                  const EndpointRecord& endpoint,
                                                  const AttemptStatistics& statistics) const {
  const FractionalDuration expected =
      response_time * estimates_.pace(statistics) * (1 + in_flight_slope * endpoint.in_flight.open());
  // An endpoint that has been silent while attempts are in flight already takes at least as long as its
  // silence.
  const Timestamp since = endpoint.liveness.awaiting_since();
  const FractionalDuration silence = since == Timestamp{} ? Duration::zero() : now - since;
  return expected + std::max(FractionalDuration::zero(), silence - silence_factor * response_time);
}

double Scorer::tie_break(const EndpointRecord& endpoint, double draw) {
  return tie_break_scale * (std::log(endpoint.weight_in_placement()) - std::log(-std::log(draw)));
}

double Scorer::recovery_ramp_bonus() { return failure_cost + 1; }

}  // namespace rushhill::routing
