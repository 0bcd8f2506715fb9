// Runs the routing policy and measures the time that it takes.
#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include "core/timer_service.h"
#include "routing/routing_policy.h"

namespace rushhill::core {

// Owns the policy. Every call to the policy is made through run().
class PolicyRunner {
 public:
  PolicyRunner(std::unique_ptr<RoutingPolicy> policy, TimerService& clock)
      : clock_(clock), policy_(std::move(policy)) {}

  // Runs `call(RoutingPolicy&, Timestamp now)`. Calls must not nest: the results of what the policy requests
  // during a call must be reported to it after the call has returned.
  template <typename Call>
  void run(Call call) {
    const std::int64_t began_ns = clock_.nanoseconds();
    call(*policy_, to_timestamp(clock_.now()));
    spent_ns_ += clock_.nanoseconds() - began_ns;
  }

  // Time spent within the policy, in nanoseconds, or 0 if the TimerService does not measure it.
  std::int64_t spent_ns() const { return spent_ns_; }

 private:
  TimerService& clock_;
  std::unique_ptr<RoutingPolicy> policy_;
  std::int64_t spent_ns_ = 0;
};

}  // namespace rushhill::core
