#include "lab/scale_prediction.h"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <string>

#include "lab/scale_fits.h"
#include "lab/scale_points.h"
#include "scale/function_picker.h"
#include "scale/units.h"

namespace rushhill::lab {
namespace {

constexpr double ticks_per_second = 10;
constexpr double functions_memory_servers = 250;  // that module.memory-by-functions-held is measured beside
constexpr double function_kept_seconds = 120;     // that the policy keeps a function which is not called
constexpr std::uint64_t picker_seed = 3;

// A figure of a cost, by its printed names.
struct FigureName {
  std::string cost;
  std::string figure;
};

// Measures the cost now.
scale::Fit measure_fit(const FigureName& name, const ScaleOptions& options) {
  ScaleOptions counted_once = options;
  counted_once.repeats = 0;
  const auto cost = std::ranges::find(scale::costs(), name.cost, &scale::Cost::name);
  if (cost != scale::costs().end()) {
    for (const FittedFigure& fitted : fit_points(*cost, measure_points(*cost, counted_once))) {
      if (fitted.figure == name.figure) return fitted.fit;
    }
  }
  throw std::runtime_error(name.cost + ": " + name.figure + " was not counted");
}

double value_at(const scale::Fit& fit, double size, const char* name) {
  const auto value = fit.at(size);
  if (!value) throw std::runtime_error(std::string(name) + ": no line, and beyond its points");
  return *value;
}

}  // namespace

CostModel::CostModel(const ScaleOptions& options)
    : second_(measure_fit({"core.second-by-requests", scale::figure_name::instructions}, options)),
      request_(measure_fit({"module.request-by-servers", scale::figure_name::instructions}, options)),
      tick_(measure_fit({"module.tick-by-servers", scale::figure_name::instructions}, options)),
      memory_(measure_fit({"module.memory-by-servers", scale::figure_name::bytes}, options)),
      functions_met_(measure_fit({"module.memory-by-servers", scale::figure_name::functions_met}, options)),
      functions_memory_(
          measure_fit({"module.memory-by-functions-held", scale::figure_name::bytes}, options)) {}

RouterCost CostModel::predict(const scale::FleetSize& fleet, double functions_met) const {
  return {.instructions = predict_instructions(fleet), .bytes = predict_bytes(fleet.servers, functions_met)};
}

// The core's second is measured beside few servers: what the policy costs more beside more servers is added.
double CostModel::predict_instructions(const scale::FleetSize& fleet) const {
  const double servers = fleet.servers;
  const double least_servers = request_.sizes.front();
  const double more_per_request =
      value_at(request_, servers, "request") - value_at(request_, least_servers, "request");
  const double more_per_tick = value_at(tick_, servers, "tick") - value_at(tick_, least_servers, "tick");
  return value_at(second_, fleet.requests_per_second, "second") +
         fleet.requests_per_second * more_per_request + ticks_per_second * more_per_tick;
}

// Memory is an entry for each server and function, and what a server and a function take by themselves.
double CostModel::predict_bytes(int servers, double functions_met) const {
  const double measured_functions = functions_met_.costs.back();
  const double per_function = memory_.base / measured_functions;
  const double per_entry = (functions_memory_.slope - per_function) / functions_memory_servers;
  const double per_server = memory_.slope - per_entry * measured_functions;
  return servers * (per_server + per_entry * functions_met) + per_function * functions_met;
}

double functions_met_in(const scale::SimulationSize& size) {
  const double seconds =
      std::min(function_kept_seconds, scale::to_seconds(size.warm_up + size.measured_span));
  const auto calls = static_cast<int>(size.fleet.requests_per_second * seconds);
  scale::FunctionPicker picker(size.fleet, picker_seed);
  std::set<int> met;
  for (int i = 0; i < calls; ++i) met.insert(picker.next());
  return static_cast<double>(met.size());
}

}  // namespace rushhill::lab
