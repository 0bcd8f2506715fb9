// Runs of fleets in which something fails: how many requests suffer, and for how long.
#pragma once

#include "lab/scale_options.h"

namespace rushhill::lab {

// Prints as it goes; returns the process's exit status, 1 where a run failed.
int run_fleet_faults(const ScaleOptions& options);

}  // namespace rushhill::lab
