#include "routing/slow_start.h"

#include "routing/rendezvous_hash.h"

namespace rushhill::routing {
namespace {

// Tokens are issued at this share of the budget. The rest is left for saved tokens that are spent later.
constexpr double token_share = 0.75;
// Requests within the span. For a smaller budget, the rule allows a deviation of three times its square root,
// not twice.
constexpr double small_budget = 30;
// Tokens, summed over all routers. It is needed because only whole tokens lapse.
constexpr double unspent_margin = 1;
// Difference of the initial token levels of successive routers. The golden ratio spreads them most evenly.
constexpr double level_step = 0.6180339887498949;
// Warm endpoints that report idle cores are assumed to be able to serve up to this many times their
// throughput.
constexpr double max_idle_factor = 2;

}  // namespace

SlowStart::SlowStart(const SlowStartLimits& limits)
    : limits_(limits), budget_span_(std::max(limits.budget_span, Duration{1})),
      routers_(std::max(1, limits.routers)) {}

SlowStartTokens SlowStart::initial_tokens(const EndpointId& endpoint) const {
  const double initial_level =
      limits_.router_number * level_step + rendezvous_hash({.key = endpoint, .endpoint = ""});
  return SlowStartTokens(std::fmod(initial_level, 1.0));
}

bool SlowStart::admits_request(Duration age, double weight, const SlowStartTokens& tokens,
                               const ObservedLoad& load) const {
  if (tokens.level() >= 1) return true;
  const double remaining_share = 1 - age / budget_span_;
  if (remaining_share <= 0) return false;
  return tokens.level() + remaining_share * router_tokens_in_span(age, weight, load) >= 1;
}

// Unspent tokens lapse above a maximum. At this maximum, the unspent tokens of all routers fill the part of
// the budget that is not issued as tokens and the deviation that the rule allows, less a margin.
void SlowStart::refill(const WarmUpProgress& progress, double weight, const ObservedLoad& load,
                       SlowStartTokens& tokens) const {
  const double router_tokens = router_tokens_in_span(progress.age, weight, load);
  const double budget =
      router_tokens * routers_ / token_share;  // if every router has the same load as this one
  const double max_unspent = (max_in_span(budget) - token_share * budget - unspent_margin) / routers_;
  tokens.add(router_tokens * FractionalDuration{progress.elapsed} / budget_span_);
  tokens.limit(max_unspent);
}

// Returns how many tokens this router issues for the endpoint within the span. The endpoint's capacity is
// estimated from this router's successful requests per unit of weight at warm endpoints. The estimate is low,
// because warm endpoints may have capacity to spare. The tokens of all routers add up to their share of the
// endpoint's budget.
double SlowStart::router_tokens_in_span(Duration age, double weight, const ObservedLoad& load) const {
  const FractionalDuration age_after_span = std::max(FractionalDuration::zero(), age - budget_span_);
  const double capacity_gain = (1 - limits_.initial_capacity) * age_after_span / limits_.warm_up_span;
  const double capacity = limits_.initial_capacity + capacity_gain;
  const double idle_factor =
      load.utilization > 0 ? std::clamp(1 / load.utilization, 1.0, max_idle_factor) : 1;
  // Before any success is observed, the endpoint is assumed to serve one request at a time for all routers.
  const double min_rate = 1.0 / (routers_ * std::max(load.response_time.count(), 1.0));
  const double rate = std::max(load.throughput * idle_factor * weight, min_rate);
  return token_share * limits_.budget_multiple * capacity * rate * budget_span_.count();
}

// Returns how many requests all routers together may send within the span for a budget of N, as estimated by
// one of them: N + 2 * sqrt(N) + 2. For an N below `small_budget` it is N + 3 * sqrt(N) + 3, but at most the
// tangent of the former at `small_budget`. The function is therefore concave, so that routers with uneven
// estimates together allow no more than the rule does at the mean of their estimates.
double SlowStart::max_in_span(double budget) {
  if (budget >= small_budget) return budget + 2 * std::sqrt(budget) + 2;
  const double root = std::sqrt(small_budget);
  const double tangent = small_budget + 2 * root + 2 - (small_budget - budget) * (1 + 1 / root);
  return std::min(budget + 3 * std::sqrt(budget) + 3, tangent);
}

}  // namespace rushhill::routing
