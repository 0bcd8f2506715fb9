#include "routing/scorer.h"

#include <algorithm>
#include <cmath>

namespace rushhill::routing {
namespace {

constexpr double failure_loads = 2;      // an attempt that fails costs its wait and another attempt
constexpr double in_flight_slope = 0.3;  // response times; wait that an own open attempt adds for the next
constexpr double quiet_factor = 3;       // response times; silence that long makes an endpoint look worse
constexpr double home_bonus = 0.8;       // under a load, so that a loaded copy beats a home
constexpr double near_tie = 0.01;        // less apart is noise to one router, and chance decides

}  // namespace

Scorer::Scorer(const RoutingConfiguration& configuration, const ObservationWindow& observation,
               const LatencyEstimates& estimates, const OutlierDetection& outliers)
    : observation_(observation), estimates_(estimates), outliers_(outliers),
      location_(configuration.location),
      crossing_price_(configuration.prices.cross_location / (configuration.prices.load + load_value)) {}

double Scorer::score(Timestamp now, const ExpectedTimes& expected, const FunctionRecord& function,
                     const ScoredEndpoint& candidate) const {
  const EndpointRecord& endpoint = candidate.endpoint;
  const AttemptStatistics seen = recent(now, endpoint);
  const double wait_term = expected_wait(now, expected.response_time, endpoint, seen) / expected.load_time;
  return copy_term(function.placement, candidate) + location_term(endpoint) -
         full_lanes_term(function.lanes, candidate.copy) - wait_term - failure_term(seen);
}

// An endpoint without a believed copy counts as warm where the function's part of the requests says that
// others keep a copy there.
double Scorer::copy_term(const FunctionPlacement& placement, const ScoredEndpoint& candidate) {
  if (candidate.rank < placement.replicas() || candidate.copy_believed) return 1;
  const int beyond = candidate.rank - std::max(placement.replicas() - 1, 0);
  return home_bonus * std::exp2(-beyond);
}

double Scorer::location_term(const EndpointRecord& endpoint) const {
  return endpoint.endpoint.location == location_ ? crossing_price_ : 0;
}

double Scorer::full_lanes_term(double lanes, const BelievedCopy* copy) {
  const int open = copy == nullptr ? 0 : copy->open_attempts();
  return std::max(0.0, open + 1 - lanes) / lanes;
}

double Scorer::failure_term(const AttemptStatistics& seen) const {
  return failure_loads * outliers_.bad_share(seen);
}

FractionalDuration Scorer::expected_wait(Timestamp now, FractionalDuration response_time,
                                         const EndpointRecord& endpoint,
                                         const AttemptStatistics& seen) const {
  const FractionalDuration wait =
      response_time * estimates_.pace(seen) * (1 + in_flight_slope * endpoint.in_flight.open());
  // An endpoint that has gone quiet with attempts in flight takes at least that long already.
  const Timestamp since = endpoint.liveness.awaiting_since();
  const FractionalDuration quiet = since == Timestamp{} ? Duration::zero() : now - since;
  return wait + std::max(FractionalDuration::zero(), quiet - quiet_factor * response_time);
}

double Scorer::tie_break(const EndpointRecord& endpoint, double draw) {
  return near_tie * (std::log(endpoint.placed_weight()) - std::log(-std::log(draw)));
}

double Scorer::ramp_bonus() { return failure_loads + 1; }

}  // namespace rushhill::routing
