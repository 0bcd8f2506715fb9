// Checks the round robin of busy connections, and when one of them counts as read to its end.
#include "transport/unread_sources.h"

#include <gtest/gtest.h>

namespace rushhill::transport {
namespace {

TEST(UnreadSources, GivesEachATurnAfterTheOthers) {
  UnreadSources sources;
  for (const RegistrationId id : {3U, 1U, 2U, 1U}) sources.add(id);
  EXPECT_EQ(sources.next(), 3U);
  sources.add(3);
  for (const RegistrationId id : {1U, 2U, 3U}) EXPECT_EQ(sources.next(), id);
  EXPECT_EQ(sources.next(), std::nullopt);
  EXPECT_TRUE(sources.empty());
}

// Guards against a client's leaving that is taken for unsent, because it arrives right after the bytes before
// it were read.
TEST(UnreadSources, CountsAsReadToItsEndOnceItHasBeenReadAfterALaterPoll) {
  UnreadSources sources;
  EXPECT_FALSE(sources.may_hold_unread(1));
  sources.add(1);
  EXPECT_TRUE(sources.may_hold_unread(1));
  sources.next();
  EXPECT_FALSE(sources.waits(1));
  EXPECT_TRUE(sources.may_hold_unread(1));
  sources.add(1);  // it was reported, and there was more to read than its turn allows
  sources.on_poll_read();
  EXPECT_TRUE(sources.may_hold_unread(1));
  sources.next();
  sources.on_poll_read();
  EXPECT_FALSE(sources.may_hold_unread(1));
}

}  // namespace
}  // namespace rushhill::transport
