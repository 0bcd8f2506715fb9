// A run of a fleet near the size to design for, where nothing fails: what a router costs, and how its
// requests end.
#pragma once

#include <optional>

#include "scale/counter.h"
#include "scale/figures.h"
#include "scale/fleet_simulation.h"

namespace rushhill::scale {

// What was measured; costs are those of one router.
struct FleetRunResult {
  double instructions = 0;  // a second, with simulated servers and timers
  double user_ns = 0;       // a second, likewise
  double bytes = 0;
  double requests = 0;  // a second
  double attempts_per_request = 0;
  double answered = 0;  // shares of the requests, as all below
  double in_time = 0;
  double cold = 0;
  std::optional<double> cold_in_time{};  // share of those cold; none: there were none
  double instances_loaded = 0;
  double expired = 0;  // requests that the policy did not answer before their deadline
  double peak_resident = 0;

  // By the names that are printed.
  Figures figures() const;
};

FleetRunResult run_fleet(const SimulationSize& size, Counter& counter);

}  // namespace rushhill::scale
