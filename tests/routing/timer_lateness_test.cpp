#include "routing/timer_lateness.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp start{100 * one_second};

TEST(TimerLatenessTest, IsTheSecondLongestOfTheLastFewSeconds) {
  TimerLateness lateness;
  lateness.record(start, Duration{700});
  EXPECT_EQ(lateness.repeated(start), Duration::zero()) << "one late timer foretells nothing";
  lateness.record(start + one_second, Duration{300});
  lateness.record(start + one_second, Duration{200});
  EXPECT_EQ(lateness.repeated(start + one_second), Duration{300});
  EXPECT_EQ(lateness.repeated(start + 5 * one_second), Duration{200});
  EXPECT_EQ(lateness.repeated(start + 60 * one_second), Duration::zero());
}

TEST(TimerLatenessTest, TimersThatFireEarlyAreNotLate) {
  TimerLateness lateness;
  lateness.record(start, Duration{-200});
  lateness.record(start, Duration{-200});
  EXPECT_EQ(lateness.repeated(start), Duration::zero());
}

}  // namespace
}  // namespace rushhill::routing
