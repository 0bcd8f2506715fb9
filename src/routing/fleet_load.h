// The load that warm endpoints carry, as this router observes it. Slow start uses it to estimate what a
// warming endpoint can carry.
#pragma once

#include <algorithm>

#include "routing/statistics.h"
#include "routing/time.h"

namespace rushhill::routing {

// The successful requests at warm endpoints, and the sum of the weights of these endpoints.
struct WarmSuccesses {
  double succeeded = 0;
  double weight = 0;
};

// Mean load of the warm endpoints.
class FleetLoad {
 public:
  // Adds the core utilization that a warm endpoint reported.
  void observe_utilization(double utilization) { add_sample(utilization_, utilization); }
  // Replaces the throughput by that of the successes within the span.
  void observe_successes(const WarmSuccesses& warm, Duration span) {
    const double ticks = FractionalDuration{span}.count();
    throughput_ = warm.succeeded / std::max(warm.weight, min_weight) / ticks;
  }

  // Returns 0 if no utilization has been reported.
  double utilization() const { return utilization_; }
  // This router's own successful requests per unit of weight and tenth of a millisecond.
  double throughput() const { return throughput_; }

 private:
  static constexpr double min_weight = 0.1;  // avoids a division by zero in a fleet without warm endpoints

  double utilization_ = 0;
  double throughput_ = 0;
};

}  // namespace rushhill::routing
