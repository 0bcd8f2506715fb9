// Units shared by the measurements: virtual time is counted in tenths of a millisecond.
#pragma once

#include "routing/time.h"

namespace rushhill::scale {

inline constexpr Time second = 10'000;
// Virtual time that a message takes from one router to another.
inline constexpr Time router_latency = 5;

// A span of virtual time as a number of seconds.
constexpr double to_seconds(Time span) { return static_cast<double>(span) / static_cast<double>(second); }

}  // namespace rushhill::scale
