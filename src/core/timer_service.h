// The interface to the clock and the timers. The event loop implements it; so does the emulator, with
// emulated time.
#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "routing/time.h"

namespace rushhill::core {

// Identifies a timer so that it can be cancelled. The default value identifies no timer. `at` is the time at
// which the timer fires, in tenths of a millisecond.
struct Timer {
  Time at = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Timer&) const = default;
};

// Runs calls later, on the thread of the event loop. A call never runs before the call that scheduled it has
// returned.
class TimerService {
 public:
  using Call = std::function<void()>;

  TimerService() = default;
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;
  TimerService(TimerService&&) = delete;
  TimerService& operator=(TimerService&&) = delete;
  virtual ~TimerService() = default;

  // The time of a monotonic clock, in tenths of a millisecond; never 0. The core itself uses timestamp();
  // other packages still use plain tick counts.
  virtual Time now() const = 0;
  // The same time as a strong type.
  Timestamp timestamp() const { return to_timestamp(now()); }
  // Runs the call once, at or after the given time.
  virtual Timer at(Time when, Call call) = 0;
  // Cancels the timer if it has not fired yet, and resets it to the default value.
  virtual void cancel(Timer& timer) = 0;
  // Runs the call after the current call has returned.
  virtual void post(Call call) = 0;
  // The same, ahead of the calls of post() that are waiting.
  virtual void post_urgent(Call call) { post(std::move(call)); }
  // A clock reading in nanoseconds, for measuring elapsed real time only; always 0 if there is no such clock.
  virtual std::int64_t nanoseconds() const { return 0; }
};

}  // namespace rushhill::core
