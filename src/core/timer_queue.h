// Timers in the order in which they fire: the structure behind a TimerService. Adding, cancelling and firing
// one take time logarithmic in their number; two of one moment fire in the order in which they were added.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

#include "core/timer_service.h"

namespace rushhill::core {

// Not thread-safe; calls may add and cancel timers while they are fired.
class TimerQueue {
 public:
  Timer add(Time when, TimerService::Call call) {
    const Timer timer{when, ++last_number_};
    timers_.emplace_hint(timers_.end(), timer, std::move(call));
    return timer;
  }
  void cancel(Timer& timer) { timers_.erase(std::exchange(timer, Timer{})); }

  // The moment of the first timer; nothing where there is none.
  std::optional<Time> next_deadline() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.begin()->first.at;
  }
  // Fires all timers due at `now`, also those added meanwhile for a moment that has come.
  void fire_due(Time now) {
    while (!timers_.empty() && timers_.begin()->first.at <= now) {
      const auto call = std::move(timers_.extract(timers_.begin()).mapped());
      call();
    }
  }
  std::size_t count() const { return timers_.size(); }

 private:
  std::map<Timer, TimerService::Call> timers_;
  std::uint64_t last_number_ = 0;
};

}  // namespace rushhill::core
