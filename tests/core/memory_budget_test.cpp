// Guards against buffers that grow beyond the memory limit, and against a crowd that leaves the others
// nothing.
#include "core/memory_budget.h"

#include <gtest/gtest.h>

#include <memory>
#include <utility>
#include <vector>

#include "core/memory_budgets.h"

namespace rushhill::core {
namespace {

constexpr std::size_t limit = 1'000;

TEST(MemoryBudgetTest, CountsWhatIsChargedAndReleasesIt) {
  MemoryBudget budget(limit);
  {
    MemoryCharge charge(&budget, 300);
    charge.resize(200);
    EXPECT_EQ(budget.used_bytes(), 200U);
    const MemoryCharge moved = std::move(charge);
    EXPECT_EQ(budget.used_bytes(), 200U);
    EXPECT_EQ(moved.bytes(), 200U);
  }
  EXPECT_EQ(budget.used_bytes(), 0U);
}

// A connection is destroyed after the router that it belonged to.
TEST(MemoryBudgetTest, AChargeMayOutliveItsBudget) {
  auto budget = std::make_unique<MemoryBudget>(limit);
  MemoryCharge charge(budget.get(), 300);
  budget.reset();
  charge.resize(0);
  EXPECT_EQ(charge.bytes(), 0U);
}

TEST(MemoryBudgetTest, AHolderMayHoldAsMuchAsIsStillFree) {
  MemoryBudget budget(limit);
  MemoryCharge held(&budget);
  while (budget.admits(held.bytes(), 10)) held.resize(held.bytes() + 10);
  EXPECT_EQ(held.bytes(), limit / 2);
}

TEST(MemoryBudgetTest, AGreedyCrowdNeverReachesTheLimitAndLeavesANewcomerAsMuchAsEachOfThem) {
  MemoryBudget budget(limit);
  constexpr int holders = 9;
  std::vector<MemoryCharge> crowd;
  for (int i = 0; i < holders; ++i) crowd.emplace_back(&budget);
  for (bool grew = true; grew;) {
    grew = false;
    for (MemoryCharge& held : crowd) {
      if (!budget.admits(held.bytes(), 1)) continue;
      held.resize(held.bytes() + 1);
      grew = true;
    }
  }
  EXPECT_EQ(budget.used_bytes(), limit * holders / (holders + 1));
  EXPECT_TRUE(budget.admits(0, limit / (holders + 1)));
}

TEST(MemoryBudgetTest, WithoutALimitEverythingIsAdmitted) {
  const MemoryBudgets budgets(0);
  EXPECT_TRUE(budgets.requests.admits(1'000'000'000, 1'000'000'000));
  const MemoryBudgets limited(32 * 1024 * 1024);
  EXPECT_EQ(limited.requests.limit_bytes() + limited.upstream.limit_bytes() + limited.answers.limit_bytes(),
            16U * 1024 * 1024);
}

}  // namespace
}  // namespace rushhill::core
