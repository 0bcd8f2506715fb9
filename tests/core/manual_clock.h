// A TimerService for tests whose time changes only when the test advances it.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "core/timer_queue.h"

namespace rushhill::core {

class ManualClock final : public TimerService {
 public:
  Time now() const override { return now_; }
  Timer at(Time when, Call call) override { return timers_.add(when, std::move(call)); }
  void cancel(Timer& timer) override { timers_.cancel(timer); }
  void post(Call call) override { posted_.push_back(std::move(call)); }
  void post_urgent(Call call) override { urgent_.push_back(std::move(call)); }
  // Runs all posted calls, urgent ones first, including those that they post.
  void run_posted_calls() {
    while (!posted_.empty() || !urgent_.empty()) {
      for (const Call& call : std::exchange(urgent_, {})) call();
      for (const Call& call : std::exchange(posted_, {})) call();
    }
  }
  // Advances the time by `span`, in tenths of a millisecond, and runs the timers and posted calls that become
  // due.
  void advance(Time span) {
    const Time end = now_ + span;
    run_posted_calls();
    while (timers_.next_deadline() && *timers_.next_deadline() <= end) {
      now_ = std::max(now_, *timers_.next_deadline());
      timers_.fire_due(now_);
      run_posted_calls();
    }
    now_ = end;
  }
  // Advances the time without running timers, as if the event loop had not noticed them yet.
  void advance_without_firing(Time span) { now_ += span; }
  std::size_t pending_timers() const { return timers_.count(); }

 private:
  Time now_ = 100 * 10'000;
  TimerQueue timers_;
  std::vector<Call> posted_;
  std::vector<Call> urgent_;
};

}  // namespace rushhill::core
