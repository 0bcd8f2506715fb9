// Slow start. Limits how many requests this router may send to an endpoint that is warming up (rule 4;
// docs/design.md, "Cold servers"; measurements are in docs/cold-ramp.md).
//
// The rule bounds the sum of the requests that all routers send to a warming endpoint within a span. The
// routers exchange no messages about it. Each fills a token bucket per endpoint with its share of the budget,
// and sends a request for each whole token. This share is often far below one request per span. The initial
// levels of the buckets are therefore spread evenly over the routers by their numbers, so that the sum varies
// little.
#pragma once

#include <algorithm>
#include <cmath>

#include "routing/types.h"

namespace rushhill::routing {

// The limits on the requests of all routers to a warming endpoint.
struct SlowStartLimits {
  double budget_multiple = 1;  // of the endpoint's capacity within the span
  Duration budget_span{};
  double initial_capacity = 1;  // share of its full capacity that an endpoint has at its start
  Duration warm_up_span{};      // time until its capacity is full
  int routers = 1;
  int router_number = 0;
};

// The load that this router has observed at warm endpoints.
struct ObservedLoad {
  FractionalDuration response_time{};  // of a successful request
  double utilization = 0;              // of their cores; 0 if not reported
  double throughput = 0;               // successes per unit of weight and tenth of a millisecond
};

// The tokens that this router holds for one endpoint. Requests to a warm endpoint cost none, so only the
// fraction of the level is kept for it.
class SlowStartTokens {
 public:
  SlowStartTokens() = default;
  explicit SlowStartTokens(double level) : level_(level) {}

  double level() const { return level_; }
  void take(double tokens) { level_ -= tokens; }
  void add(double tokens) { level_ += tokens; }
  // Discards whole tokens above the maximum level.
  void limit(double max_level) { level_ -= std::floor(std::max(level_ - max_level, 0.0)); }
  void keep_fraction() { level_ -= std::floor(level_); }
  // Whether a prewarm order may be sent. It costs a token like a request but need not wait for a whole one.
  bool allows_order() const { return level_ >= tokens_for_order; }

 private:
  static constexpr double tokens_for_order = 0.2;

  double level_ = 0;
};

// When an endpoint's process started, from two sources.
struct StartTimes {
  Timestamp started{};    // as in the endpoint list
  Timestamp restarted{};  // the last time it was found dead, which may be later
};

// How far the warm-up of an endpoint has progressed.
struct WarmUpProgress {
  Duration age{};      // time since its start
  Duration elapsed{};  // time since its tokens were last refilled
};

// The rule for how a warming endpoint's tokens are refilled and what they allow.
class SlowStart {
 public:
  explicit SlowStart(const SlowStartLimits& limits);

  // The tokens for an endpoint that this router has just been notified of.
  SlowStartTokens initial_tokens(const EndpointId& endpoint) const;

  // Returns since when the endpoint has been warming up; the default value if it is warm.
  Timestamp warming_since(Timestamp now, const StartTimes& start_times) const {
    const Timestamp since = later_of(start_times.started, start_times.restarted);
    return now - since < limits_.warm_up_span ? since : Timestamp{};
  }

  // Whether this router may send one more request to an endpoint that started `age` ago. The tokens of the
  // first span may be spent in advance; refills then pay them back.
  bool admits_request(Duration age, double weight, const SlowStartTokens& tokens,
                      const ObservedLoad& load) const;

  // Adds the tokens for the time since the last refill.
  void refill(const WarmUpProgress& progress, double weight, const ObservedLoad& load,
              SlowStartTokens& tokens) const;

  // The tokens that a request costs: one, or more if its class takes longer than the mean.
  static double cost_of_request(FractionalDuration class_response_time, const ObservedLoad& load) {
    return std::max(1.0, class_response_time / std::max(load.response_time, FractionalDuration{1}));
  }

 private:
  double router_tokens_in_span(Duration age, double weight, const ObservedLoad& load) const;
  static double max_in_span(double budget);

  SlowStartLimits limits_;
  FractionalDuration budget_span_;
  int routers_;
};

}  // namespace rushhill::routing
