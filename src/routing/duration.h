// Units of Time, which counts whole tenths of a millisecond.
#pragma once

#include "routing/time.h"

namespace rushhill::routing {

constexpr Time one_second = 10'000;

}  // namespace rushhill::routing
