// The recently requested functions, with the state that each part of the policy keeps for them.
#pragma once

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "routing/latency_estimates.h"
#include "routing/placement.h"
#include "routing/types.h"
#include "routing/warm_index.h"

namespace rushhill::routing {

// One function. Each member is changed by a single part of the policy.
struct FunctionRecord {
  double lanes = 1;  // requests that one copy runs concurrently
  FunctionTimes times;
  Timestamp requested_at{};  // time of the last request
  FunctionPlacement placement;
  WarmIndex copies;
};

// The function records by id. Clients may name any number of functions, so the table is limited by its
// memory: what the least recently requested functions take is given up first, and of that the candidates,
// which can be ranked anew, before the record itself.
class FunctionTable {
 public:
  // `max_bytes`: about the most that the records take; 0 for no limit.
  explicit FunctionTable(std::size_t max_bytes = 0) : max_bytes_(max_bytes) {}

  // Keeps the limit; to be called before a function is added, while no reference to a record is held.
  void make_room();
  // An estimate of what the records take.
  std::size_t memory_bytes() const;
  std::size_t size() const { return functions_.size(); }

  // Returns the function's record and adds it if there is none.
  FunctionRecord& at(const FunctionId& id) { return functions_[id]; }

  // Marks the endpoint's copies of all functions as lost.
  void forget_copies(const EndpointId& endpoint);
  // Erases expired copies and functions that were not requested for a long time. Does so at most once a
  // second.
  void sweep(Timestamp now, Duration keep_alive);

 private:
  using Functions = std::map<FunctionId, FunctionRecord>;

  std::vector<Functions::iterator> by_age();

  Functions functions_;
  std::size_t max_bytes_;
  int calls_since_check_ = 0;           // of make_room()
  std::int64_t last_sweep_second_ = 0;  // clock reading of the last sweep, in whole seconds
};

}  // namespace rushhill::routing
