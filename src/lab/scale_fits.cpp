#include "lab/scale_fits.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <stdexcept>
#include <utility>

namespace rushhill::lab {
namespace {

using Json = nlohmann::json;

constexpr std::size_t fewest_timed_points = 3;

// Names of the fields that are read back.
constexpr const char* cost_field = "cost";
constexpr const char* figure_field = "figure";
constexpr const char* points_field = "points";

// The points that have the figure.
scale::Series series_of(const std::string& figure, const std::vector<Point>& points) {
  scale::Series series;
  for (const Point& point : points) {
    const auto it = point.figures.find(figure);
    if (it == point.figures.end()) continue;
    series.sizes.push_back(point.size);
    series.costs.push_back(it->second);
  }
  return series;
}

const scale::Cost* find_cost(const std::string& name) {
  const auto it = std::ranges::find(scale::costs(), name, &scale::Cost::name);
  return it == scale::costs().end() ? nullptr : &*it;
}

scale::Series read_series(const Json& points) {
  scale::Series series;
  for (const Json& point : points) {
    series.sizes.push_back(point.at(0).get<double>());
    series.costs.push_back(point.at(1).get<double>());
  }
  return series;
}

}  // namespace

std::vector<FittedFigure> fit_points(const scale::Cost& cost, const std::vector<Point>& points) {
  std::set<std::string> names;
  for (const Point& point : points) {
    for (const auto& [name, value] : point.figures) names.insert(name);
  }
  std::vector<FittedFigure> fits;
  for (const std::string& name : names) {
    const scale::Series series = series_of(name, points);
    const bool is_timed = name == scale::figure_name::user_time && series.sizes.size() >= fewest_timed_points;
    if (series.sizes.size() == points.size() || is_timed)
      fits.push_back({.cost = &cost, .figure = name, .fit = scale::fit(series)});
  }
  return fits;
}

Json to_json(const FittedFigure& fitted) {
  const scale::Cost& cost = *fitted.cost;
  const scale::Fit& fit = fitted.fit;
  Json points = Json::array();
  for (std::size_t i = 0; i < fit.sizes.size(); ++i) points.push_back({fit.sizes[i], fit.costs[i]});
  return {{cost_field, cost.name},
          {figure_field, fitted.figure},
          {"unit", cost.unit},
          {"varied", cost.varied},
          {"fixed", cost.fixed},
          {"mechanism", cost.mechanism},
          {points_field, std::move(points)},
          {"shape", scale::name_of(fit)},
          {"base", fit.base},
          {"slope", fit.slope},
          {"residual", fit.residual},
          {"steepening", fit.steepening},
          {"power", fit.power}};
}

std::vector<FittedFigure> read_fits(const std::string& file) {
  std::ifstream stream(file);
  if (!stream.is_open()) throw std::runtime_error(file + ": cannot be read");
  std::vector<FittedFigure> fits;
  for (std::string line; std::getline(stream, line);) {
    const Json fields = Json::parse(line, nullptr, false);
    if (!fields.is_object() || !fields.contains(points_field)) continue;
    const scale::Cost* const cost = find_cost(fields.value(cost_field, ""));
    if (cost == nullptr) continue;
    fits.push_back({.cost = cost,
                    .figure = fields.value(figure_field, ""),
                    .fit = scale::fit(read_series(fields.at(points_field)))});
  }
  return fits;
}

}  // namespace rushhill::lab
