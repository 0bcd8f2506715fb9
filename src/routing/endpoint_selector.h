// Selects the endpoint for a request's next attempt (docs/design.md, "Score").
//
// The endpoints without a known fault are scored first. If none of them may get the request, all endpoints
// that the rules permit are scored.
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

// The parts that a selection depends on.
struct SelectionParts {
  EndpointTable& endpoints;
  const Placement& placement;
  const RetryPolicy& retries;
  const EndpointWarmUp& warm_up;
  const OutlierDetection& outliers;
  const LatencyEstimates& estimates;
  const Scorer& scorer;
  RandomSource& random;
  Duration keep_alive;  // time for which an endpoint keeps an idle copy
};

// Selects endpoints. Its only state is the number of the newest selection.
class EndpointSelector {
 public:
  explicit EndpointSelector(const SelectionParts& parts) : parts_(parts) {}

  // Returns nullptr if no endpoint may get the request now.
  EndpointRecord* select(Timestamp now, const TrackedRequest& tracked, FunctionRecord& function);

 private:
  // The input of one selection.
  struct Selection {
    Timestamp now;
    const TrackedRequest& tracked;
    const FunctionRecord& function;
    ExpectedTimes expected{};
    // Whether an endpoint that can serve the request is expected to hold a copy, so that another endpoint
    // would load an additional one.
    bool copy_available = false;
  };
  class BestEndpoint;

  EndpointRecord* best_preferred(const Selection& selection);
  EndpointRecord* best_permitted(const Selection& selection);

  bool any_copy_available(const Selection& selection) const;
  bool permitted(const Selection& selection, const EndpointRecord& endpoint) const;
  bool has_no_known_fault(const Selection& selection, const EndpointRecord& endpoint, const Attempt* earlier);
  bool admitted_by_recovery_ramp(const TrackedRequest& tracked, const EndpointRecord& endpoint);
  static bool would_load_needlessly(const Selection& selection, const ScoredEndpoint& candidate);
  ScoredEndpoint make_candidate(const Selection& selection, const EndpointRecord& endpoint, int rank) const {
    const BelievedCopy* const copy = endpoint.copy.for_selection(selection_number_);
    const bool believed = copy != nullptr && copy->believed(selection.now, parts_.keep_alive);
    return {.endpoint = endpoint, .rank = rank, .copy = copy, .copy_believed = believed};
  }
  double score(const Selection& selection, const ScoredEndpoint& candidate);

  SelectionParts parts_;
  std::uint64_t selection_number_ = 0;
};

}  // namespace rushhill::routing
