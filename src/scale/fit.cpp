#include "scale/fit.h"

#include <algorithm>
#include <array>
#include <boost/math/statistics/linear_regression.hpp>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <stdexcept>
#include <tuple>

namespace rushhill::scale {
namespace {

using boost::math::statistics::simple_ordinary_least_squares;
using boost::math::statistics::simple_ordinary_least_squares_with_R_squared;

constexpr std::size_t fewest_points = 3;
constexpr double nearly_zero = 1e-12;          // a slope or a cost this small is taken for 0
constexpr double unbounded_steepening = 1e12;  // where the lower points have no slope
constexpr double least_cost = 1e-9;  // share of all points' sum; a smaller cost is no base of a ratio

// How far from a line a cost may be and still be extrapolated as one.
constexpr double flat_spread = 0.1;      // share of the mean; more than the counts differ between runs
constexpr double curve_certainty = 0.9;  // R squared on logarithms; below it the points follow no power
// Limits of the residual and of the steepening (and its inverse) of a line.
struct LineLimits {
  double residual = 0;
  double steepening = 0;
};
// The residual is well under the 25% that a prediction may miss; n log n over a factor of 16 steepens 1.3
// times, n^2 some 5.
constexpr LineLimits ordinary_line{.residual = 0.1, .steepening = 1.5};
// So near the line that a difference between the halves' slopes matters little.
constexpr LineLimits close_line{.residual = 0.02, .steepening = 3};

double sum_of(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

std::vector<double> logarithms(const std::vector<double>& values) {
  std::vector<double> result;
  result.reserve(values.size());
  for (const double value : values) result.push_back(std::log(std::max(value, nearly_zero)));
  return result;
}

// The slope of `count` points from `first` on.
double slope_of_part(const Series& series, std::size_t first, std::size_t count) {
  const auto part = [=](const std::vector<double>& values) {
    const auto begin = values.begin() + static_cast<std::ptrdiff_t>(first);
    return std::vector<double>(begin, begin + static_cast<std::ptrdiff_t>(count));
  };
  return simple_ordinary_least_squares(part(series.sizes), part(series.costs)).second;
}

// The upper half's slope over the lower half's; the middle point of an odd number belongs to both.
double steepening_of(const Series& series) {
  const std::size_t count = series.sizes.size();
  const std::size_t half = (count + 1) / 2;
  const double lower = slope_of_part(series, 0, half);
  const double upper = slope_of_part(series, count - half, half);
  if (std::abs(lower) >= nearly_zero) return upper / lower;
  return std::abs(upper) < nearly_zero ? 1 : unbounded_steepening;
}

double residual_of(const Fit& line) {
  double largest = 0;
  const double least = least_cost * sum_of(line.costs);
  for (std::size_t i = 0; i < line.sizes.size(); ++i) {
    const double distance = std::abs(line.costs[i] - (line.base + line.slope * line.sizes[i]));
    largest = std::max(largest, distance / std::max(line.costs[i], least));
  }
  return largest;
}

bool is_flat(const std::vector<double>& costs) {
  const auto [least, most] = std::ranges::minmax(costs);
  return most - least <= flat_spread * sum_of(costs) / static_cast<double>(costs.size());
}

bool is_within(const Fit& line, const LineLimits& limits) {
  return line.residual <= limits.residual && line.steepening <= limits.steepening &&
         line.steepening >= 1 / limits.steepening;
}

// `certainty`: R squared of the power fitted on logarithms.
Shape shape_of(const Fit& line, double certainty) {
  if (is_flat(line.costs)) return Shape::flat;
  if (is_within(line, ordinary_line) || is_within(line, close_line)) return Shape::line;
  return certainty >= curve_certainty ? Shape::curve : Shape::scattered;
}

}  // namespace

Fit fit(const Series& series) {
  const std::size_t count = series.sizes.size();
  if (count < fewest_points || count != series.costs.size() || !std::ranges::is_sorted(series.sizes))
    throw std::invalid_argument("a fit needs three sizes, ascending, and as many costs");
  Fit result;
  result.sizes = series.sizes;
  result.costs = series.costs;
  std::tie(result.base, result.slope) = simple_ordinary_least_squares(series.sizes, series.costs);
  result.residual = residual_of(result);
  result.steepening = steepening_of(series);
  const auto [start, power, certainty] =
      simple_ordinary_least_squares_with_R_squared(logarithms(series.sizes), logarithms(series.costs));
  result.power = power;
  result.shape = shape_of(result, certainty);
  return result;
}

std::optional<double> Fit::at(double size) const {
  if (shape == Shape::flat || shape == Shape::line) return base + slope * size;
  if (sizes.empty() || size < sizes.front() || size > sizes.back()) return {};
  const auto above = std::ranges::lower_bound(sizes, size);
  const auto upper = static_cast<std::size_t>(above - sizes.begin());
  if (*above == size) return costs[upper];
  const std::size_t lower = upper - 1;
  const double share =
      (std::log(size) - std::log(sizes[lower])) / (std::log(sizes[upper]) - std::log(sizes[lower]));
  return std::exp((1 - share) * std::log(std::max(costs[lower], nearly_zero)) +
                  share * std::log(std::max(costs[upper], nearly_zero)));
}

std::string name_of(const Fit& fit) {
  switch (fit.shape) {
    case Shape::flat:
      return "flat";
    case Shape::line:
      return "line";
    case Shape::scattered:
      return "scattered";
    case Shape::curve:
      break;
  }
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "curve ~n^%.1f", fit.power);
  return text.data();
}

}  // namespace rushhill::scale
