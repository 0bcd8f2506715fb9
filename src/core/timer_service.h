// The clock and the alarms that the core and its neighbours are handed; an emulator hands over its own.
#pragma once

#include <cstdint>
#include <functional>

#include "decide.h"

namespace rushhill::core {

// Names one alarm, so that it can be withdrawn; the default names none.
struct Timer {
  Time at = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Timer&) const = default;
};

class TimerService {
 public:
  using Call = std::function<void()>;

  TimerService() = default;
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;
  virtual ~TimerService() = default;

  virtual Time now() const = 0;                           // monotonic, tenths of a millisecond, never 0
  virtual Timer at(Time when, Call call) = 0;             // once, at or after that moment
  virtual void cancel(Timer& alarm) = 0;                  // also where it has rung or names none
  virtual void post(Call call) = 0;                       // when what runs now has returned
  virtual std::int64_t nanoseconds() const { return 0; }  // for measuring spent time only; 0: not measured
};

}  // namespace rushhill::core
