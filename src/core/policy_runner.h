// Runs the routing policy and measures the time that it takes.
#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include "core/timer_service.h"
#include "routing/routing_policy.h"

namespace rushhill::core {

// Owns the policy; every call of it goes through here.
class PolicyRunner {
 public:
  PolicyRunner(std::unique_ptr<RoutingPolicy> policy, TimerService& clock)
      : clock_(clock), policy_(std::move(policy)) {}

  // Runs `call(RoutingPolicy&, Timestamp now)`. Calls must not nest: what the policy asks for is reported to
  // it later.
  template <typename Call>
  void run(Call call) {
    const std::int64_t began_ns = clock_.nanoseconds();
    call(*policy_, to_timestamp(clock_.now()));
    spent_ns_ += clock_.nanoseconds() - began_ns;
  }

  // Time spent within the policy, in nanoseconds; 0 where the clock does not measure it.
  std::int64_t spent_ns() const { return spent_ns_; }

 private:
  TimerService& clock_;
  std::unique_ptr<RoutingPolicy> policy_;
  std::int64_t spent_ns_ = 0;
};

}  // namespace rushhill::core
