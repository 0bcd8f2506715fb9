// The functions that were requested of late, and what each part of the policy keeps of them.
#pragma once

#include <map>

#include "routing/latency_estimates.h"
#include "routing/placement.h"
#include "routing/types.h"
#include "routing/warm_index.h"

namespace rushhill::routing {

// One function. Each member is changed by its own part alone.
struct FunctionRecord {
  double lanes = 1;  // requests at a time in one copy
  FunctionTimes times;
  Timestamp requested_at{};  // the last time
  FunctionPlacement placement;
  WarmIndex copies;
};

// The records by function.
class FunctionTable {
 public:
  // Adds the function where it is not known.
  FunctionRecord& at(const FunctionId& id) { return functions_[id]; }

  // The endpoint holds no copy of any function any more.
  void forget_copies(const EndpointId& endpoint);
  // Once a second: erases lapsed copies, and functions that were long not requested.
  void sweep(Timestamp now, Duration keep_alive);

 private:
  std::map<FunctionId, FunctionRecord> functions_;
  std::int64_t swept_second_ = 0;  // of the clock
};

}  // namespace rushhill::routing
