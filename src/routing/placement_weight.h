// How far placement departs from an endpoint's rated capacity.
#pragma once

#include <algorithm>
#include <cmath>

namespace rushhill::routing {

// Hashes load endpoints unevenly: what bears more than usual becomes home to fewer functions.
class PlacementWeight {
 public:
  // The endpoint bears that share more than usual (-1 to 1); `step`: how far one observation counts.
  void observe(double excess, double step) {
    factor_ *= std::exp(-step * std::clamp(excess, -1.0, 1.0));
    factor_ = std::clamp(factor_, 1 / most_factor, most_factor);
  }
  // Times its rated capacity.
  double factor() const { return factor_; }

 private:
  // An endpoint stays home to some functions, however busy it is.
  static constexpr double most_factor = 4.5;

  double factor_ = 1;
};

}  // namespace rushhill::routing
