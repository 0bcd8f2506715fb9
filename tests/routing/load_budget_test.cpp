#include "routing/load_budget.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Duration window = 16 * one_second;
constexpr Timestamp start{one_second};

LoadBudgetLimits limits() {
  return {.orders_permitted = true, .window = window, .free_orders = 2, .orders_per_request = 0.5};
}

// Sends and ends as many orders as the budget allows at that time. Returns their number.
int spend_all(LoadBudget& budget, Timestamp now) {
  int sent = 0;
  while (budget.allows_order(now) && sent < 1'000) {
    budget.order_sent(now);
    budget.order_ended();
    ++sent;
  }
  return sent;
}

TEST(LoadBudget, AllowsNothingWhereOrdersAreNotPermitted) {
  LoadBudgetLimits without = limits();
  without.orders_permitted = false;
  EXPECT_FALSE(LoadBudget(without).allows_order(start));
}

TEST(LoadBudget, AllowsTheFreeOrdersAndMoreForEachRequest) {
  LoadBudget budget(limits());
  for (int i = 0; i < 6; ++i) budget.count_request(start);
  EXPECT_EQ(spend_all(budget, start), 2 + 3);
}

TEST(LoadBudget, OrderCountsForAtLeastTheWindow) {
  LoadBudget budget(limits());
  const Timestamp sent_at{5 * one_second + Duration{1}};
  EXPECT_EQ(spend_all(budget, sent_at), 2);
  EXPECT_EQ(spend_all(budget, sent_at + window), 0);
  EXPECT_EQ(spend_all(budget, sent_at + window + 2 * one_second), 2);
}

TEST(LoadBudget, RequestCountsForAtMostTheWindow) {
  LoadBudget budget(limits());
  const Timestamp received_at{5 * one_second + Duration{1}};
  for (int i = 0; i < 4; ++i) budget.count_request(received_at);
  EXPECT_EQ(spend_all(budget, received_at + window), 2);
}

TEST(LoadBudget, LimitsPendingOrdersEvenWithoutAWindow) {
  LoadBudgetLimits unlimited = limits();
  unlimited.window = Duration::zero();
  LoadBudget budget(unlimited);
  int sent = 0;
  for (; budget.allows_order(start); ++sent) budget.order_sent(start);
  EXPECT_EQ(sent, 4);
  budget.order_ended();
  EXPECT_TRUE(budget.allows_order(start));
}

TEST(LoadBudget, EndOfAnOrderFromBeforeTheRestartAllowsNoMoreOrders) {
  LoadBudget budget(limits());
  budget.order_ended();
  EXPECT_EQ(spend_all(budget, start), 2);
}

TEST(LoadBudget, WaitsForTheOrdersFromBeforeTheRestartAndCountsThem) {
  LoadBudgetLimits restarted = limits();
  restarted.earlier_orders_expected = true;
  LoadBudget budget(restarted);
  EXPECT_FALSE(budget.allows_order(start));
  budget.add_earlier_orders(start, 1);
  EXPECT_EQ(spend_all(budget, start), 1);
}

}  // namespace
}  // namespace rushhill::routing
