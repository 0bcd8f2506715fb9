// A clock that a test moves, with the timers that are due on it.
#pragma once

#include <algorithm>
#include <utility>

#include "core/timer_queue.h"
#include "core/timer_service.h"

namespace rushhill::simulation {

class ManualTimers final : public core::TimerService {
 public:
  static constexpr Time start = 1'000'000;  // tenths of a millisecond

  Time now() const override { return now_; }
  core::Timer at(Time when, Call call) override { return timers_.add(when, std::move(call)); }
  void cancel(core::Timer& timer) override { timers_.cancel(timer); }
  void post(Call call) override { timers_.add(now_, std::move(call)); }
  void pass(Time span) {
    const Time end = now_ + span;
    while (timers_.next_deadline() && *timers_.next_deadline() <= end) {
      now_ = std::max(now_, *timers_.next_deadline());
      timers_.fire_due(now_);
    }
    now_ = end;
  }

 private:
  Time now_ = start;
  core::TimerQueue timers_;
};

}  // namespace rushhill::simulation
