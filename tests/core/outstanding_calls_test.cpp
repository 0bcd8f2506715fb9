// How long calls take of which only the key is told at their end.
#include "core/outstanding_calls.h"

#include <gtest/gtest.h>

#include "routing/types.h"

namespace rushhill::core {
namespace {

TEST(OutstandingCalls, TheOldestCallOfAKeyEndsFirst) {
  OutstandingCalls<EndpointId> calls;
  calls.start("a", 100);
  calls.start("a", 130);
  calls.start("b", 150);
  EXPECT_EQ(calls.end("a", 200), 100);
  EXPECT_EQ(calls.end("b", 200), 50);
  EXPECT_EQ(calls.end("a", 200), 70);
}

TEST(OutstandingCalls, AnEndWithoutACallTookNoTimeAndLeavesNothingBehind) {
  OutstandingCalls<EndpointId> calls;
  EXPECT_EQ(calls.end("a", 200), 0);
  EXPECT_EQ(calls.keys(), 0U);
  calls.start("a", 200);
  EXPECT_EQ(calls.keys(), 1U);
  EXPECT_EQ(calls.end("a", 250), 50);
  EXPECT_EQ(calls.end("a", 260), 0);
  EXPECT_EQ(calls.keys(), 0U);
}

}  // namespace
}  // namespace rushhill::core
