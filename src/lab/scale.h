// `rushhill lab scale`: what the program's parts cost by the sizes of a fleet, as lines fitted to points, and
// runs of fleets near the size to design for.
#pragma once

#include "lab/scale_options.h"

namespace rushhill::lab {

using Scale = ScaleOptions;  // as src/command names it

// The process's exit status; 1: something could not be measured or drawn.
int scale(const ScaleOptions& options);

}  // namespace rushhill::lab
