#include "routing/placement.h"

#include <algorithm>
#include <cmath>

#include "routing/rendezvous_hash.h"

namespace rushhill::routing {
namespace {

constexpr double few_requests = 20;    // a router that has seen fewer knows no function's part
constexpr double first_request = 0.5;  // requests; the first of a router that has seen nothing: 1/40
constexpr double replica_share = 0.3;  // of an endpoint's even load; what one replica of a hot function bears

}  // namespace

void Placement::rank(Timestamp now, const FunctionId& id, FunctionPlacement& function) const {
  if (std::exchange(function.ranked_version_, endpoints_.version()) != endpoints_.version()) {
    collect_candidates(id, function);
  }
  // Weights move slowly: mostly the order still holds.
  const auto weighted_distance = [](const FunctionPlacement::Candidate& candidate) {
    return candidate.distance / candidate.endpoint->placed_weight();
  };
  if (!std::ranges::is_sorted(function.candidates_, {}, weighted_distance)) {
    std::ranges::sort(function.candidates_, {}, weighted_distance);
  }
  function.replicas_ = count_replicas(now, function);
}

void Placement::collect_candidates(const FunctionId& id, FunctionPlacement& function) const {
  function.candidates_.clear();
  for (auto& [endpoint, record] : endpoints_.records()) {
    if (!record.may_receive()) continue;
    const double distance = -std::log(rendezvous_hash({.key = id, .endpoint = endpoint}));
    function.candidates_.push_back({.distance = distance, .endpoint = &record});
  }
}

// One request alone says little, but more the fewer came before it: what is seen first is likely hot.
int Placement::count_replicas(Timestamp now, const FunctionPlacement& function) const {
  const double others = std::max(function.requests_.total(now) - 1, first_request);
  const double part = others / (observation_.requests(now) + few_requests) / replica_share;
  const int least = others < 1 ? 0 : 1;
  return least + static_cast<int>(part * static_cast<double>(function.candidates_.size()));
}

}  // namespace rushhill::routing
