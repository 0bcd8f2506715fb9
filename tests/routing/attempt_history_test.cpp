#include "routing/attempt_history.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp start{100 * one_second};

TEST(AttemptHistory, CountsAddedAttempts) {
  AttemptHistory history;
  history.add_success(start);
  history.add_pace(start, 1.5);
  history.add_judged_attempt(start, true);
  history.add_judged_attempt(start, false);
  const AttemptStatistics all = history.all(start);
  EXPECT_EQ(all.succeeded, 1);
  EXPECT_EQ(all.pace_samples, 1);
  EXPECT_EQ(all.pace_sum, 1.5);
  EXPECT_EQ(all.judged, 2);
  EXPECT_EQ(all.bad, 1);
}

TEST(AttemptHistory, RecentStatisticsCoverTheNewestBuckets) {
  AttemptHistory history;
  history.add_success(start);
  history.add_success(start + 4 * one_second);
  EXPECT_EQ(history.recent(start + 4 * one_second, 4).succeeded, 1);
  EXPECT_EQ(history.recent(start + 4 * one_second, 5).succeeded, 2);
}

TEST(AttemptHistory, IsEmptyAfterItsSpanAndWhenCleared) {
  AttemptHistory history;
  history.add_success(start);
  EXPECT_EQ(history.all(start + history_span - Duration{1}).succeeded, 1);
  EXPECT_EQ(history.all(start + history_span).succeeded, 0);
  history.add_success(start + history_span);
  history.clear();
  EXPECT_EQ(history.all(start + history_span).succeeded, 0);
}

}  // namespace
}  // namespace rushhill::routing
