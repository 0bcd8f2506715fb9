// Short stories, one for each rule and for each failure met.
#include <gtest/gtest.h>

#include "fake_host.h"

namespace rushhill {
namespace {

TEST(Index, AnsweredFunctionSticksToItsServer) {
  Story story;
  story.start(6);
  const ServerId home = story.honour("f");
  for (int i = 0; i < 20; ++i) EXPECT_EQ(story.honour("f"), home);
}

TEST(Index, PredictedEntryDrawsTheNextEventWhileTheFirstIsOut) {
  for (const char* function : {"f", "g", "h", "i", "j", "k"}) {
    Story story;
    story.start(2);
    const ServerId first = story.server_of(story.event(function));
    for (const char* id : {"l", "m", "n", "o"}) story.change({.id = id});  // homes that may rank higher
    EXPECT_EQ(story.server_of(story.event(function)), first);
  }
}

TEST(Index, HotFunctionSpreadsBeyondItsLanes) {
  Story story;
  story.start(6);
  std::set<ServerId> used;
  for (int i = 0; i < 12; ++i) used.insert(story.server_of(story.event("f")));
  EXPECT_GE(used.size(), 3U);
}

TEST(Index, SurgeStartsFewLoads) {
  Story story;
  story.start(12);
  story.honour("f");
  std::set<ServerId> used;
  for (int i = 0; i < 60; ++i) used.insert(story.server_of(story.event("f")));
  EXPECT_LE(used.size(), 4U);
}

TEST(Index, RoutersShareHomesWithoutAWord) {
  Story one;
  Story other;
  other.deployment.me = 1;
  other.seed = 8;
  one.start(9);
  other.start(9);
  for (const char* function : {"f", "g", "h", "i"}) EXPECT_EQ(one.honour(function), other.honour(function));
}

TEST(Index, RestartedServerHoldsNothing) {
  Story story;
  story.start(6);
  const ServerId home = story.honour("f");
  story.change({.id = home, .condition = Condition::leaving});
  const ServerId other = story.honour("f");
  story.change({.id = home, .started = story.now - 20 * second});
  for (int i = 0; i < 10; ++i) EXPECT_EQ(story.honour("f"), other);
}

TEST(Miss, OrdersAHoldThereAndResendsThere) {
  Story story;
  story.deployment.miss_answers = true;
  story.start(6);
  const EventId id = story.event("f");
  const ServerId server = story.server_of(id);
  story.end(id, Ending::not_stored, Warmth::untold);
  ASSERT_EQ(story.host.orders.size(), 1U);
  EXPECT_EQ(story.host.orders[0].first, server);
  EXPECT_EQ(story.shots_of(id), 1);
  story.pass(second / 4);
  story.router->order_ended(story.now, {.server = server, .function = "f", .copies = 1});
  EXPECT_EQ(story.shots_of(id), 2);
  EXPECT_EQ(story.server_of(id), server);
}

TEST(Rule1, UnansweredEventIsFinishedOnceBeforeItsClientLeaves) {
  Story story;
  story.start(1);
  const EventId id = story.event("f", second);
  story.pass(second - story.deployment.tick);
  EXPECT_EQ(story.finals(), 1U);
  story.end(id, Ending::no_answer);
  story.pass(5 * second);
  EXPECT_EQ(story.finals(), 1U);
  EXPECT_EQ(story.shots_of(id), 1);
}

TEST(Rule1, NoServerStillGivesAFinalAnswer) {
  Story story;
  story.start(0);
  story.event("f", second);
  story.pass(second);
  EXPECT_EQ(story.finals(), 1U);
}

TEST(Rule2, AtMostOnceGoesAgainOnlyWhenItNeverRan) {
  Story story;
  story.deployment.traffic_types[0].effect = Effect::at_most_once;
  story.start(4);
  const EventId refused = story.event("f");
  story.end(refused, Ending::turned_away);
  EXPECT_EQ(story.shots_of(refused), 2);
  story.end(refused, Ending::error);
  EXPECT_EQ(story.shots_of(refused), 2);
  EXPECT_TRUE(story.host.sheds.empty());
  EXPECT_EQ(story.host.abandoned.size(), 1U);
}

TEST(Rule2, NumberedStaysInItsGroupAndSpan) {
  Story story;
  TrafficType& type = story.deployment.traffic_types[0];
  type.effect = Effect::numbered;
  type.group = Group::location;
  type.memory_span = second / 2;
  story.start(0);
  for (const char* id : {"a", "b", "c", "d"})
    story.change({.id = id, .location = id[0] < 'c' ? "left" : "right"});
  const EventId id = story.event("f");
  const bool left = story.server_of(id) < "c";
  story.end(id, Ending::connection_lost);
  ASSERT_EQ(story.shots_of(id), 2);
  EXPECT_EQ(story.server_of(id) < "c", left);
  story.pass(second);
  story.end(id, Ending::connection_lost);
  EXPECT_EQ(story.shots_of(id), 2);
  EXPECT_EQ(story.host.abandoned.size(), 1U);
}

TEST(Rule2, NoSecondCopyWhereNotPermitted) {
  Story story;
  story.start(4);
  const EventId id = story.event("f", 6 * second);
  story.pass(4 * second);
  EXPECT_EQ(story.shots_of(id), 1);
  EXPECT_FALSE(story.host.called_off.empty());
  story.end(id, Ending::called_off);
  EXPECT_EQ(story.shots_of(id), 2);
}

TEST(Rule3, DrainingServerGetsNothing) {
  Story story;
  story.start(3);
  const ServerId home = story.honour("f");
  const int before = story.shots_at(home);
  story.change({.id = home, .condition = Condition::leaving});
  for (int i = 0; i < 10; ++i) story.honour("f");
  EXPECT_EQ(story.shots_at(home), before);
}

TEST(Rule4, ColdServerStaysWithinThisRoutersPart) {
  Story story;
  story.start(1);
  for (int i = 0; i < 50; ++i) story.honour("f");  // ten events a second, a tenth of a second each
  story.change({.id = "b", .started = story.now});
  story.change({.id = "a", .condition = Condition::leaving});
  for (int i = 0; i < 40; ++i) story.event("g", second);
  // Twice a fifth of what a warm server bore, over one second: four events, less the margin.
  EXPECT_GE(story.shots_at("b"), 1);
  EXPECT_LE(story.shots_at("b"), 4);
}

TEST(Rule5, OrdersStayWithinTheRation) {
  Story story;
  story.deployment.miss_answers = true;
  story.deployment.load_window = 5 * second;
  story.deployment.load_free = 2;
  story.start(6);
  for (const char* function : {"f", "g", "h", "i"}) {
    story.end(story.event(function), Ending::not_stored, Warmth::untold);
  }
  EXPECT_EQ(story.host.orders.size(), 2U);
}

TEST(Overload, WhatItsClientWouldNotWaitForIsShedAtOnce) {
  Story story;
  story.start(4);
  for (int i = 0; i < 60; ++i) story.honour("f");  // a tenth of a second each
  const EventId hasty = story.event("f", second / 20);
  EXPECT_EQ(story.shots_of(hasty), 0);
  EXPECT_EQ(story.host.sheds.size(), 1U);
  EXPECT_EQ(story.shots_of(story.event("f", second / 2)), 1);
}

TEST(Health, ServerThatRefusesOneCustomerStillServesTheOther) {
  Story story;
  story.start(6);
  const ServerId home = story.honour("f");
  for (int i = 0; i < 20; ++i) {
    const EventId id = story.event("f", 3 * second, "refused");
    if (story.server_of(id) == home) story.end(id, Ending::turned_away);
    story.pass(second / 10);
    story.end(id, Ending::honoured);
    story.pass(second / 2);
    story.honour("f");
  }
  EXPECT_NE(story.server_of(story.event("f", 3 * second, "refused")), home);
  EXPECT_EQ(story.server_of(story.event("f", 3 * second, "served")), home);
}

TEST(Health, SilentServerIsLeftByItsEventsAndSetAside) {
  Story story;
  story.start(4);
  const ServerId home = story.honour("f");
  for (int i = 0; i < 60; ++i) story.honour("f");
  std::vector<EventId> stuck;
  for (int i = 0; i < 3; ++i) stuck.push_back(story.event("f"));
  story.pass(2 * second);
  for (const EventId id : stuck) {
    if (story.server_of(id) == home) story.end(id, Ending::called_off);
    EXPECT_NE(story.server_of(id), home);
  }
  EXPECT_NE(story.honour("f"), home);
}

}  // namespace
}  // namespace rushhill
