// Runs near the size to design for, in virtual time: one router told the whole of it, and as many routers as
// the fleet has beside as many servers as fit. What they cost is counted as the costs are.
#pragma once

#include "routing/time.h"
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

// What goes wrong during `span`, after the lead, and when the routers are told of it, here and of its end.
struct Fault {
  std::string name{};
  enum class Kind { servers, regions_apart, routers_restart } kind = Kind::servers;
  int first = 0, every = 1, count = 0;  // the servers, or the routers
  Time span = 0;
  Time told_after = 0;  // 0: nobody tells, as when discovery is down
};
std::vector<Fault> faults(const Size& size);
// Requests from the fault's begin on, seconds until all are answered in time again, and the dearest second.
Figures run_fault(const Size& size, const Fault& fault, Counter& counter);

}  // namespace rushhill::scale
