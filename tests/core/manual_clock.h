// A clock that only moves when told.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "core/alarms.h"

namespace rushhill::core {

class HandClock final : public Clockwork {
 public:
  Time now() const override { return now_; }
  Alarm at(Time when, Call call) override { return alarms_.set(when, std::move(call)); }
  void withdraw(Alarm& alarm) override { alarms_.withdraw(alarm); }
  void soon(Call call) override { soon_.push_back(std::move(call)); }
  void settle() {
    while (!soon_.empty()) {
      for (const Call& call : std::exchange(soon_, {})) call();
    }
  }
  void pass(Time span) {
    const Time end = now_ + span;
    settle();
    while (alarms_.next() && *alarms_.next() <= end) {
      now_ = std::max(now_, *alarms_.next());
      alarms_.ring(now_);
      settle();
    }
    now_ = end;
  }
  void jump(Time span) { now_ += span; }  // the moment has come, and nothing has rung yet
  std::size_t standing() const { return alarms_.count(); }

 private:
  Time now_ = 100 * 10'000;
  Alarms alarms_;
  std::vector<Call> soon_;
};

}  // namespace rushhill::core
