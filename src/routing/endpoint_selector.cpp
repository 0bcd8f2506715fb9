#include "routing/endpoint_selector.h"

#include <algorithm>

namespace rushhill::routing {

// Keeps the endpoint with the highest score, and among equal ones the first.
class EndpointSelector::BestEndpoint {
 public:
  void consider(EndpointRecord& endpoint, double score) {
    if (endpoint_ != nullptr && !(score > score_)) return;
    endpoint_ = &endpoint;
    score_ = score;
  }
  EndpointRecord* endpoint() const { return endpoint_; }

 private:
  EndpointRecord* endpoint_ = nullptr;
  double score_ = 0;
};

EndpointRecord* EndpointSelector::select(Timestamp now, const TrackedRequest& tracked,
                                         FunctionRecord& function) {
  if (!parts_.retries.may_attempt(now, tracked)) return nullptr;
  parts_.placement.rank(now, tracked.request.function, function.placement);
  ++selection_number_;
  function.copies.link_endpoints(parts_.endpoints, selection_number_);
  const EstimateKey key{.request_class = *tracked.class_estimate, .function = function.times};
  Selection selection{
      .now = now,
      .tracked = tracked,
      .function = function,
      .expected = parts_.estimates.expected_times(key),
  };
  selection.copy_available = any_copy_available(selection);
  EndpointRecord* const preferred = best_preferred(selection);
  return preferred != nullptr ? preferred : best_permitted(selection);
}

// Selects among the endpoints without a known fault that have not yet had an attempt of the request.
EndpointRecord* EndpointSelector::best_preferred(const Selection& selection) {
  BestEndpoint best;
  // Rank among the endpoints considered here. An endpoint whose lanes are busy keeps its rank, so that no
  // copy is loaded elsewhere because of it.
  int rank = -1;
  for (const auto& [distance, endpoint] : selection.function.placement.candidates()) {
    if (!permitted(selection, *endpoint)) continue;
    const Attempt* const earlier = selection.tracked.newest_attempt_at(endpoint->endpoint.id);
    if (!has_no_known_fault(selection, *endpoint, earlier)) continue;
    if (!parts_.warm_up.admits_request(selection.now, *endpoint)) continue;
    const ScoredEndpoint candidate = make_candidate(selection, *endpoint, ++rank);
    if (would_load_needlessly(selection, candidate)) continue;
    // An endpoint that answered "function missing" is tried again once a copy is loaded or ordered there.
    const bool copy_arranged = earlier != nullptr && earlier->function_missing && candidate.copy_believed;
    if (earlier != nullptr && !copy_arranged) continue;
    const double bonus = endpoint->outlier.ejected() ? Scorer::recovery_ramp_bonus() : 0;
    best.consider(*endpoint, score(selection, candidate) + bonus);
  }
  return best.endpoint();
}

EndpointRecord* EndpointSelector::best_permitted(const Selection& selection) {
  BestEndpoint best;
  int rank = -1;
  for (const auto& [distance, endpoint] : selection.function.placement.candidates()) {
    if (!permitted(selection, *endpoint)) continue;
    if (!parts_.warm_up.admits_request(selection.now, *endpoint)) continue;
    const ScoredEndpoint candidate = make_candidate(selection, *endpoint, ++rank);
    if (would_load_needlessly(selection, candidate)) continue;
    best.consider(*endpoint, score(selection, candidate));
  }
  return best.endpoint();
}

bool EndpointSelector::any_copy_available(const Selection& selection) const {
  const FunctionPlacement& placement = selection.function.placement;
  if (placement.replicas() > 0) return true;
  return std::ranges::any_of(placement.candidates(), [&](const FunctionPlacement::Candidate& candidate) {
    const EndpointRecord& endpoint = *candidate.endpoint;
    const BelievedCopy* const copy = endpoint.copy.for_selection(selection_number_);
    if (copy == nullptr || !copy->believed(selection.now, parts_.keep_alive)) return false;
    if (endpoint.outlier.ejected() || endpoint.liveness.backing_off(selection.now)) return false;
    const Attempt* const earlier = selection.tracked.newest_attempt_at(endpoint.endpoint.id);
    return earlier == nullptr || !earlier->may_have_run;
  });
}

bool EndpointSelector::permitted(const Selection& selection, const EndpointRecord& endpoint) const {
  return endpoint.may_receive() && parts_.retries.may_attempt_at(selection.now, selection.tracked, endpoint);
}

bool EndpointSelector::has_no_known_fault(const Selection& selection, const EndpointRecord& endpoint,
                                          const Attempt* earlier) {
  const bool failed_this_request = earlier != nullptr && earlier->may_have_run;
  if (failed_this_request || endpoint.liveness.backing_off(selection.now)) return false;
  return !endpoint.outlier.ejected() || admitted_by_recovery_ramp(selection.tracked, endpoint);
}

// An ejected endpoint gets a share of its usual requests, limited to first attempts that may be repeated.
bool EndpointSelector::admitted_by_recovery_ramp(const TrackedRequest& tracked,
                                                 const EndpointRecord& endpoint) {
  return tracked.attempts.empty() && tracked.request_class().retry_safety == RetrySafety::idempotent &&
         parts_.random.draw() * parts_.outliers.serving_endpoints() < endpoint.outlier.attempt_share();
}

bool EndpointSelector::would_load_needlessly(const Selection& selection, const ScoredEndpoint& candidate) {
  if (candidate.rank < selection.function.placement.replicas() || candidate.copy_believed) return false;
  return selection.copy_available || candidate.endpoint.liveness.loads_backing_off(selection.now);
}

double EndpointSelector::score(const Selection& selection, const ScoredEndpoint& candidate) {
  return parts_.scorer.score(selection.now, selection.expected, selection.function, candidate) +
         Scorer::tie_break(candidate.endpoint, parts_.random.draw());
}

}  // namespace rushhill::routing
