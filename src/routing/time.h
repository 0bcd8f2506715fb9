// Moments and spans of time, counted in whole tenths of a millisecond.
//
// The routing policy and its parts use the strong types: a Duration cannot be passed where a Timestamp is
// wanted. Packages that have not been converted yet use `Time`, a plain count, for both; the functions below
// convert where the two meet.
#pragma once

#include <chrono>
#include <cstdint>
#include <ratio>

namespace rushhill {

using Duration = std::chrono::duration<std::int64_t, std::ratio<1, 10'000>>;

// The router's monotonic clock. It is read by the host, never by the policy: each call carries its reading.
struct MonotonicClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

// A span as an estimate: a mean or a product, not rounded to whole tenths.
using FractionalDuration = std::chrono::duration<double, Duration::period>;

constexpr Duration one_second = std::chrono::seconds{1};

// A reading of that clock; the default value stands for "never" or "unknown".
using Timestamp = MonotonicClock::time_point;

// The later of two moments; by value, where std::max returns a reference and so keeps both in memory.
constexpr Timestamp later_of(Timestamp first, Timestamp second) { return first < second ? second : first; }

// Whole tenths of a millisecond, as a moment of the monotonic clock or as a span.
using Time = std::int64_t;

constexpr Duration to_duration(Time ticks) { return Duration{ticks}; }
constexpr Timestamp to_timestamp(Time ticks) { return Timestamp{Duration{ticks}}; }
constexpr Time to_ticks(Duration span) { return span.count(); }
constexpr Time to_ticks(Timestamp moment) { return moment.time_since_epoch().count(); }

}  // namespace rushhill
