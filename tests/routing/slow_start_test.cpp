#include "routing/slow_start.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace rushhill::routing {
namespace {

constexpr Timestamp started{1'000 * one_second};
constexpr Duration maintenance_period = one_second / 10;

SlowStartLimits limits() {
  return {.budget_multiple = 2,
          .budget_span = one_second,
          .initial_capacity = 0.2,
          .warm_up_span = 10 * one_second,
          .routers = 10};
}

// The load of a router that completes this many requests per second at each warm endpoint.
ObservedLoad load_with(double requests_per_s) {
  return {.response_time = FractionalDuration{200},
          .utilization = 0,
          .throughput = requests_per_s / static_cast<double>(one_second.count())};
}

// Returns how many requests are sent within the span after the endpoint's start if each is sent as soon as it
// is admitted.
int sent_within(const SlowStart& slow_start, Duration span, const ObservedLoad& load) {
  SlowStartTokens tokens = slow_start.initial_tokens("box-1");
  int sent = 0;
  for (Timestamp now = started; now < started + span; now += maintenance_period) {
    if (now > started)
      slow_start.refill({.age = now - started, .elapsed = maintenance_period}, 1, load, tokens);
    while (slow_start.admits_request(now - started, 1, tokens, load)) {
      tokens.take(SlowStart::cost_of_request(load.response_time, load));
      ++sent;
    }
  }
  return sent;
}

TEST(SlowStart, EndpointWarmsUpForTheConfiguredSpanAfterItsLatestStart) {
  const SlowStart slow_start(limits());
  EXPECT_EQ(slow_start.warming_since(started + Duration{1}, {.started = started}), started);
  EXPECT_EQ(slow_start.warming_since(started + 10 * one_second, {.started = started}), Timestamp{});
  const Timestamp died = started + 20 * one_second;
  EXPECT_EQ(slow_start.warming_since(died + Duration{1}, {.started = started, .restarted = died}), died);
}

TEST(SlowStart, InitialTokensAreSpreadEvenlyOverTheRouters) {
  constexpr int routers = 100;
  std::vector<double> levels;
  for (int number = 0; number < routers; ++number) {
    SlowStartLimits own = limits();
    own.router_number = number;
    levels.push_back(SlowStart(own).initial_tokens("box-1").level());
  }
  std::sort(levels.begin(), levels.end());
  for (int i = 0; i < routers; ++i) {
    EXPECT_NEAR(levels[static_cast<std::size_t>(i)], (i + 0.5) / routers, 0.02);
  }
}

TEST(SlowStart, SumOverTheRoutersInTheFirstSpanStaysWithinTheRule) {
  const ObservedLoad load = load_with(5);
  int sum = 0;
  for (int number = 0; number < limits().routers; ++number) {
    SlowStartLimits own = limits();
    own.router_number = number;
    sum += sent_within(SlowStart(own), own.budget_span, load);
  }
  const double budget = limits().budget_multiple * limits().initial_capacity * 5 * limits().routers;
  EXPECT_GT(sum, budget / 2);
  EXPECT_LE(sum, budget + 3 * std::sqrt(budget) + 3);
}

TEST(SlowStart, MoreIsSentAsTheEndpointWarmsUp) {
  const SlowStart slow_start(limits());
  const ObservedLoad load = load_with(50);
  const int first_half = sent_within(slow_start, 5 * one_second, load);
  const int all = sent_within(slow_start, 10 * one_second, load);
  EXPECT_GT(all - first_half, first_half);
}

TEST(SlowStart, ReportedIdleCoresAllowUpToTwiceTheRequests) {
  const SlowStart slow_start(limits());
  ObservedLoad load = load_with(100);
  const double unreported = sent_within(slow_start, 10 * one_second, load);
  load.utilization = 0.1;
  const double idle = sent_within(slow_start, 10 * one_second, load);
  EXPECT_NEAR(idle / unreported, 2, 0.1);
}

TEST(SlowStart, UnspentTokensLapse) {
  const SlowStart slow_start(limits());
  const ObservedLoad load = load_with(100);
  SlowStartTokens tokens;
  double highest = 0;
  for (Timestamp now = started; now < started + 10 * one_second; now += maintenance_period) {
    slow_start.refill({.age = now - started, .elapsed = maintenance_period}, 1, load, tokens);
    highest = std::max(highest, tokens.level());
  }
  const double budget_at_the_end = limits().budget_multiple * 100;
  EXPECT_LT(highest, budget_at_the_end);
}

TEST(SlowStart, LongRequestsCostMoreTokensAndShortOnesCostOne) {
  const ObservedLoad load = load_with(1);
  EXPECT_EQ(SlowStart::cost_of_request(load.response_time / 4, load), 1);
  EXPECT_EQ(SlowStart::cost_of_request(load.response_time * 3, load), 3);
}

TEST(SlowStartTokens, DiscardOnlyWholeTokensAndKeepTheFraction) {
  SlowStartTokens tokens(3.25);
  tokens.limit(1.5);
  EXPECT_DOUBLE_EQ(tokens.level(), 2.25);
  tokens.keep_fraction();
  EXPECT_DOUBLE_EQ(tokens.level(), 0.25);
  tokens.take(1);
  EXPECT_FALSE(tokens.allows_order());
  tokens.keep_fraction();
  EXPECT_DOUBLE_EQ(tokens.level(), 0.25);
  EXPECT_TRUE(tokens.allows_order());
}

}  // namespace
}  // namespace rushhill::routing
