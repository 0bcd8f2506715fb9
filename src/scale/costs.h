// What the program's own parts cost by the sizes that the fleet may grow in: each cost runs the part itself
// at one size, and says what was counted. docs/CAPACITY.md is written from these.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "scale/counter.h"
#include "scale/hollow.h"

namespace rushhill::scale {

// By name, for each unit of the cost: "instructions", "user ns", "bytes" (allocator), "resident", "port
// bytes" (payload alone), "messages" and the like.
using Figures = std::map<std::string, double>;

struct Cost {
  std::string name;       // part.what-by-which-size
  std::string mechanism;  // names and file
  std::string unit;       // what the figures are for
  std::string varied, fixed;
  std::vector<double> points;        // ascending, over a factor of 16 at least
  std::vector<double> small_points;  // where time is short, as in continuous integration
  std::function<Figures(double size, Counter& counter)> measure;
};

const std::vector<Cost>& costs();

}  // namespace rushhill::scale
