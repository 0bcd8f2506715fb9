#include "routing/believed_copy.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp start{100 * one_second};
constexpr Duration keep_alive = 10 * one_second;

TEST(BelievedCopy, IsNotBelievedAtFirst) { EXPECT_FALSE(BelievedCopy().believed(start, keep_alive)); }

TEST(BelievedCopy, IsBelievedWhileAnAttemptIsOpen) {
  BelievedCopy copy;
  EXPECT_FALSE(copy.attempt_sent(start, keep_alive));
  EXPECT_TRUE(copy.believed(start + 60 * one_second, keep_alive));
  EXPECT_FALSE(copy.confirmed(start, keep_alive));
  copy.attempt_ended();
  EXPECT_FALSE(copy.believed(start, keep_alive));
  copy.attempt_ended();
  EXPECT_EQ(copy.open_attempts(), 0);
}

TEST(BelievedCopy, ConfirmationExpiresWhenIdleForTheKeepAliveSpan) {
  BelievedCopy copy;
  copy.confirm(start);
  EXPECT_TRUE(copy.confirmed(start + keep_alive - Duration{1}, keep_alive));
  EXPECT_FALSE(copy.confirmed(start + keep_alive, keep_alive));
  EXPECT_TRUE(copy.attempt_sent(start + one_second, keep_alive));
  EXPECT_FALSE(copy.attempt_sent(start + keep_alive, keep_alive));
  copy.mark_missing();
  EXPECT_FALSE(copy.confirmed(start, keep_alive));
}

TEST(BelievedCopy, IsOrderedOnceAndBelievedUntilTheOrderEnds) {
  BelievedCopy copy;
  EXPECT_TRUE(copy.prewarm_ordered());
  EXPECT_FALSE(copy.prewarm_ordered());
  EXPECT_TRUE(copy.believed(start, keep_alive));
  copy.prewarm_ended(start, false);
  EXPECT_FALSE(copy.believed(start, keep_alive));
  copy.prewarm_ordered();
  copy.prewarm_ended(start, true);
  EXPECT_TRUE(copy.confirmed(start, keep_alive));
}

TEST(BelievedCopy, LostCopyIsStillBelievedWhileAnAttemptIsOpen) {
  BelievedCopy copy;
  copy.confirm(start);
  copy.prewarm_ordered();
  copy.forget();
  EXPECT_FALSE(copy.believed(start, keep_alive));
  copy.confirm(start);
  copy.attempt_sent(start, keep_alive);
  copy.forget();
  EXPECT_TRUE(copy.believed(start, keep_alive));
}

TEST(BelievedCopy, LooksUpItsEndpointOnceForEachListVersion) {
  BelievedCopy copy;
  int lookups = 0;
  const auto find = [&]() -> EndpointRecord* {
    ++lookups;
    return nullptr;
  };
  copy.endpoint(1, find);
  copy.endpoint(1, find);
  EXPECT_EQ(lookups, 1);
  copy.endpoint(2, find);
  EXPECT_EQ(lookups, 2);
}

TEST(CopyLink, IsValidForItsSelectionOnly) {
  const BelievedCopy copy;
  CopyLink link;
  EXPECT_EQ(link.for_selection(1), nullptr);
  link.set(copy, 1);
  EXPECT_EQ(link.for_selection(1), &copy);
  EXPECT_EQ(link.for_selection(2), nullptr);
}

}  // namespace
}  // namespace rushhill::routing
