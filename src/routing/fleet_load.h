// What warm endpoints bear, as this router sees it: the measure for those that warm up.
#pragma once

#include <algorithm>

#include "routing/statistics.h"
#include "routing/time.h"

namespace rushhill::routing {

// Successes at warm endpoints and their weight.
struct WarmSuccesses {
  double succeeded = 0;
  double weight = 0;
};

// Means over the warm endpoints.
class FleetLoad {
 public:
  // A warm endpoint reported how busy its cores are.
  void observe_utilization(double utilization) { add_sample(utilization_, utilization); }
  void observe_successes(const WarmSuccesses& warm, Duration span) {
    const double ticks = FractionalDuration{span}.count();
    successes_ = warm.succeeded / std::max(warm.weight, least_weight) / ticks;
  }

  // 0: not reported.
  double utilization() const { return utilization_; }
  // Own requests per unit of weight and tenth of a millisecond.
  double successes() const { return successes_; }

 private:
  static constexpr double least_weight = 0.1;  // so that a fleet without warm endpoints divides by no zero

  double utilization_ = 0;
  double successes_ = 0;
};

}  // namespace rushhill::routing
