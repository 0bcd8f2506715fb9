#include "routing/load_budget.h"

#include <gtest/gtest.h>

#include "routing/duration.h"

namespace rushhill::routing {
namespace {

constexpr Time window = 16 * one_second;

LoadBudgetLimits limits() {
  return {.orders_permitted = true, .window = window, .free_orders = 2, .orders_per_request = 0.5};
}

// Sends and ends as many orders as the budget allows at the moment.
int spend_all(LoadBudget& budget, Time now) {
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
  EXPECT_FALSE(LoadBudget(without).allows_order(one_second));
}

TEST(LoadBudget, IsTheFreeOrdersAndAPartOfTheRequests) {
  LoadBudget budget(limits());
  for (int i = 0; i < 6; ++i) budget.request_taken(one_second);
  EXPECT_EQ(spend_all(budget, one_second), 2 + 3);
}

TEST(LoadBudget, OrderCountsForNoLessThanTheWindow) {
  LoadBudget budget(limits());
  const Time sent_at = 5 * one_second + 1;
  EXPECT_EQ(spend_all(budget, sent_at), 2);
  EXPECT_EQ(spend_all(budget, sent_at + window), 0);
  EXPECT_EQ(spend_all(budget, sent_at + window + 2 * one_second), 2);
}

TEST(LoadBudget, RequestCountsForNoMoreThanTheWindow) {
  LoadBudget budget(limits());
  const Time taken_at = 5 * one_second + 1;
  for (int i = 0; i < 4; ++i) budget.request_taken(taken_at);
  EXPECT_EQ(spend_all(budget, taken_at + window), 2);
}

TEST(LoadBudget, PendingOrdersAreCappedWithoutAWindowToo) {
  LoadBudgetLimits unlimited = limits();
  unlimited.window = 0;
  LoadBudget budget(unlimited);
  int sent = 0;
  for (; budget.allows_order(one_second); ++sent) budget.order_sent(one_second);
  EXPECT_EQ(sent, 4);
  budget.order_ended();
  EXPECT_TRUE(budget.allows_order(one_second));
}

TEST(LoadBudget, EndOfAnOrderOfAnEarlierLifeFreesNoPlace) {
  LoadBudget budget(limits());
  budget.order_ended();
  EXPECT_EQ(spend_all(budget, one_second), 2);
}

TEST(LoadBudget, WaitsForOrdersOfEarlierLivesAndCountsThem) {
  LoadBudgetLimits restarted = limits();
  restarted.earlier_orders_follow = true;
  LoadBudget budget(restarted);
  EXPECT_FALSE(budget.allows_order(one_second));
  budget.earlier_orders_known(one_second, 1);
  EXPECT_EQ(spend_all(budget, one_second), 1);
}

}  // namespace
}  // namespace rushhill::routing
