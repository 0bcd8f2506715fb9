// A run of a fleet in which something fails: how many requests suffer, and for how long.
#pragma once

#include <string>
#include <vector>

#include "scale/counter.h"
#include "scale/figures.h"
#include "scale/fleet_simulation.h"

namespace rushhill::scale {

// What a fault affects.
enum class FaultKind { servers, regions_partitioned, routers_restart };

// A fault that begins after the warm-up and lasts for a span.
struct Fault {
  std::string name{};
  FaultKind kind = FaultKind::servers;
  int first = 0;  // the servers or routers affected: `count` of them, from the first on in steps of `step`
  int step = 1;
  int count = 0;
  Time span = 0;
  Time announced_after = 0;  // how late routers learn of its begin and of its end; 0: never
};

// What was measured from the begin of the fault on.
struct FaultRunResult {
  double requests = 0;
  double late = 0;  // requests answered after the latency target
  double given_up = 0;
  double unanswered = 0;  // requests without any end, which must be none
  double attempts_per_request = 0;
  double last_bad_second = 0;  // the last second in which too many requests were late or given up; 0: none
  double expired = 0;          // requests that the policy did not answer before their deadline
  double peak_resident = 0;
  double dearest_second = 0;  // instructions of one router

  // By the names that are printed.
  Figures figures() const;
};

// The faults that a fleet of that size is tried with: those of an ordinary day, a rack, a zone, the same
// without discovery, a partition between regions, the restart of a zone's routers.
std::vector<Fault> faults(const SimulationSize& size);

FaultRunResult run_fault(const SimulationSize& size, const Fault& fault, Counter& counter);

}  // namespace rushhill::scale
