// The store gets slower with its load and refuses fetches above its limit and where a fault says so.
#include "simulation/model_store.h"

#include <gtest/gtest.h>

namespace rushhill::simulation {
namespace {

constexpr Time usual = 1'000;

TEST(ModelStoreTest, CrowdedStoreIsSlowerAndRefusesAboveItsLimit) {
  ModelStore store({.concurrent_fetches = 1, .max_fetches = 2});
  const auto first = store.begin_fetch(usual);
  const auto second = store.begin_fetch(usual);
  ASSERT_TRUE(first && second);
  EXPECT_GT(*second, *first);
  EXPECT_FALSE(store.begin_fetch(usual));
  store.end_fetch();
  EXPECT_TRUE(store.begin_fetch(usual));
  EXPECT_EQ(store.fetch_count(), 3);
}

TEST(ModelStoreTest, FaultSlowsOrRefusesAllUntilItEnds) {
  ModelStore store({});
  store.set_fault(4, false);
  EXPECT_EQ(store.begin_fetch(usual), 4 * usual);
  store.set_fault(1, true);
  EXPECT_FALSE(store.begin_fetch(usual));
  store.set_fault(1, false);
  EXPECT_EQ(store.begin_fetch(usual), usual);
}

}  // namespace
}  // namespace rushhill::simulation
