// Calls put off, and their owner's end.
#include "core/deferred_calls.h"

#include <gtest/gtest.h>

#include <optional>

#include "core/manual_clock.h"

namespace rushhill::core {
namespace {

TEST(DeferredCalls, RunOnceThePresentCallHasReturnedOrAtTheirMoment) {
  HandClock clock;
  DeferredCalls deferred(clock);
  int soon = 0;
  int later = 0;
  deferred.run_soon([&] { ++soon; });
  deferred.run_at(clock.timestamp() + Duration{50}, [&] { ++later; });
  EXPECT_EQ(soon, 0);
  clock.settle();
  EXPECT_EQ(soon, 1);
  clock.pass(49);
  EXPECT_EQ(later, 0);
  clock.pass(1);
  EXPECT_EQ(later, 1);
}

TEST(DeferredCalls, AreVoidWhenTheirOwnerIsGone) {
  HandClock clock;
  std::optional<DeferredCalls> deferred(clock);
  int calls = 0;
  deferred->run_soon([&] { ++calls; });
  deferred->run_at(clock.timestamp() + Duration{50}, [&] { ++calls; });
  deferred.reset();
  clock.pass(100);
  EXPECT_EQ(calls, 0);
}

}  // namespace
}  // namespace rushhill::core
