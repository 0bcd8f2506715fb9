// Faults of the routers themselves and of the links between them, over the length of any day.
#pragma once

#include "simulation/day.h"

namespace rushhill::simulation {

// Which kinds are drawn.
struct RouterFaults {
  bool links = false;
  bool stalls = false;
  bool crashes = false;
  bool restarts = false;
};

void add_router_faults(Day& day, const RouterFaults& faults);

}  // namespace rushhill::simulation
