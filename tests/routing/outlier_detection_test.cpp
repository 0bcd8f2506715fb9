#include "routing/outlier_detection.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp start{100 * one_second};

// One endpoint in a fleet of ten.
class OutlierDetectionTest : public ::testing::Test {
 protected:
  OutlierDetectionTest() { detection.observe_fleet({.serving = 10}); }

  OutlierChange judge(bool bad) { return detection.record_attempt(now, bad, state, history); }
  OutlierChange advance() { return detection.advance(now, state, history); }
  void eject() {
    while (!state.ejected()) judge(true);
  }

  ObservationWindow observation;
  OutlierDetection detection{observation};
  OutlierState state;
  AttemptHistory history;
  Timestamp now = start;
};

TEST_F(OutlierDetectionTest, EjectsAnEndpointWhoseBadShareFarExceedsTheMedian) {
  // After n bad attempts the share is n / (n + 3), since the fleet's median of 0 counts as three samples. It
  // exceeds one half from the fourth attempt on.
  for (int i = 0; i < 3; ++i) EXPECT_EQ(judge(true), OutlierChange::none);
  EXPECT_EQ(judge(true), OutlierChange::ejected);
  EXPECT_TRUE(state.ejected());
}

TEST_F(OutlierDetectionTest, EjectsNothingIfTheWholeFleetFails) {
  detection.observe_fleet({.serving = 10, .median_bad_share = 0.6});
  for (int i = 0; i < 50; ++i) EXPECT_EQ(judge(true), OutlierChange::none);
}

TEST_F(OutlierDetectionTest, EjectsNoMoreThanHalfOfTheFleet) {
  detection.observe_fleet({.serving = 10, .ejected = 5});
  for (int i = 0; i < 50; ++i) EXPECT_EQ(judge(true), OutlierChange::none);
}

TEST_F(OutlierDetectionTest, RecoveryRampDoublesTheShareAndReadmits) {
  eject();
  EXPECT_EQ(state.attempt_share(), 0);
  EXPECT_EQ(advance(), OutlierChange::none);
  EXPECT_EQ(state.attempt_share(), 0) << "the first pause lasts one second";
  for (const double share : {1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2, 1.0}) {
    now += one_second;
    judge(false);
    EXPECT_EQ(advance(), OutlierChange::none);
    EXPECT_EQ(state.attempt_share(), share);
  }
  now += one_second;
  EXPECT_EQ(advance(), OutlierChange::readmitted);
  EXPECT_FALSE(state.ejected());
  EXPECT_EQ(history.all(now).judged, 0);
}

TEST_F(OutlierDetectionTest, FailedRampPeriodStartsAPauseTwiceAsLong) {
  eject();
  now += one_second;
  advance();
  judge(true);
  now += one_second;
  EXPECT_EQ(advance(), OutlierChange::none);
  EXPECT_EQ(state.attempt_share(), 0);
  now += one_second;
  advance();
  EXPECT_EQ(state.attempt_share(), 0) << "the second pause lasts two seconds";
  now += one_second;
  advance();
  EXPECT_EQ(state.attempt_share(), 1.0 / 16);
}

TEST_F(OutlierDetectionTest, RestartReadmitsTheEndpoint) {
  eject();
  state.endpoint_restarted();
  EXPECT_FALSE(state.ejected());
}

}  // namespace
}  // namespace rushhill::routing
