// Which endpoint gets a request's next attempt (docs/design.md, "Score").
//
// First the endpoints without a known fault are scored; where none of them may get the request, all that the
// rules permit.
#pragma once

#include <cstdint>

#include "routing/endpoint_table.h"
#include "routing/endpoint_warm_up.h"
#include "routing/function_table.h"
#include "routing/outlier_detection.h"
#include "routing/placement.h"
#include "routing/random_source.h"
#include "routing/request_tracker.h"
#include "routing/retry_policy.h"
#include "routing/scorer.h"

namespace rushhill::routing {

// The parts that a selection asks.
struct SelectionParts {
  EndpointTable& endpoints;
  const Placement& placement;
  const RetryPolicy& retries;
  const EndpointWarmUp& warm_up;
  const OutlierDetection& outliers;
  const LatencyEstimates& estimates;
  const Scorer& scorer;
  RandomSource& random;
  Duration keep_alive;  // of an idle copy
};

// Selects endpoints. It keeps nothing of them but the number of the selection.
class EndpointSelector {
 public:
  explicit EndpointSelector(const SelectionParts& parts) : parts_(parts) {}

  // nullptr: no endpoint may get the request now.
  EndpointRecord* select(Timestamp now, const TrackedRequest& tracked, FunctionRecord& function);

 private:
  // A request that is being placed.
  struct Selection {
    Timestamp now;
    const TrackedRequest& tracked;
    const FunctionRecord& function;
    ExpectedTimes expected{};
    bool copy_stands = false;  // at an endpoint that can serve it: a load elsewhere would be a further copy
  };
  class BestEndpoint;

  EndpointRecord* best_preferred(const Selection& selection);
  EndpointRecord* best_permitted(const Selection& selection);

  bool any_copy_stands(const Selection& selection) const;
  bool permitted(const Selection& selection, const EndpointRecord& endpoint) const;
  bool without_fault(const Selection& selection, const EndpointRecord& endpoint, const Attempt* earlier);
  bool takes_ramp_turn(const TrackedRequest& tracked, const EndpointRecord& endpoint);
  static bool would_load_needlessly(const Selection& selection, const ScoredEndpoint& candidate);
  ScoredEndpoint with_copy(const Selection& selection, const EndpointRecord& endpoint, int rank) const {
    const BelievedCopy* const copy = endpoint.copy.of_selection(selections_);
    const bool believed = copy != nullptr && copy->believed(selection.now, parts_.keep_alive);
    return {.endpoint = endpoint, .rank = rank, .copy = copy, .copy_believed = believed};
  }
  double score(const Selection& selection, const ScoredEndpoint& candidate);

  SelectionParts parts_;
  std::uint64_t selections_ = 0;
};

}  // namespace rushhill::routing
