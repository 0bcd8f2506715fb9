// Correction of an endpoint's rated capacity for placement.
#pragma once

#include <algorithm>
#include <cmath>

namespace rushhill::routing {

// Rendezvous hashing loads the endpoints unevenly. An endpoint with more load than usual gets a lower weight,
// so that placement prefers it for fewer functions.
class PlacementWeight {
 public:
  // Records that the endpoint's load exceeds the usual load by the fraction `excess`, which is limited to -1
  // to 1. `step` is the weight of the observation.
  void observe(double excess, double step) {
    factor_ *= std::exp(-step * std::clamp(excess, -1.0, 1.0));
    factor_ = std::clamp(factor_, 1 / max_factor, max_factor);
  }
  // Returns the factor by which placement multiplies the rated capacity.
  double factor() const { return factor_; }

 private:
  // Bounded so that placement prefers even the busiest endpoint for some functions.
  static constexpr double max_factor = 4.5;

  double factor_ = 1;
};

}  // namespace rushhill::routing
