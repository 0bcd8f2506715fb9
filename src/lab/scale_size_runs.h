// Runs of fleets near the size to design for, beside what the fitted costs predict.
#pragma once

#include "lab/scale_options.h"

namespace rushhill::lab {

// Prints as it goes; returns the process's exit status, 1 where a run failed. Throws std::runtime_error where
// the costs to predict from could not be counted.
int run_fleet_sizes(const ScaleOptions& options);

}  // namespace rushhill::lab
