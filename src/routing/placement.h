// Decides where copies of a function are loaded (docs/design.md, "Homes").
//
// Rendezvous hashing orders the endpoints for each function. Every router computes the same order without
// exchanging messages. A hot function has several replicas, in proportion to its share of the requests, which
// is alike at every router. The requests of all routers together keep those copies loaded even when the
// entries in this router's own index have expired.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "routing/endpoint_table.h"
#include "routing/observation_window.h"
#include "routing/types.h"

namespace rushhill::routing {

// The placement of one function.
class FunctionPlacement {
 public:
  // An endpoint that may receive requests, with its distance from the function by hash.
  struct Candidate {
    double distance = 0;
    EndpointRecord* endpoint = nullptr;
  };

  void count_request(Timestamp now) { requests_.bucket_at(now) += 1; }

  // Returns the candidates in placement order, as of the last call of Placement::rank().
  const std::vector<Candidate>& candidates() const { return candidates_; }
  // Returns the number of first candidates at which the requests of all routers keep a copy loaded.
  int replicas() const { return replicas_; }

  std::size_t memory_bytes() const { return candidates_.capacity() * sizeof(Candidate); }
  // Frees the candidates, which are ranked anew when they are needed. Returns the bytes freed.
  std::size_t release_candidates() {
    const std::size_t bytes = memory_bytes();
    candidates_.clear();
    candidates_.shrink_to_fit();
    ranked_version_ = 0;
    return bytes;
  }

 private:
  friend class Placement;

  RequestWindow requests_{history_bucket_width};
  std::vector<Candidate> candidates_;
  int replicas_ = 0;
  std::uint64_t ranked_version_ = 0;  // version of the endpoint list at the last ranking
};

// Ranks the endpoints for each function.
class Placement {
 public:
  Placement(EndpointTable& endpoints, const ObservationWindow& observation)
      : endpoints_(endpoints), observation_(observation) {}

  // Updates the function's candidates and replica count.
  void rank(Timestamp now, const FunctionId& id, FunctionPlacement& function) const;

 private:
  void collect_candidates(const FunctionId& id, FunctionPlacement& function) const;
  int count_replicas(Timestamp now, const FunctionPlacement& function) const;

  EndpointTable& endpoints_;
  const ObservationWindow& observation_;
};

}  // namespace rushhill::routing
