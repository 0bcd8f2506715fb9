// Slow start: how many requests this router may send to an endpoint that warms up (rule 4; docs/design.md,
// "Cold servers"; measured in docs/cold-ramp.md).
//
// The rule bounds the sum of what all routers send to a warming endpoint within a span. Routers exchange no
// message about it: each fills a token bucket per endpoint at its part of the budget, and sends a request for
// a whole token. The parts are often far below one request a span; the buckets' first levels are therefore
// spread evenly over the routers by their numbers, so that the sum has little noise.
#pragma once

#include <algorithm>
#include <cmath>

#include "routing/types.h"

namespace rushhill::routing {

struct SlowStartLimits {
  double budget_multiple = 1;  // of what the endpoint can bear within the span
  Time budget_span = 0;
  double initial_capacity = 1;  // share of its capacity that an endpoint has as it starts
  Time warm_up_span = 0;        // its capacity is full after that
  int routers = 1;
  int router_number = 0;
};

// What this router has seen of endpoints that are warm.
struct ObservedLoad {
  double response_time = 0;  // of a successful request, in units of Time
  double utilization = 0;    // of their cores, as reported; 0: not reported
  double successes = 0;      // requests per unit of weight and of Time
};

// The tokens that this router holds at one endpoint. A warm endpoint costs none, so that only the level's
// phase, its fraction, is kept there.
class SlowStartTokens {
 public:
  SlowStartTokens() = default;
  explicit SlowStartTokens(double level) : level_(level) {}

  double level() const { return level_; }
  void take(double tokens) { level_ -= tokens; }
  void add(double tokens) { level_ += tokens; }
  // Whole tokens beyond `most` lapse.
  void limit(double most) { level_ -= std::floor(std::max(level_ - most, 0.0)); }
  void keep_phase() { level_ -= std::floor(level_); }
  // A prewarm order weighs as a request, but need not wait for a whole token.
  bool allow_order() const { return level_ >= tokens_for_order; }

 private:
  static constexpr double tokens_for_order = 0.2;

  double level_ = 0;
};

class SlowStart {
 public:
  explicit SlowStart(const SlowStartLimits& limits);

  // The tokens of an endpoint that this router has just been told of.
  SlowStartTokens first_tokens(const EndpointId& endpoint) const;

  // Since when the endpoint has been warming up; 0 where it is warm. `started` is what the endpoint list
  // says, `restarted` the last sign that its process died, which may be newer.
  Time warming_since(Time now, Time started, Time restarted) const {
    const Time since = std::max(started, restarted);
    return now - since < limits_.warm_up_span ? since : 0;
  }

  // Whether an endpoint warming since then can bear one more request from this router. The first span's
  // tokens may be spent ahead; what comes in then pays them off first.
  bool admits_request(Time now, Time since, double weight, const SlowStartTokens& tokens,
                      const ObservedLoad& load) const;

  // Adds what has come in over `elapsed`.
  void refill(Time now, Time since, Time elapsed, double weight, const ObservedLoad& load,
              SlowStartTokens& tokens) const;

  // The tokens for a request: requests of a class that take longer than the mean cost more.
  static double cost_of_request(double class_response_time, const ObservedLoad& load) {
    return std::max(1.0, class_response_time / std::max(load.response_time, 1.0));
  }

 private:
  double part_of_budget(Time now, Time since, double weight, const ObservedLoad& load) const;
  static double most_in_span(double budget);

  SlowStartLimits limits_;
  double budget_span_;
  int routers_;
};

}  // namespace rushhill::routing
