#include "scale/fleet_run.h"

#include "scale/meter.h"
#include "scale/process_usage.h"

namespace rushhill::scale {

Figures FleetRunResult::figures() const {
  Figures figures{{figure_name::instructions, instructions},
                  {figure_name::user_time, user_ns},
                  {figure_name::bytes, bytes},
                  {figure_name::requests, requests},
                  {figure_name::attempts_per_request, attempts_per_request},
                  {"answered", answered},
                  {"in time", in_time},
                  {"cold", cold},
                  {"instances standing", instances_loaded},
                  {figure_name::expired, expired},
                  {figure_name::peak_resident, peak_resident}};
  if (cold_in_time) figures["cold within 0.45 s"] = *cold_in_time;
  return figures;
}

FleetRunResult run_fleet(const SimulationSize& size, Counter& counter) {
  FleetSimulation simulation(size);
  simulation.run(size.warm_up);
  const RequestCounts counts_before = simulation.counts();
  const RequestOutcomes outcomes_before = simulation.outcomes();
  const double user_ns_before = user_ns();
  Meter meter(counter);
  meter.begin();
  simulation.run(size.measured_span);
  meter.end();
  const auto routers = static_cast<double>(simulation.router_count());
  const double router_seconds = to_seconds(size.measured_span) * routers;
  const RequestCounts total = simulation.counts();
  const RequestCounts counts = total - counts_before;
  const RequestOutcomes outcomes = simulation.outcomes() - outcomes_before;
  FleetRunResult result{.instructions = meter.sum() / router_seconds,
                        .user_ns = (user_ns() - user_ns_before) / router_seconds,
                        .requests = counts.accepted / router_seconds,
                        .attempts_per_request = counts.attempts / counts.accepted,
                        .answered = static_cast<double>(outcomes.answered) / counts.accepted,
                        .in_time = static_cast<double>(outcomes.in_time) / counts.accepted,
                        .cold = static_cast<double>(outcomes.cold) / counts.accepted,
                        .instances_loaded = static_cast<double>(simulation.servers().copies_loaded()),
                        .expired = total.expired,
                        .peak_resident = peak_resident_bytes()};
  if (outcomes.cold > 0)
    result.cold_in_time = static_cast<double>(outcomes.cold_in_time) / static_cast<double>(outcomes.cold);
  result.bytes = simulation.end_routers() / routers;
  return result;
}

}  // namespace rushhill::scale
