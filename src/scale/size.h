// Runs near the size to design for, in virtual time: one router told the whole of it, and as many routers as
// the fleet has beside as many servers as fit. What they cost is counted as the costs are.
#pragma once

#include "scale/costs.h"

namespace rushhill::scale {

struct Size {
  Sizes sizes{};
  int routers = 1;  // that run; sizes.routers is what each is told
  int instances =
      0;          // copies that stand at the servers from the start, by how often their function is called
  Time lead = 0;  // before anything is counted
  Time measured = 0;
};

// "instructions" and "user ns": a second of one router, hollow servers and timers with it; "bytes": one
// router's.
Figures run_at(const Size& size, Counter& counter);

}  // namespace rushhill::scale
