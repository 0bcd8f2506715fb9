// Checks the limit on unspent slow start tokens over a grid of budgets and router counts. Guards against
// routers that together send more within a span than the rule permits, because all of them spend their saved
// tokens at once.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace rushhill {
namespace {

// A model of the arithmetic in src/routing/slow_start.cpp. Each router estimates N, the budget, from its own
// load. Tokens are saved until all routers start to spend them at the same time; after that, each refill is
// spent at once.
struct TokenScenario {
  double n;
  int routers;
  bool skewed;  // the first router has five times the mean load
  std::uint32_t seed;
};

constexpr double small_budget = 30;
double allowed_deviation(double n) { return n < small_budget ? 3 * std::sqrt(n) + 3 : 2 * std::sqrt(n) + 2; }

// The maximum that all routers together may hold unspent and receive within a span, for one router's estimate
// of N.
using MaxInSpan = double (*)(double n);
double concave_max(double n) {
  if (n >= small_budget) return n + allowed_deviation(n);
  const double slope = 1 + 1 / std::sqrt(small_budget);
  return std::min(n + allowed_deviation(n),
                  small_budget + allowed_deviation(small_budget) - slope * (small_budget - n));
}
double concave_with_margin(double n) { return concave_max(n) - 1; }
double plain_rule(double n) { return n + allowed_deviation(n); }

// Returns the maximum number of requests beyond N in any window of the span, over the deviation that the rule
// allows.
double worst_excess(const TokenScenario& scenario, MaxInSpan max_in_span) {
  constexpr double token_share = 0.75;
  constexpr double level_step = 0.6180339887498949;  // the golden ratio
  constexpr int refills_per_span = 15;
  constexpr int refills = 120;
  std::mt19937 random(scenario.seed);
  const auto routers = static_cast<std::size_t>(scenario.routers);
  std::vector<double> loads(routers, 1 / static_cast<double>(routers));
  if (scenario.skewed) {
    const double first = std::min(0.9, 5 / static_cast<double>(routers));
    std::ranges::fill(loads, (1 - first) / static_cast<double>(routers - 1));
    loads[0] = first;
  }
  std::vector<double> tokens(routers);
  const double offset = std::uniform_real_distribution<double>(0, 1)(random);
  for (std::size_t i = 0; i < routers; ++i)
    tokens[i] = std::fmod(static_cast<double>(i) * level_step + offset, 1.0);
  const int first_spending_refill = std::uniform_int_distribution<int>(1, 60)(random);
  std::deque<int> window;
  double worst = -1;
  for (int refill = 1; refill <= refills; ++refill) {
    while (!window.empty() && window.front() <= refill - refills_per_span) window.pop_front();
    for (std::size_t i = 0; i < routers; ++i) {
      const double estimate = scenario.n * loads[i] * static_cast<double>(routers);
      const double router_tokens = token_share * scenario.n * loads[i];
      tokens[i] += router_tokens / refills_per_span;
      const double max_unspent =
          (max_in_span(estimate) - token_share * estimate) / static_cast<double>(routers);
      tokens[i] -= std::floor(std::max(tokens[i] - max_unspent, 0.0));
      const double advance =
          std::max(0.0, 1 - static_cast<double>(refill) / refills_per_span) * router_tokens;
      if (refill < first_spending_refill) continue;
      for (; tokens[i] + advance >= 1; tokens[i] -= 1) window.push_back(refill);
    }
    worst =
        std::max(worst, (static_cast<double>(window.size()) - scenario.n) / allowed_deviation(scenario.n));
  }
  return worst;
}

double worst_over_the_grid(MaxInSpan max_in_span) {
  double worst = -1;
  for (const double n : {1, 2, 3, 5, 8, 14, 20, 25, 29, 30, 31, 40, 60, 100, 150, 200}) {
    for (const int routers : {2, 3, 6, 10, 24, 60, 100, 200, 300}) {
      for (const bool skewed : {false, true}) {
        for (std::uint32_t seed = 1; seed <= 10; ++seed) {
          const TokenScenario scenario{.n = n, .routers = routers, .skewed = skewed, .seed = seed * 7'919};
          worst = std::max(worst, worst_excess(scenario, max_in_span));
        }
      }
    }
  }
  return worst;
}

TEST(SlowStartTokenGrid, UnspentTokensOfAllRoutersStayWithinTheRule) {
  EXPECT_LE(worst_over_the_grid(concave_with_margin), 1);
}

// Shows why a router must not apply the plain rule to its own estimate: a router with little load estimates
// an N below 30, where the rule allows a larger deviation, although the true N is 30 or more.
TEST(SlowStartTokenGrid, PlainRuleAppliedToEachEstimateWouldExceedTheRule) {
  EXPECT_GT(worst_over_the_grid(plain_rule), 1);
}

}  // namespace
}  // namespace rushhill
