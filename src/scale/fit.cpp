#include "scale/fit.h"

#include <algorithm>
#include <boost/math/statistics/linear_regression.hpp>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <stdexcept>

namespace rushhill::scale {
namespace {

using boost::math::statistics::simple_ordinary_least_squares;
using boost::math::statistics::simple_ordinary_least_squares_with_R_squared;

// How far from a line a cost may be and still be carried on as one.
constexpr double flat_spread = 0.1;    // share of the mean; more than the counts differ between runs
constexpr double line_residual = 0.1;  // share of a point; well under the 25% that a prediction may miss
constexpr double close_residual =
    0.02;  // so near the line that the halves' slopes differ by little that counts
constexpr double close_steepening = 3;   // and its inverse, there
constexpr double most_steepening = 1.5;  // and its inverse; n log n over a factor of 16 has 1.3, n^2 some 5
constexpr double least_cost = 1e-9;      // of all points together; less is nothing to compare with
constexpr double curve_certainty = 0.9;  // R squared on logarithms; below it the points follow no power

double sum_of(const std::vector<double>& of) { return std::accumulate(of.begin(), of.end(), 0.0); }
std::vector<double> part(const std::vector<double>& of, std::size_t from, std::size_t to) {
  return {of.begin() + static_cast<std::ptrdiff_t>(from), of.begin() + static_cast<std::ptrdiff_t>(to)};
}
std::vector<double> logs(const std::vector<double>& of) {
  std::vector<double> result;
  for (const double value : of) result.push_back(std::log(std::max(value, 1e-12)));
  return result;
}
double slope_of(const std::vector<double>& sizes, const std::vector<double>& costs) {
  return simple_ordinary_least_squares(sizes, costs).second;
}

}  // namespace

Fit fit(const std::vector<double>& sizes, const std::vector<double>& costs) {
  if (sizes.size() < 3 || sizes.size() != costs.size() || !std::ranges::is_sorted(sizes))
    throw std::invalid_argument("a fit needs three sizes, ascending, and as many costs");
  Fit found;
  found.sizes = sizes, found.costs = costs;
  std::tie(found.base, found.slope) = simple_ordinary_least_squares(sizes, costs);
  const auto [least, most] = std::ranges::minmax(costs);
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const double off = std::abs(costs[i] - (found.base + found.slope * sizes[i]));
    found.residual = std::max(found.residual, off / std::max(costs[i], least_cost * sum_of(costs)));
  }
  const std::size_t half = (sizes.size() + 1) / 2;
  const double lower = slope_of(part(sizes, 0, half), part(costs, 0, half));
  const double upper = slope_of(part(sizes, sizes.size() - half, sizes.size()),
                                part(costs, sizes.size() - half, sizes.size()));
  found.steepening = std::abs(lower) < 1e-12 ? (std::abs(upper) < 1e-12 ? 1 : 1e12) : upper / lower;
  const auto [start, power, certainty] =
      simple_ordinary_least_squares_with_R_squared(logs(sizes), logs(costs));
  found.power = power;
  const auto steep_within = [&](double times, double residual) {
    return found.residual <= residual && found.steepening <= times && found.steepening >= 1 / times;
  };
  if (most - least <= flat_spread * sum_of(costs) / static_cast<double>(sizes.size())) {
    found.shape = Shape::flat;
  } else if (steep_within(most_steepening, line_residual) || steep_within(close_steepening, close_residual)) {
    found.shape = Shape::line;
  } else {
    found.shape = certainty >= curve_certainty ? Shape::curve : Shape::scattered;
  }
  return found;
}

std::optional<double> Fit::at(double size) const {
  if (shape == Shape::flat || shape == Shape::line) return base + slope * size;
  if (sizes.empty() || size < sizes.front() || size > sizes.back()) return {};
  const auto above = std::ranges::lower_bound(sizes, size);
  const auto i = static_cast<std::size_t>(above - sizes.begin());
  if (*above == size) return costs[i];
  const double share =
      (std::log(size) - std::log(sizes[i - 1])) / (std::log(sizes[i]) - std::log(sizes[i - 1]));
  return std::exp((1 - share) * std::log(std::max(costs[i - 1], 1e-12)) +
                  share * std::log(std::max(costs[i], 1e-12)));
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
  char text[32];
  std::snprintf(text, sizeof text, "curve ~n^%.1f", fit.power);
  return text;
}

}  // namespace rushhill::scale
