// A clock that only moves when told.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "core/timer_queue.h"

namespace rushhill::core {

class HandClock final : public TimerService {
 public:
  Time now() const override { return now_; }
  Timer at(Time when, Call call) override { return alarms_.add(when, std::move(call)); }
  void cancel(Timer& alarm) override { alarms_.cancel(alarm); }
  void post(Call call) override { soon_.push_back(std::move(call)); }
  void settle() {
    while (!soon_.empty()) {
      for (const Call& call : std::exchange(soon_, {})) call();
    }
  }
  void pass(Time span) {
    const Time end = now_ + span;
    settle();
    while (alarms_.next_deadline() && *alarms_.next_deadline() <= end) {
      now_ = std::max(now_, *alarms_.next_deadline());
      alarms_.fire_due(now_);
      settle();
    }
    now_ = end;
  }
  void jump(Time span) { now_ += span; }  // the moment has come, and nothing has rung yet
  std::size_t standing() const { return alarms_.count(); }

 private:
  Time now_ = 100 * 10'000;
  TimerQueue alarms_;
  std::vector<Call> soon_;
};

}  // namespace rushhill::core
