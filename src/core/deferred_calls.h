// Calls that run later: after the current call has returned, or at a given time.
#pragma once

#include <memory>
#include <utility>

#include "core/timer_service.h"

namespace rushhill::core {

// Schedules calls that are skipped once this object is destroyed, so that they may safely refer to its owner.
class DeferredCalls {
 public:
  explicit DeferredCalls(TimerService& clock) : clock_(clock) {}

  void run_soon(TimerService::Call call) { clock_.post(guarded(std::move(call))); }
  // Ahead of the calls of run_soon() that are waiting.
  void run_urgently(TimerService::Call call) { clock_.post_urgent(guarded(std::move(call))); }
  void run_at(Timestamp when, TimerService::Call call) {
    clock_.at(to_ticks(when), guarded(std::move(call)));
  }

 private:
  TimerService::Call guarded(TimerService::Call call) const {
    return [call = std::move(call), alive = std::weak_ptr(alive_)] {
      if (!alive.expired()) call();
    };
  }

  TimerService& clock_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace rushhill::core
