#include "routing/overload_control.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp now{100 * one_second};
constexpr Duration age = 60 * one_second;
constexpr double many_requests = 1'000;

// Returns a control with the successes that keep `in_flight` attempts in flight without load, by Little's
// law.
OverloadControl with_no_load_in_flight(double in_flight) {
  OverloadControl control;
  control.attempt_succeeded(now, in_flight * 4 * one_second);
  return control;
}

TEST(OverloadControl, LoadRatioIsOneWithoutExcessLongRunningAttempts) {
  OverloadControl control = with_no_load_in_flight(20);
  std::vector<double> long_running_counts(10, 1);  // 10 of 20 attempts, less than the no-load share of 0.6
  control.observe_in_flight(now, age, many_requests, long_running_counts);
  EXPECT_EQ(control.load_ratio(), 1);
}

TEST(OverloadControl, LoadRatioIsTheExcessOfLongRunningAttemptsOverTheNoLoadLevel) {
  OverloadControl control = with_no_load_in_flight(20);
  std::vector<double> long_running_counts(10, 6);
  control.observe_in_flight(now, age, many_requests, long_running_counts);
  EXPECT_DOUBLE_EQ(control.load_ratio(), 1 + (60 - 0.6 * 20) / 21);
}

TEST(OverloadControl, OneFaultyEndpointCountsForAtMostTwiceTheMedian) {
  OverloadControl control = with_no_load_in_flight(20);
  std::vector<double> long_running_counts(10, 1);
  long_running_counts[3] = 500;
  control.observe_in_flight(now, age, many_requests, long_running_counts);
  EXPECT_EQ(control.load_ratio(), 1);
}

TEST(OverloadControl, LoadRatioIsOneAfterTooFewRequests) {
  OverloadControl control;
  std::vector<double> long_running_counts(10, 50);
  control.observe_in_flight(now, age, 19, long_running_counts);
  EXPECT_EQ(control.load_ratio(), 1);
}

TEST(OverloadControl, ObjectiveIsMissedBeyondAShareOfTheTimeLeft) {
  OverloadControl control = with_no_load_in_flight(20);
  std::vector<double> long_running_counts(10, 6);
  control.observe_in_flight(now, age, many_requests, long_running_counts);
  constexpr FractionalDuration no_load_time{100};
  const FractionalDuration expected = no_load_time * control.load_ratio();
  constexpr FractionalDuration margin{1};
  EXPECT_FALSE(
      control.misses_objective({.no_load_time = no_load_time, .time_left = expected / 0.7 + margin}));
  EXPECT_TRUE(control.misses_objective({.no_load_time = no_load_time, .time_left = expected / 0.7 - margin}));
}

TEST(OverloadControl, ToleratesAWaitWithinTwoResponseTimes) {
  const OverloadControl control;
  EXPECT_FALSE(control.misses_objective({.no_load_time = FractionalDuration{100}}));
}

TEST(OverloadControl, RejectsNothingOfATenantWithoutSlowAttempts) {
  OverloadControl control;
  for (int i = 0; i < 100; ++i) control.record_attempt_at_loaded_copy(now, "acme", false);
  EXPECT_LE(control.share_to_reject(now, "acme"), 0);
  EXPECT_LE(control.share_to_reject(now, "unknown"), 0);
}

TEST(OverloadControl, RejectsTwiceTheExcessOfSlowAttemptsOfThatTenantOnly) {
  OverloadControl control;
  for (int i = 0; i < 97; ++i) control.record_attempt_at_loaded_copy(now, "acme", i < 40);
  EXPECT_DOUBLE_EQ(control.share_to_reject(now, "acme"), 2 * (0.4 - 0.15));
  EXPECT_LE(control.share_to_reject(now, "other"), 0);
}

TEST(OverloadControl, AlwaysAdmitsATenthAndForgetsSlowAttemptsAfterFourSeconds) {
  OverloadControl control;
  for (int i = 0; i < 1'000; ++i) control.record_attempt_at_loaded_copy(now, "acme", true);
  EXPECT_DOUBLE_EQ(control.share_to_reject(now, "acme"), 0.9);
  EXPECT_LE(control.share_to_reject(now + 4 * one_second, "acme"), 0);
}

}  // namespace
}  // namespace rushhill::routing
