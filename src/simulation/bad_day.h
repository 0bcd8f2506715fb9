// The scripted bad day: every fault of servers, discovery, store and broker once at least, a rolling drain
// and a router restarted.
#pragma once

#include <cstdint>

#include "simulation/day.h"

namespace rushhill::simulation {

// The size of the day and what its seed draws.
struct BadDayOptions {
  std::int64_t events = 0;
  double rate = 0;  // events a second
  std::uint64_t seed = 1;
  bool missing_answers = true;  // as in Day
  bool calm = false;            // slow hosts have more time: longer limits and ticks, the same faults
};

Day scripted_bad_day(const BadDayOptions& options);

}  // namespace rushhill::simulation
