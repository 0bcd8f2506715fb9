#include "routing/timer_lateness.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp start{100 * one_second};

TEST(TimerLatenessTest, IsTheLongestOfTheLastFewSeconds) {
  TimerLateness lateness;
  EXPECT_EQ(lateness.longest(start), Duration::zero());
  lateness.record(start, Duration{700});
  lateness.record(start + one_second, Duration{300});
  EXPECT_EQ(lateness.longest(start + one_second), Duration{700});
  EXPECT_EQ(lateness.longest(start + 5 * one_second), Duration{300});
  EXPECT_EQ(lateness.longest(start + 60 * one_second), Duration::zero());
}

TEST(TimerLatenessTest, ATimerThatFiresEarlyIsNotLate) {
  TimerLateness lateness;
  lateness.record(start, Duration{-200});
  EXPECT_EQ(lateness.longest(start), Duration::zero());
}

}  // namespace
}  // namespace rushhill::routing
