// The tokens of slow start over a grid of budgets and routers: what all routers together may get in a span.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace rushhill {
namespace {

// The arithmetic of src/routing/slow_start.cpp alone. Each router guesses N, the budget, from its own load;
// tokens stand unspent until all of them are asked for at once, and from then on at every refill.
struct TokenScenario {
  double n;
  int routers;
  bool skewed;  // the first router has five times the mean load
  std::uint32_t seed;
};

constexpr double small_budget = 30;
double chance_allowance(double n) { return n < small_budget ? 3 * std::sqrt(n) + 3 : 2 * std::sqrt(n) + 2; }

// The most that all routers may hold unspent and get within a span, as one of them guesses N.
using MostInSpan = double (*)(double n);
double concave_most(double n) {
  if (n >= small_budget) return n + chance_allowance(n);
  const double slope = 1 + 1 / std::sqrt(small_budget);
  return std::min(n + chance_allowance(n),
                  small_budget + chance_allowance(small_budget) - slope * (small_budget - n));
}
double concave_with_margin(double n) { return concave_most(n) - 1; }
double rule_itself(double n) { return n + chance_allowance(n); }

// The most calls beyond N in any window of the span, over what the rule leaves to chance.
double worst_excess_of(const TokenScenario& scenario, MostInSpan most) {
  constexpr double share_as_tokens = 0.75;
  constexpr double phase_step = 0.6180339887498949;  // the golden ratio
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
  const double phase = std::uniform_real_distribution<double>(0, 1)(random);
  for (std::size_t i = 0; i < routers; ++i)
    tokens[i] = std::fmod(static_cast<double>(i) * phase_step + phase, 1.0);
  const int asked_from = std::uniform_int_distribution<int>(1, 60)(random);
  std::deque<int> window;
  double worst = -1;
  for (int refill = 1; refill <= refills; ++refill) {
    while (!window.empty() && window.front() <= refill - refills_per_span) window.pop_front();
    for (std::size_t i = 0; i < routers; ++i) {
      const double guess = scenario.n * loads[i] * static_cast<double>(routers);
      const double part = share_as_tokens * scenario.n * loads[i];
      tokens[i] += part / refills_per_span;
      const double unspent = (most(guess) - share_as_tokens * guess) / static_cast<double>(routers);
      tokens[i] -= std::floor(std::max(tokens[i] - unspent, 0.0));
      const double ahead = std::max(0.0, 1 - static_cast<double>(refill) / refills_per_span) * part;
      if (refill < asked_from) continue;
      for (; tokens[i] + ahead >= 1; tokens[i] -= 1) window.push_back(refill);
    }
    worst = std::max(worst, (static_cast<double>(window.size()) - scenario.n) / chance_allowance(scenario.n));
  }
  return worst;
}

double worst_over_the_grid(MostInSpan most) {
  double worst = -1;
  for (const double n : {1, 2, 3, 5, 8, 14, 20, 25, 29, 30, 31, 40, 60, 100, 150, 200}) {
    for (const int routers : {2, 3, 6, 10, 24, 60, 100, 200, 300}) {
      for (const bool skewed : {false, true}) {
        for (std::uint32_t seed = 1; seed <= 10; ++seed) {
          const TokenScenario scenario{.n = n, .routers = routers, .skewed = skewed, .seed = seed * 7'919};
          worst = std::max(worst, worst_excess_of(scenario, most));
        }
      }
    }
  }
  return worst;
}

TEST(ColdCredit, UnspentCreditOfAllRoutersStaysWithinTheRule) {
  EXPECT_LE(worst_over_the_grid(concave_with_margin), 1);
}

// Why not the rule's own allowance: routers with little load guess an N under 30 where it is 30 and more.
TEST(ColdCredit, TheRulesOwnLeewayByEachGuessWouldBreakTheRule) {
  EXPECT_GT(worst_over_the_grid(rule_itself), 1);
}

}  // namespace
}  // namespace rushhill
