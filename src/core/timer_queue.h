// A queue of timers, with which a TimerService is implemented. Adding, cancelling and firing a timer take
// time logarithmic in the number of timers. Timers set for the same time fire in the order in which they were
// added.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

#include "core/timer_service.h"

namespace rushhill::core {

// Not thread-safe. The calls that it runs may add and cancel timers.
class TimerQueue {
 public:
  Timer add(Time when, TimerService::Call call) {
    const Timer timer{when, ++last_number_};
    timers_.emplace_hint(timers_.end(), timer, std::move(call));
    return timer;
  }
  void cancel(Timer& timer) { timers_.erase(std::exchange(timer, Timer{})); }

  // Returns the time of the earliest timer, or nothing if there is none.
  std::optional<Time> next_deadline() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.begin()->first.at;
  }
  // Fires all timers that are due at `now`, including due timers that are added by the calls.
  void fire_due(Time now) {
    while (fire_next_due(now)) {}
  }
  // Fires the earliest timer if it is due at `now`. Returns whether it was.
  bool fire_next_due(Time now) {
    if (timers_.empty() || timers_.begin()->first.at > now) return false;
    const auto call = std::move(timers_.extract(timers_.begin()).mapped());
    call();
    return true;
  }
  std::size_t count() const { return timers_.size(); }

 private:
  std::map<Timer, TimerService::Call> timers_;
  std::uint64_t last_number_ = 0;
};

}  // namespace rushhill::core
