#include "routing/placement.h"

#include <algorithm>
#include <cmath>

#include "routing/rendezvous_hash.h"

namespace rushhill::routing {
namespace {

// Added to the requests seen: a router that has seen fewer cannot know a function's share of the requests.
constexpr double prior_requests = 20;
// Counted for a function's first request. At a router that has seen no other request, it stands for about
// 1/40 of all requests.
constexpr double min_other_requests = 0.5;
// Load of one replica of a hot function, as a fraction of the load that an endpoint has on average.
constexpr double load_share_per_replica = 0.3;

}  // namespace

void Placement::rank(Timestamp now, const FunctionId& id, FunctionPlacement& function) const {
  if (std::exchange(function.ranked_version_, endpoints_.version()) != endpoints_.version()) {
    collect_candidates(id, function);
  }
  // Weights change slowly, so the order is usually still right.
  const auto weighted_distance = [](const FunctionPlacement::Candidate& candidate) {
    return candidate.distance / candidate.endpoint->weight_in_placement();
  };
  if (!std::ranges::is_sorted(function.candidates_, {}, weighted_distance)) {
    std::ranges::sort(function.candidates_, {}, weighted_distance);
  }
  function.replicas_ = count_replicas(now, function);
}

void Placement::collect_candidates(const FunctionId& id, FunctionPlacement& function) const {
  function.candidates_.clear();
  function.candidates_.reserve(endpoints_.records().size());
  for (auto& [endpoint, record] : endpoints_.records()) {
    if (!record.may_receive()) continue;
    const double distance = -std::log(rendezvous_hash({.key = id, .endpoint = endpoint}));
    function.candidates_.push_back({.distance = distance, .endpoint = &record});
  }
}

// A function's first request is weak evidence of load, but stronger the fewer requests the router has seen:
// the functions seen first are likely hot.
int Placement::count_replicas(Timestamp now, const FunctionPlacement& function) const {
  const double others = std::max(function.requests_.total(now) - 1, min_other_requests);
  const double endpoint_share =
      others / (observation_.requests(now) + prior_requests) / load_share_per_replica;
  const int min_replicas = others < 1 ? 0 : 1;
  return min_replicas + static_cast<int>(endpoint_share * static_cast<double>(function.candidates_.size()));
}

}  // namespace rushhill::routing
