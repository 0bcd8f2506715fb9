// The fits of costs, as they are printed and stored.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/scale_points.h"
#include "scale/costs.h"
#include "scale/fit.h"

namespace rushhill::lab {

// The fit of one figure of one cost.
struct FittedFigure {
  const scale::Cost* cost = nullptr;
  std::string figure{};
  scale::Fit fit{};
};

// A fit for each figure that was measured at all points; for user time at three of them.
std::vector<FittedFigure> fit_points(const scale::Cost& cost, const std::vector<Point>& points);

// The line that --json prints, and the fits read back from a file of such lines. Lines of costs that are not
// known are passed over; throws std::runtime_error where the file cannot be read.
nlohmann::json to_json(const FittedFigure& fitted);
std::vector<FittedFigure> read_fits(const std::string& file);

}  // namespace rushhill::lab
