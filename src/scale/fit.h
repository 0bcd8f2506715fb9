// Whether a cost grows as a line with a size, by least squares over the points measured. What is no line is
// named so, and is not carried on beyond its points.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace rushhill::scale {

enum class Shape { flat, line, curve, scattered };

struct Fit {
  Shape shape = Shape::scattered;
  double base = 0, slope = 0;  // of the line by least squares, whatever the shape
  double residual = 0;         // the largest distance of a point from the line, as a share of the point
  double steepening = 1;       // the slope of the upper points over that of the lower ones; 1 for a line
  double power = 0;            // by least squares on logarithms: cost ~ size^power
  std::vector<double> sizes{}, costs{};

  // Of a line or what is flat, at any size; of the others only between points measured, on logarithms.
  std::optional<double> at(double size) const;
};

// Sizes ascending, at least three; costs not below 0.
Fit fit(const std::vector<double>& sizes, const std::vector<double>& costs);
std::string name_of(const Fit& fit);  // "flat", "line", "curve ~n^2.0", "scattered"

}  // namespace rushhill::scale
