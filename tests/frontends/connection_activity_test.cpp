// In which order connections may be evicted, by what they are doing.
#include "frontends/connection_activity.h"

#include <gtest/gtest.h>

namespace rushhill::frontends {
namespace {

constexpr Time now = 100'000;  // tenths of a millisecond
constexpr Time long_ago = now - 10 * request_grace;

TEST(ConnectionActivityTest, AConnectionThatOwesAnAnswerStays) {
  EXPECT_FALSE(eviction_rank({.request_open = true, .since = long_ago}, now));
  EXPECT_FALSE(eviction_rank({.request_open = true, .answer_unread = true, .since = long_ago}, now));
}

TEST(ConnectionActivityTest, AnUnreadAnswerCountsBeforeAPartialRequest) {
  const auto rank = eviction_rank(
      {.answer_unread = true, .request_seen = true, .since = long_ago, .partial_since = now}, now);
  ASSERT_TRUE(rank);
  EXPECT_EQ(rank->held_for, HeldFor::unread_answer);
  EXPECT_EQ(rank->since, long_ago);
}

TEST(ConnectionActivityTest, AnAnsweredConnectionIsIdleAtOnce) {
  const auto rank = eviction_rank({.request_seen = true, .since = now}, now);
  ASSERT_TRUE(rank);
  EXPECT_EQ(rank->held_for, HeldFor::idle);
}

TEST(ConnectionActivityTest, ANewConnectionIsInItsGracePeriodUpToTheEnd) {
  EXPECT_EQ(eviction_rank({.since = now - request_grace + 1}, now)->held_for, HeldFor::grace_period);
  EXPECT_EQ(eviction_rank({.since = now - request_grace}, now)->held_for, HeldFor::silent_client);
}

TEST(ConnectionActivityTest, APartialRequestHasAGracePeriodFromItsFirstByte) {
  const Time begun = now - request_grace + 1;
  const auto fresh = eviction_rank({.request_seen = true, .since = long_ago, .partial_since = begun}, now);
  ASSERT_TRUE(fresh);
  EXPECT_EQ(fresh->held_for, HeldFor::grace_period);
  EXPECT_EQ(fresh->since, begun);
  const auto stalled = eviction_rank({.since = long_ago, .partial_since = begun}, now + 1);
  ASSERT_TRUE(stalled);
  EXPECT_EQ(stalled->held_for, HeldFor::partial_request);
  EXPECT_EQ(stalled->since, begun);
}

}  // namespace
}  // namespace rushhill::frontends
