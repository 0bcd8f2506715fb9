#include "routing/sliding_window.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <utility>

namespace rushhill::routing {
namespace {

constexpr Duration width{10};

constexpr Timestamp at(std::int64_t ticks) { return Timestamp{Duration{ticks}}; }
constexpr int buckets = 4;
using Window = SlidingWindow<double, buckets>;

TEST(SlidingWindow, EmptyWindowTotalsZero) {
  const Window window(width);
  EXPECT_EQ(window.total(at(0)), 0);
  EXPECT_EQ(window.total(at(1'000)), 0);
}

TEST(SlidingWindow, TotalCoversTheRequestedNumberOfBuckets) {
  Window window(width);
  window.bucket_at(at(105)) += 3;
  EXPECT_EQ(window.total(at(105)), 3);
  EXPECT_EQ(window.total(at(139)), 3);
  EXPECT_EQ(window.total(at(140)), 0);
  EXPECT_EQ(window.total(at(119), 2), 3);
  EXPECT_EQ(window.total(at(120), 2), 0);
}

TEST(SlidingWindow, ReusedSlotDropsItsOldSum) {
  Window window(width);
  window.bucket_at(at(5)) += 1;
  window.bucket_at(at(5) + buckets * width) += 2;
  EXPECT_EQ(window.total(at(5) + buckets * width), 2);
}

TEST(SlidingWindow, WidthOfZeroIsTreatedAsOneTick) {
  Window window(Duration::zero());
  window.bucket_at(at(7)) += 1;
  EXPECT_EQ(window.total(at(7), 1), 1);
  EXPECT_EQ(window.total(at(8), 1), 0);
}

TEST(SlidingWindow, TotalsAgreeWithAListOfAllValuesOverLongHistories) {
  std::mt19937 random(20261202);
  Window window(width);
  std::deque<std::pair<Timestamp, double>> history;
  Timestamp now{};
  for (int step = 0; step < 5'000; ++step) {
    now += Duration{static_cast<Duration::rep>(random() % 17)};
    const double value = static_cast<double>(random() % 100);
    window.bucket_at(now) += value;
    history.emplace_back(now, value);
    const int newest_buckets = 1 + static_cast<int>(random() % buckets);
    const Timestamp later = now + Duration{static_cast<Duration::rep>(random() % 30)};
    double expected = 0;
    for (const auto& [time, added] : history) {
      if (time.time_since_epoch() / width > later.time_since_epoch() / width - newest_buckets)
        expected += added;
    }
    ASSERT_EQ(window.total(later, newest_buckets), expected) << "step " << step;
    if (history.size() > 100) history.pop_front();
  }
}

}  // namespace
}  // namespace rushhill::routing
