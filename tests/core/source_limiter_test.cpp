// Guards against more open requests than the limit, and against one source that uses up the share of another.
#include "core/source_limiter.h"

#include <gtest/gtest.h>

namespace rushhill::core {
namespace {

constexpr Timestamp now{100 * one_second};

TEST(SourceLimiter, LimitsTheNumberOfOpenRequests) {
  SourceLimiter limiter(2);
  const auto source = limiter.add_source(1, false);
  limiter.request_accepted(now, source);
  EXPECT_TRUE(limiter.has_room(now, source));
  limiter.request_accepted(now, source);
  EXPECT_FALSE(limiter.has_room(now, source));
  EXPECT_FALSE(limiter.within_share(source));
  EXPECT_EQ(limiter.open_requests(), 2U);
  limiter.request_concluded(now, source, SourceLimiter::End::succeeded);
  EXPECT_TRUE(limiter.has_room(now, source));
  EXPECT_EQ(limiter.open_requests(), 1U);
}

TEST(SourceLimiter, AlwaysHasRoomWithoutALimit) {
  SourceLimiter limiter(0);
  const auto source = limiter.add_source(1, false);
  for (int i = 0; i < 10'000; ++i) limiter.request_accepted(now, source);
  EXPECT_TRUE(limiter.has_room(now, source));
}

TEST(SourceLimiter, OneSourceDoesNotUseTheShareOfAnother) {
  SourceLimiter limiter(10);
  const auto busy = limiter.add_source(1, true);
  const auto other = limiter.add_source(1, false);
  while (limiter.within_share(busy)) limiter.request_accepted(now, busy);
  EXPECT_LT(limiter.open_requests(), 10U);
  EXPECT_TRUE(limiter.has_room(now, other));
}

}  // namespace
}  // namespace rushhill::core
