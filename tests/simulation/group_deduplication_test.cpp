// A keyed request runs once within its group, as long as the group remembers it.
#include "simulation/group_deduplication.h"

#include <gtest/gtest.h>

#include "simulation/manual_timers.h"

namespace rushhill::simulation {
namespace {

constexpr Time span = 50'000;

class GroupDeduplicationTest : public testing::Test {
 protected:
  GroupDeduplication::Lookup look_up(const ServerSpec& server, const char* key = "/clients e-1") {
    return deduplication.find_or_add(server, request_class, key);
  }

  ManualTimers timers;
  GroupDeduplication deduplication{timers};
  RequestClassSpec request_class{
      .name = "form", .deduplication_scope = DeduplicationScope::location, .deduplication_span = span};
  ServerSpec here{.id = "a", .location = "here", .cell = 1};
  ServerSpec beside{.id = "b", .location = "here", .cell = 2};
  ServerSpec elsewhere{.id = "c", .location = "elsewhere", .cell = 1};
};

TEST_F(GroupDeduplicationTest, GroupKnowsARequestAtItsOtherServersAndOthersDoNot) {
  EXPECT_TRUE(look_up(here).first);
  EXPECT_FALSE(look_up(beside).first);
  EXPECT_TRUE(look_up(elsewhere).first);
  EXPECT_TRUE(look_up(beside, "/clients e-2").first);
  request_class.deduplication_scope = DeduplicationScope::cell;
  EXPECT_TRUE(look_up(here).first);
  EXPECT_FALSE(look_up(elsewhere).first);
}

TEST_F(GroupDeduplicationTest, RequestIsForgottenAfterItsSpan) {
  look_up(here);
  timers.pass(span - 1);
  EXPECT_FALSE(look_up(here).first);
  timers.pass(1);
  EXPECT_TRUE(look_up(here).first);
}

TEST_F(GroupDeduplicationTest, WaitersAreCalledOnceItHasCompleted) {
  const auto known = look_up(here);
  int called = 0;
  known.request->waiters.emplace_back([&called] { ++called; });
  deduplication.settle(known.request, true);
  EXPECT_EQ(called, 1);
  EXPECT_TRUE(look_up(beside).request->completed);
}

TEST_F(GroupDeduplicationTest, RequestThatDidNotRunMayRunElsewhere) {
  deduplication.settle(look_up(here).request, false);
  EXPECT_TRUE(look_up(beside).first);
}

}  // namespace
}  // namespace rushhill::simulation
