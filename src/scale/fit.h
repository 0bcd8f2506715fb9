// Whether a cost grows linearly with a size, by least squares over the points measured. A cost that does not
// is named so, and is not extrapolated beyond its points.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace rushhill::scale {

// How a cost grows with the size.
enum class Shape { flat, line, curve, scattered };

// The points measured: a cost for each size, sizes ascending.
struct Series {
  std::vector<double> sizes{};
  std::vector<double> costs{};
};

// A series and the line fitted to it.
struct Fit {
  Shape shape = Shape::scattered;
  double base = 0;  // base and slope of the line by least squares, whatever the shape
  double slope = 0;
  double residual = 0;    // the largest distance of a point from the line, as a share of the point
  double steepening = 1;  // the slope of the upper points over that of the lower ones; 1 for a line
  double power = 0;       // by least squares on logarithms: cost ~ size^power
  std::vector<double> sizes{};
  std::vector<double> costs{};

  // The cost at a size: any size for a line or a flat cost; otherwise only between points measured,
  // interpolated on logarithms.
  std::optional<double> at(double size) const;
};

// At least three points, costs not below 0; throws std::invalid_argument for fewer or unsorted ones.
Fit fit(const Series& series);
// The shape as printed: "flat", "line", "curve ~n^2.0", "scattered".
std::string name_of(const Fit& fit);

}  // namespace rushhill::scale
