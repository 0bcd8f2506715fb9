// Guards against deferred calls that run too early or after their owner has been destroyed.
#include "core/deferred_calls.h"

#include <gtest/gtest.h>

#include <optional>

#include "core/manual_clock.h"

namespace rushhill::core {
namespace {

TEST(DeferredCalls, RunAfterTheCurrentCallOrAtTheGivenTime) {
  ManualClock clock;
  DeferredCalls deferred(clock);
  int soon = 0;
  int later = 0;
  deferred.run_soon([&] { ++soon; });
  deferred.run_at(clock.timestamp() + Duration{50}, [&] { ++later; });
  EXPECT_EQ(soon, 0);
  clock.run_posted_calls();
  EXPECT_EQ(soon, 1);
  clock.advance(49);
  EXPECT_EQ(later, 0);
  clock.advance(1);
  EXPECT_EQ(later, 1);
}

TEST(DeferredCalls, DoNotRunAfterTheyAreDestroyed) {
  ManualClock clock;
  std::optional<DeferredCalls> deferred(clock);
  int calls = 0;
  deferred->run_soon([&] { ++calls; });
  deferred->run_at(clock.timestamp() + Duration{50}, [&] { ++calls; });
  deferred.reset();
  clock.advance(100);
  EXPECT_EQ(calls, 0);
}

}  // namespace
}  // namespace rushhill::core
