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

// What bounds the requests of all routers to a warming endpoint.
struct SlowStartLimits {
  double budget_multiple = 1;  // of what the endpoint can bear within the span
  Duration budget_span{};
  double initial_capacity = 1;  // share of its capacity that an endpoint has as it starts
  Duration warm_up_span{};      // its capacity is full after that
  int routers = 1;
  int router_number = 0;
};

// What this router has seen of endpoints that are warm.
struct ObservedLoad {
  FractionalDuration response_time{};  // of a successful request
  double utilization = 0;              // of their cores, as reported; 0: not reported
  double successes = 0;                // requests per unit of weight and tenth of a millisecond
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

// When an endpoint's process started.
struct StartSigns {
  Timestamp started{};    // as the endpoint list says
  Timestamp restarted{};  // the last sign that its process died, which may be newer
};

// How far a warming endpoint is.
struct WarmUpProgress {
  Duration age{};      // since its start
  Duration elapsed{};  // since its tokens were refilled
};

// The rule: what a warming endpoint's tokens are refilled by, and what they allow.
class SlowStart {
 public:
  explicit SlowStart(const SlowStartLimits& limits);

  // The tokens of an endpoint that this router has just been told of.
  SlowStartTokens first_tokens(const EndpointId& endpoint) const;

  // Since when the endpoint has been warming up; default: it is warm.
  Timestamp warming_since(Timestamp now, const StartSigns& signs) const {
    const Timestamp since = later_of(signs.started, signs.restarted);
    return now - since < limits_.warm_up_span ? since : Timestamp{};
  }

  // Whether an endpoint warming for so long can bear one more request from this router. The first span's
  // tokens may be spent ahead; what comes in then pays them off first.
  bool admits_request(Duration age, double weight, const SlowStartTokens& tokens,
                      const ObservedLoad& load) const;

  // Adds what has come in since the last refill.
  void refill(const WarmUpProgress& progress, double weight, const ObservedLoad& load,
              SlowStartTokens& tokens) const;

  // The tokens for a request: requests of a class that take longer than the mean cost more.
  static double cost_of_request(FractionalDuration class_response_time, const ObservedLoad& load) {
    return std::max(1.0, class_response_time / std::max(load.response_time, FractionalDuration{1}));
  }

 private:
  double part_of_budget(Duration age, double weight, const ObservedLoad& load) const;
  static double most_in_span(double budget);

  SlowStartLimits limits_;
  FractionalDuration budget_span_;
  int routers_;
};

}  // namespace rushhill::routing
