// Measures one cost at each of its sizes.
#pragma once

#include <string>
#include <vector>

#include "lab/scale_options.h"
#include "scale/costs.h"

namespace rushhill::lab {

// One size, and what was measured there.
struct Point {
  double size = 0;
  scale::Figures figures{};  // user time is the least of all runs
  std::string failure{};     // of the last run that failed; empty: none
};

// Counts every point once and times it several times, a number of points at once.
std::vector<Point> measure_points(const scale::Cost& cost, const ScaleOptions& options);

}  // namespace rushhill::lab
