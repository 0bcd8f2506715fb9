// Spans of time in the units of the protocols, rounded up.
#pragma once

#include "routing/time.h"

namespace rushhill::frontends {

constexpr Time ticks_per_ms = 10;
constexpr Time ticks_per_second = 10'000;

// Of a span in tenths of a millisecond.
constexpr Time whole_ms(Time span) { return (span + ticks_per_ms - 1) / ticks_per_ms; }
constexpr Time whole_seconds(Time span) { return (span + ticks_per_second - 1) / ticks_per_second; }

}  // namespace rushhill::frontends
