#include "lab/scale_fault_runs.h"

#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/scale_process.h"
#include "lab/scale_table.h"
#include "scale/fault_run.h"
#include "scale/units.h"

namespace rushhill::lab {
namespace {

using Json = nlohmann::json;
using scale::second;
using scale::SimulationSize;

// All routers, on a quarter of the servers and with a hundredth of the requests, which fit into one process.
SimulationSize fleet_with_faults(bool small) {
  SimulationSize size{.fleet = {.servers = 1'000, .requests_per_second = 1.62},
                      .routers = 680,
                      .instances = 40'000,
                      .warm_up = 40 * second,
                      .measured_span = 30 * second};
  if (small) {
    size.fleet.servers = 120;
    size.fleet.requests_per_second = 4;
    size.routers = 24;
    size.instances = 4'800;
  }
  return size;
}

Json to_json(const Measurement& measurement) {
  return measurement.failed() ? Json{{"failed", measurement.failure}} : Json(measurement.figures);
}

void print_fault(const std::string& name, const Measurement& measurement) {
  std::cout << name << ":";
  if (measurement.failed()) std::cout << "  failed " << Json(measurement.failure).dump();
  for (const auto& [figure, value] : measurement.figures)
    std::cout << "  " << figure << ' ' << (std::isnan(value) ? "null" : figure_text(value));
  std::cout << "\n" << std::flush;
}

}  // namespace

int run_fleet_faults(const ScaleOptions& options) {
  const SimulationSize size = fleet_with_faults(options.small);
  int status = 0;
  for (const scale::Fault& fault : scale::faults(size)) {
    if (fault.name.find(options.only) == std::string::npos) continue;
    const auto work = [&](scale::Counter& counter) {
      return scale::run_fault(size, fault, counter).figures();
    };
    const Measurement measured = measure_in_process(MeasuredQuantity::instructions, work);
    if (measured.failed()) status = 1;
    if (options.json) {
      std::cout << Json{{"fault", fault.name}, {"found", to_json(measured)}}.dump() << "\n" << std::flush;
    } else {
      print_fault(fault.name, measured);
    }
  }
  return status;
}

}  // namespace rushhill::lab
