// The clock and the timers that the core and its neighbours are handed; an emulator hands over its own.
#pragma once

#include <cstdint>
#include <functional>

#include "routing/time.h"

namespace rushhill::core {

// Names one timer, so that it can be cancelled; the default names none.
struct Timer {
  Time at = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Timer&) const = default;
};

// Calls run on the one thread of the loop, never from within the call that asked for them.
class TimerService {
 public:
  using Call = std::function<void()>;

  TimerService() = default;
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;
  TimerService(TimerService&&) = delete;
  TimerService& operator=(TimerService&&) = delete;
  virtual ~TimerService() = default;

  // Monotonic, in tenths of a millisecond, never 0. The core itself uses `timestamp`; what stands around it
  // counts ticks still.
  virtual Time now() const = 0;
  // The same reading as a strong type.
  Timestamp timestamp() const { return to_timestamp(now()); }
  // Runs the call once, at or after that moment.
  virtual Timer at(Time when, Call call) = 0;
  // Nothing happens where the timer has fired or names none.
  virtual void cancel(Timer& timer) = 0;
  // Runs the call when what runs now has returned.
  virtual void post(Call call) = 0;
  // For measuring spent time only; 0: not measured.
  virtual std::int64_t nanoseconds() const { return 0; }
};

}  // namespace rushhill::core
