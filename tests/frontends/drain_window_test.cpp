#include "frontends/drain_window.h"

#include <gtest/gtest.h>

namespace rushhill::frontends {
namespace {

constexpr Time start = 1'000'000;
constexpr Time timeout = 50'000;

class DrainWindowTest : public testing::Test {
 protected:
  DrainWindowTest() { window.start(start); }
  DrainWindow window{timeout};
};

TEST_F(DrainWindowTest, ClosesIdleConnectionsSoonWhereNoRequestComes) {
  EXPECT_EQ(window.idle_close_at(), start + 7'000);
}

TEST_F(DrainWindowTest, KeepsIdleConnectionsWhileRequestsComeButNotForLong) {
  window.request_arrived(start + 5'000);
  EXPECT_EQ(window.idle_close_at(), start + 12'000);
  window.request_arrived(start + 19'000);
  EXPECT_EQ(window.idle_close_at(), start + 20'000);
}

TEST_F(DrainWindowTest, ARequestIsAnsweredBeforeTheProcessEndsOrMayBeKilled) {
  EXPECT_EQ(window.answer_by(start + 7'000), start + timeout);
  EXPECT_EQ(window.answer_by(start + 7'001), start + 37'000);
  DrainWindow short_window(20'000);
  short_window.start(start);
  EXPECT_EQ(short_window.answer_by(start + 9'000), start + 20'000);
}

}  // namespace
}  // namespace rushhill::frontends
