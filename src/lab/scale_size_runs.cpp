#include "lab/scale_size_runs.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/scale_prediction.h"
#include "lab/scale_process.h"
#include "lab/scale_table.h"
#include "scale/fleet_run.h"
#include "scale/units.h"

namespace rushhill::lab {
namespace {

using Json = nlohmann::json;
using scale::second;
using scale::SimulationSize;

constexpr int name_width = 22;
constexpr int value_width = 16;

// A fleet that is run, and how it is called in what is printed.
struct NamedFleet {
  std::string name{};
  SimulationSize size{};
};

// One router of the whole fleet.
NamedFleet one_router(bool small) {
  SimulationSize size{.fleet = {.servers = 4'000},
                      .instances = 160'000,
                      .warm_up = 120 * second,
                      .measured_span = 30 * second};
  if (small) {
    size.fleet.servers = 250;
    size.instances = 10'000;
    size.warm_up = 10 * second;
    size.measured_span = 10 * second;
  }
  return {.name = "one router told the whole", .size = size};
}

// All routers, on a quarter of the servers and with a hundredth of the requests, which fit into one process.
NamedFleet all_routers(bool small) {
  SimulationSize size{.fleet = {.servers = 1'000, .requests_per_second = 1.62},
                      .routers = 680,
                      .instances = 40'000,
                      .warm_up = 40 * second,
                      .measured_span = 20 * second};
  if (small) {
    size.fleet.servers = 125;
    size.routers = 68;
    size.instances = 5'000;
    size.warm_up = 10 * second;
    size.measured_span = 10 * second;
  }
  return {.name = "all routers", .size = size};
}

// Counts once and times several times, of which the least counts.
Measurement measure_fleet(const SimulationSize& size, int repeats) {
  const auto work = [&](scale::Counter& counter) { return scale::run_fleet(size, counter).figures(); };
  Measurement result = measure_in_process(MeasuredQuantity::instructions, work);
  for (int i = 0; i < repeats && !result.failed(); ++i) {
    const Measurement timed = measure_in_process(MeasuredQuantity::user_time, work);
    const auto user_ns = timed.figures.find(scale::figure_name::user_time);
    if (user_ns == timed.figures.end() || !(user_ns->second > 0)) continue;
    const auto [least, is_new] = result.figures.insert(*user_ns);
    if (!is_new) least->second = std::min(least->second, user_ns->second);
  }
  return result;
}

Json to_json(const NamedFleet& fleet, const RouterCost& predicted, const scale::Figures& figures) {
  const SimulationSize& size = fleet.size;
  return {{"run", fleet.name},
          {"servers", size.fleet.servers},
          {"functions", size.fleet.functions},
          {"instances", size.instances},
          {"routers", size.routers},
          {"requests a second at each", size.fleet.requests_per_second},
          {"foretold", {{"instructions", predicted.instructions}, {"bytes", predicted.bytes}}},
          {"found", figures}};
}

// 0: nothing is predicted of that figure.
double predicted_value(const RouterCost& predicted, const std::string& figure) {
  if (figure == scale::figure_name::instructions) return predicted.instructions;
  return figure == scale::figure_name::bytes ? predicted.bytes : 0;
}

void print_comparison(const NamedFleet& fleet, const RouterCost& predicted, const scale::Figures& figures) {
  const SimulationSize& size = fleet.size;
  std::cout << fleet.name << ": " << size.routers << " routers, " << size.fleet.servers << " servers with "
            << size.instances << " instances, " << size.fleet.functions << " functions, "
            << size.fleet.requests_per_second << " requests a second at each\n";
  for (const auto& [name, value] : figures) {
    std::cout << "  " << std::left << std::setw(name_width) << name << std::right << std::setw(value_width)
              << figure_text(value);
    const double expected = predicted_value(predicted, name);
    if (expected > 0) {
      std::cout << "   foretold " << figure_text(expected) << ", off by "
                << figure_text(100 * (value / expected - 1)) << "%";
    }
    std::cout << "\n" << std::flush;
  }
}

// Returns the exit status.
int run_beside_prediction(const NamedFleet& fleet, const CostModel& model, const ScaleOptions& options) {
  const RouterCost predicted = model.predict(fleet.size.fleet, functions_met_in(fleet.size));
  std::cerr << fleet.name << ": foretold " << figure_text(predicted.instructions)
            << " instructions a second, " << figure_text(predicted.bytes) << " bytes a router"
            << "\n"
            << std::flush;
  const Measurement measured = measure_fleet(fleet.size, options.repeats);
  if (measured.failed()) {
    std::cerr << fleet.name << ": " << measured.failure << '\n';
    return 1;
  }
  if (options.json) {
    std::cout << to_json(fleet, predicted, measured.figures).dump() << "\n" << std::flush;
  } else {
    print_comparison(fleet, predicted, measured.figures);
  }
  return 0;
}

}  // namespace

int run_fleet_sizes(const ScaleOptions& options) {
  const CostModel model(options);
  const int one = run_beside_prediction(one_router(options.small), model, options);
  const int all = run_beside_prediction(all_routers(options.small), model, options);
  return std::max(one, all);
}

}  // namespace rushhill::lab
