// A day at any size: mixed servers in three locations, functions by Zipf's law, and the faults that meet many
// at once: slow servers, a crash of some, a burst, a slow store, a router restarted.
#pragma once

#include <cstdint>

#include "simulation/day.h"

namespace rushhill::simulation {

// The size of the day and what its seed draws.
struct GrownDayOptions {
  int servers = 0;
  int routers = 0;
  int functions = 0;
  std::int64_t events = 0;
  double rate = 0;  // events a second
  std::uint64_t seed = 1;
};

Day grown_day(const GrownDayOptions& options);

}  // namespace rushhill::simulation
