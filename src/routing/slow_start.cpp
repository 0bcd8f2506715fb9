#include "routing/slow_start.h"

#include "routing/rendezvous_hash.h"

namespace rushhill::routing {
namespace {

constexpr double share_as_tokens = 0.75;  // of the budget; the rest may stand as unspent tokens
constexpr double small_budget = 30;  // requests a span; below, the rule leaves three roots to chance, not two
constexpr double unspent_margin = 1;  // tokens over all routers; only whole ones lapse
constexpr double phase_step =
    0.6180339887498949;                 // tokens from router to router: the golden ratio, most even
constexpr double most_idle_factor = 2;  // times what warm endpoints bear, where they report idle cores

}  // namespace

SlowStart::SlowStart(const SlowStartLimits& limits)
    : limits_(limits), budget_span_(std::max(limits.budget_span, Duration{1})),
      routers_(std::max(1, limits.routers)) {}

SlowStartTokens SlowStart::first_tokens(const EndpointId& endpoint) const {
  const double phase =
      limits_.router_number * phase_step + rendezvous_hash({.key = endpoint, .endpoint = ""});
  return SlowStartTokens(std::fmod(phase, 1.0));
}

bool SlowStart::admits_request(Duration age, double weight, const SlowStartTokens& tokens,
                               const ObservedLoad& load) const {
  if (tokens.level() >= 1) return true;
  const double ahead = 1 - age / budget_span_;
  if (ahead <= 0) return false;
  return tokens.level() + ahead * part_of_budget(age, weight, load) >= 1;
}

// Tokens lapse unspent after so long that all routers' unspent ones fill the rest of the budget and what the
// rule leaves to chance, less a margin.
void SlowStart::refill(const WarmUpProgress& progress, double weight, const ObservedLoad& load,
                       SlowStartTokens& tokens) const {
  const double part = part_of_budget(progress.age, weight, load);
  const double budget = part * routers_ / share_as_tokens;  // if all routers are like this one
  const double most_unspent = (most_in_span(budget) - share_as_tokens * budget - unspent_margin) / routers_;
  tokens.add(part * FractionalDuration{progress.elapsed} / budget_span_);
  tokens.limit(most_unspent);
}

// What this router may send within the span. The endpoint's capacity is guessed low, from an even share of
// this router's own successful requests: all routers' parts add up to what it bears.
double SlowStart::part_of_budget(Duration age, double weight, const ObservedLoad& load) const {
  const FractionalDuration beyond_span = std::max(FractionalDuration::zero(), age - budget_span_);
  const double gained = (1 - limits_.initial_capacity) * beyond_span / limits_.warm_up_span;
  const double capacity = limits_.initial_capacity + gained;
  const double idle = load.utilization > 0 ? std::clamp(1 / load.utilization, 1.0, most_idle_factor) : 1;
  // Before anything is seen: one request at a time for all routers.
  const double least = 1.0 / (routers_ * std::max(load.response_time.count(), 1.0));
  const double rate = std::max(load.successes * idle * weight, least);
  return share_as_tokens * limits_.budget_multiple * capacity * rate * budget_span_.count();
}

// What all routers may send within the span by a budget of N, as one of them guesses it: N + 2 x root of N +
// 2; for a small N, N + 3 x root of N + 3, but no more than the tangent of the former at the small budget's
// end. So it is concave: routers with uneven guesses allow together no more than the rule does at their mean.
double SlowStart::most_in_span(double budget) {
  if (budget >= small_budget) return budget + 2 * std::sqrt(budget) + 2;
  const double root = std::sqrt(small_budget);
  const double tangent = small_budget + 2 * root + 2 - (small_budget - budget) * (1 + 1 / root);
  return std::min(budget + 3 * std::sqrt(budget) + 3, tangent);
}

}  // namespace rushhill::routing
