// Timestamps and durations, counted in whole tenths of a millisecond.
//
// The routing policy and its parts use strong types: a Duration cannot be passed as a Timestamp. Packages
// that have not been converted yet use `Time`, a plain count, for both; the functions below convert between
// them.
#pragma once

#include <chrono>
#include <cstdint>
#include <ratio>

namespace rushhill {

using Duration = std::chrono::duration<std::int64_t, std::ratio<1, 10'000>>;

// The router's monotonic clock. The host reads it and passes the reading with each call; the policy never
// reads a clock.
struct MonotonicClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

// An estimated duration, such as a mean or a product, in unrounded tenths of a millisecond.
using FractionalDuration = std::chrono::duration<double, Duration::period>;

constexpr Duration one_second = std::chrono::seconds{1};

// A reading of MonotonicClock. The default value means "never" or "unknown".
using Timestamp = MonotonicClock::time_point;

// Returns the later timestamp by value; std::max returns a reference, which forces both into memory.
constexpr Timestamp later_of(Timestamp first, Timestamp second) { return first < second ? second : first; }

// A timestamp or a duration as a plain count of tenths of a millisecond.
using Time = std::int64_t;

constexpr Duration to_duration(Time ticks) { return Duration{ticks}; }
constexpr Timestamp to_timestamp(Time ticks) { return Timestamp{Duration{ticks}}; }
constexpr Time to_ticks(Duration duration) { return duration.count(); }
constexpr Time to_ticks(Timestamp timestamp) { return timestamp.time_since_epoch().count(); }

}  // namespace rushhill
