// Timers in the order in which they fire: the structure behind a TimerService. Setting, cancelling and firing
// one take time logarithmic in those that stand; two of one moment ring in the order they were set.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "core/timer_service.h"

namespace rushhill::core {

class TimerQueue {
 public:
  Timer add(Time when, TimerService::Call call) {
    const Timer alarm{when, ++last_};
    standing_.emplace_hint(standing_.end(), alarm, std::move(call));
    return alarm;
  }
  void cancel(Timer& alarm) { standing_.erase(std::exchange(alarm, Timer{})); }
  std::optional<Time> next_deadline() const {
    if (standing_.empty()) return std::nullopt;
    return standing_.begin()->first.at;
  }
  // Rings what is due at `now`, also what is set meanwhile for a moment that has come.
  void fire_due(Time now) {
    while (!standing_.empty() && standing_.begin()->first.at <= now) {
      const auto call = std::move(standing_.extract(standing_.begin()).mapped());
      call();
    }
  }
  std::size_t count() const { return standing_.size(); }

 private:
  std::map<Timer, TimerService::Call> standing_;
  std::uint64_t last_ = 0;
};

}  // namespace rushhill::core
