#include "routing/observation_window.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp start{100 * one_second};

ObservationWindow window_with_requests(int count) {
  ObservationWindow observation;
  observation.start(start);
  for (int i = 0; i < count; ++i) observation.request_received(start);
  return observation;
}

TEST(ObservationWindow, ObservesSinceItsStart) {
  ObservationWindow observation;
  EXPECT_FALSE(observation.started());
  observation.start(start);
  EXPECT_TRUE(observation.started());
  EXPECT_EQ(observation.observed_for(start + one_second), one_second);
}

TEST(ObservationWindow, ObservedSpanIsBetweenOneSecondAndTheHistorySpan) {
  const ObservationWindow observation = window_with_requests(0);
  EXPECT_EQ(observation.seen(start), one_second);
  EXPECT_EQ(observation.seen(start + 5 * one_second), 5 * one_second);
  EXPECT_EQ(observation.seen(start + 60 * one_second), history_span);
}

TEST(ObservationWindow, IntervalIsTheTimeBetweenRequestsToOneEndpoint) {
  ObservationWindow observation = window_with_requests(99);
  observation.update(start + 10 * one_second, 30);
  EXPECT_EQ(observation.interval(), 3 * one_second);
  EXPECT_DOUBLE_EQ(observation.interval_share(), 3.0 / history_buckets);
  EXPECT_EQ(observation.recent_buckets(), 6);
}

TEST(ObservationWindow, BusyRouterUsesTheFewestBuckets) {
  ObservationWindow observation = window_with_requests(10'000);
  observation.update(start + 10 * one_second, 10);
  EXPECT_EQ(observation.recent_buckets(), min_recent_buckets);
  EXPECT_EQ(observation.prior_samples(), max_prior_samples);
}

TEST(ObservationWindow, RouterWithFewRequestsUsesItsWholeHistory) {
  ObservationWindow observation = window_with_requests(0);
  observation.update(start + 10 * one_second, 1'000);
  EXPECT_EQ(observation.interval(), history_span);
  EXPECT_EQ(observation.interval_share(), 1);
  EXPECT_EQ(observation.recent_buckets(), history_buckets);
  EXPECT_EQ(observation.prior_samples(), 1);
}

}  // namespace
}  // namespace rushhill::routing
