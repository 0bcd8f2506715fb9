// Where copies of a function are to be loaded (docs/design.md, "Homes").
//
// Every function has an order of endpoints by rendezvous hashing, the same at every router without a message
// between them. A hot function has several replicas by its part of the requests, alike at every router; what
// all routers send keeps its copies there loaded though this one's index lapses.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "routing/endpoint_table.h"
#include "routing/observation_window.h"
#include "routing/types.h"

namespace rushhill::routing {

// One function's places.
class FunctionPlacement {
 public:
  // An endpoint that may receive requests, and how far it is from the function by hash.
  struct Candidate {
    double distance = 0;
    EndpointRecord* endpoint = nullptr;
  };

  void request_taken(Timestamp now) { requests_.bucket_at(now) += 1; }

  // In the order of placement, as last ranked.
  const std::vector<Candidate>& candidates() const { return candidates_; }
  // As many of the first candidates as all routers' requests keep copies at.
  int replicas() const { return replicas_; }

 private:
  friend class Placement;

  RequestWindow requests_{history_bucket_width};
  std::vector<Candidate> candidates_;
  int replicas_ = 0;
  std::uint64_t ranked_version_ = 0;  // version of the endpoint list
};

// Ranks functions' places.
class Placement {
 public:
  Placement(EndpointTable& endpoints, const ObservationWindow& observation)
      : endpoints_(endpoints), observation_(observation) {}

  // Brings the function's candidates and replicas up to date.
  void rank(Timestamp now, const FunctionId& id, FunctionPlacement& function) const;

 private:
  void collect_candidates(const FunctionId& id, FunctionPlacement& function) const;
  int count_replicas(Timestamp now, const FunctionPlacement& function) const;

  EndpointTable& endpoints_;
  const ObservationWindow& observation_;
};

}  // namespace rushhill::routing
