// The clock and the alarms that the core and its neighbours are handed; an emulator hands over its own.
#pragma once

#include <cstdint>
#include <functional>

#include "decide.h"

namespace rushhill::core {

// Names one alarm, so that it can be withdrawn; the default names none.
struct Alarm {
  Time at = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Alarm&) const = default;
};

class Clockwork {
 public:
  using Call = std::function<void()>;

  Clockwork() = default;
  Clockwork(const Clockwork&) = delete;
  Clockwork& operator=(const Clockwork&) = delete;
  virtual ~Clockwork() = default;

  virtual Time now() const = 0;                           // monotonic, tenths of a millisecond, never 0
  virtual Alarm at(Time when, Call call) = 0;             // once, at or after that moment
  virtual void withdraw(Alarm& alarm) = 0;                // also where it has rung or names none
  virtual void soon(Call call) = 0;                       // when what runs now has returned
  virtual std::int64_t nanoseconds() const { return 0; }  // for measuring spent time only; 0: not measured
};

}  // namespace rushhill::core
