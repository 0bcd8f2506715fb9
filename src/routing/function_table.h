// The recently requested functions, with the state that each part of the policy keeps for them.
#pragma once

#include <map>

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

// The function records by id.
class FunctionTable {
 public:
  // Returns the function's record and adds it if there is none.
  FunctionRecord& at(const FunctionId& id) { return functions_[id]; }

  // Marks the endpoint's copies of all functions as lost.
  void forget_copies(const EndpointId& endpoint);
  // Erases expired copies and functions that were not requested for a long time. Does so at most once a
  // second.
  void sweep(Timestamp now, Duration keep_alive);

 private:
  std::map<FunctionId, FunctionRecord> functions_;
  std::int64_t last_sweep_second_ = 0;  // clock reading of the last sweep, in whole seconds
};

}  // namespace rushhill::routing
