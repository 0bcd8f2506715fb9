#include "lab/scale.h"

#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "lab/scale_fault_runs.h"
#include "lab/scale_fits.h"
#include "lab/scale_plots.h"
#include "lab/scale_points.h"
#include "lab/scale_size_runs.h"
#include "lab/scale_table.h"
#include "scale/costs.h"

namespace rushhill::lab {
namespace {

using Json = nlohmann::json;

constexpr std::size_t fewest_fitted_points = 3;

std::vector<const scale::Cost*> selected_costs(const ScaleOptions& options) {
  std::vector<const scale::Cost*> selected;
  for (const scale::Cost& cost : scale::costs()) {
    if (cost.name.find(options.only) != std::string::npos) selected.push_back(&cost);
  }
  return selected;
}

void list_costs(const ScaleOptions& options) {
  for (const scale::Cost* cost : selected_costs(options))
    std::cout << cost->name << ": for a " << cost->unit << "; " << cost->mechanism << '\n';
}

void print_fit(const FittedFigure& fitted, const ScaleOptions& options) {
  if (options.json) {
    std::cout << to_json(fitted).dump() << "\n" << std::flush;
  } else {
    print_table_row(fitted);
  }
}

// Points that are too few for a fit: a line of JSON for each figure.
void print_points(const scale::Cost& cost, const std::vector<Point>& points) {
  for (const Point& point : points) {
    for (const auto& [name, value] : point.figures) {
      const Json line{{"cost", cost.name},
                      {"figure", name},
                      {"unit", cost.unit},
                      {cost.varied, point.size},
                      {"is", value}};
      std::cout << line.dump() << "\n" << std::flush;
    }
  }
}

// False: a point failed.
bool print_failures(const scale::Cost& cost, const std::vector<Point>& points) {
  bool all_measured = true;
  for (const Point& point : points) {
    if (point.failure.empty()) continue;
    all_measured = false;
    std::cerr << cost.name << " at " << point.size << ": " << point.failure << '\n';
  }
  return all_measured;
}

// Prints what was measured before.
int print_stored(const ScaleOptions& options) {
  const std::vector<FittedFigure> fits = read_fits(options.from);
  for (const FittedFigure& fitted : fits) print_fit(fitted, options);
  return options.plots.empty() || draw_plots(fits, options.plots) ? 0 : 1;
}

int measure_costs(const ScaleOptions& options) {
  bool succeeded = true;
  std::vector<FittedFigure> all;
  for (const scale::Cost* cost : selected_costs(options)) {
    const std::vector<Point> points = measure_points(*cost, options);
    if (!print_failures(*cost, points)) succeeded = false;
    if (points.size() < fewest_fitted_points) {
      print_points(*cost, points);
      continue;
    }
    std::vector<FittedFigure> fits = fit_points(*cost, points);
    for (const FittedFigure& fitted : fits) print_fit(fitted, options);
    std::move(fits.begin(), fits.end(), std::back_inserter(all));
  }
  if (!options.plots.empty() && !draw_plots(all, options.plots)) succeeded = false;
  return succeeded ? 0 : 1;
}

}  // namespace

int scale(const ScaleOptions& options) {
  if (options.size) return run_fleet_sizes(options);
  if (options.faults) return run_fleet_faults(options);
  const bool is_fitted = options.at.empty() || options.at.size() >= fewest_fitted_points;
  if (!options.list && !options.json && is_fitted) print_table_head();
  if (!options.from.empty()) return print_stored(options);
  if (!options.list) return measure_costs(options);
  list_costs(options);
  return 0;
}

}  // namespace rushhill::lab
