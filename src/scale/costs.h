// What the program's own parts cost by the sizes that the fleet may grow in: each cost runs the part itself
// at one size and returns what was counted. docs/CAPACITY.md is written from these.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "scale/counter.h"
#include "scale/figures.h"

namespace rushhill::scale {

// One cost of one part, by one size.
struct Cost {
  std::string name{};                  // part.what-by-which-size; printed, and read by scripts
  std::string mechanism{};             // names in the code, and their file
  std::string unit{};                  // what the figures are for
  std::string varied{};                // the size that is varied
  std::string fixed{};                 // the sizes that are not
  std::vector<double> points{};        // sizes, ascending, over a factor of 16 at least
  std::vector<double> small_points{};  // sizes for continuous integration
  // Throws std::runtime_error where the part did not do its work.
  std::function<Figures(double size, Counter& counter)> measure{};
};

// All costs, part by part, in the order in which they are printed.
const std::vector<Cost>& costs();

}  // namespace rushhill::scale
