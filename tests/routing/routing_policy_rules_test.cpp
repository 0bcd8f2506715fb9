// The five rules, kept by the policy as a whole.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fake_host.h"

namespace rushhill {
namespace {

TEST(Rule1, UnansweredEventIsFinishedOnceBeforeItsClientLeaves) {
  Story story;
  story.start(1);
  const RequestId id = story.event("f", second);
  story.pass(second - to_ticks(story.deployment.tick));
  EXPECT_EQ(story.finals(), 1U);
  story.end(id, AttemptOutcome::unanswered);
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
  story.deployment.request_classes[0].retry_safety = RetrySafety::at_most_once;
  story.start(4);
  const RequestId refused = story.event("f");
  story.end(refused, AttemptOutcome::overloaded);
  EXPECT_EQ(story.shots_of(refused), 2);
  story.end(refused, AttemptOutcome::error);
  EXPECT_EQ(story.shots_of(refused), 2);
  EXPECT_TRUE(story.host.sheds.empty());
  EXPECT_EQ(story.host.abandoned.size(), 1U);
}

TEST(Rule2, NumberedStaysInItsGroupAndSpan) {
  Story story;
  RequestClass& type = story.deployment.request_classes[0];
  type.retry_safety = RetrySafety::keyed;
  type.deduplication_scope = DeduplicationScope::location;
  type.deduplication_span = to_duration(second / 2);
  story.start(0);
  for (const char* id : {"a", "b", "c", "d"})
    story.change({.id = id, .location = id[0] < 'c' ? "left" : "right"});
  const RequestId id = story.event("f");
  const bool left = story.server_of(id) < "c";
  story.end(id, AttemptOutcome::connection_lost);
  ASSERT_EQ(story.shots_of(id), 2);
  EXPECT_EQ(story.server_of(id) < "c", left);
  story.pass(second);
  story.end(id, AttemptOutcome::connection_lost);
  EXPECT_EQ(story.shots_of(id), 2);
  EXPECT_EQ(story.host.abandoned.size(), 1U);
}

TEST(Rule2, NoSecondCopyWhereNotPermitted) {
  Story story;
  story.start(4);
  const RequestId id = story.event("f", 6 * second);
  story.pass(4 * second);
  EXPECT_EQ(story.shots_of(id), 1);
  EXPECT_FALSE(story.host.called_off.empty());
  story.end(id, AttemptOutcome::cancelled);
  EXPECT_EQ(story.shots_of(id), 2);
}

TEST(Rule3, DrainingServerGetsNothing) {
  Story story;
  story.start(3);
  const EndpointId home = story.honour("f");
  const int before = story.shots_at(home);
  story.change({.id = home, .state = EndpointState::draining});
  for (int i = 0; i < 10; ++i) story.honour("f");
  EXPECT_EQ(story.shots_at(home), before);
}

TEST(Rule4, ColdServerStaysWithinThisRoutersPart) {
  Story story;
  story.start(1);
  for (int i = 0; i < 50; ++i) story.honour("f");  // ten events a second, a tenth of a second each
  story.change({.id = "b", .started = to_timestamp(story.now)});
  story.change({.id = "a", .state = EndpointState::draining});
  for (int i = 0; i < 40; ++i) story.event("g", second);
  // Twice a fifth of what a warm server bore, over one second: four events, less the margin.
  EXPECT_GE(story.shots_at("b"), 3);
  EXPECT_LE(story.shots_at("b"), 4);
}

// Seen on three hundred routers: new servers' cores stood four fifths idle while the old ones were full.
TEST(Rule4, PartOfAColdServerIsLargerWhereServersReportIdleCores) {
  Story story;
  story.deployment.reports.probes = story.deployment.reports.gossip = true;
  story.start(1);
  for (int i = 0; i < 50; ++i) story.honour("f");
  for (int i = 0; i < 50; ++i) story.router->gossip_received(to_timestamp(story.now), 1, "a u25");
  story.change({.id = "b", .started = to_timestamp(story.now)});
  story.change({.id = "a", .state = EndpointState::draining});
  for (int i = 0; i < 40; ++i) story.event("g", second);
  EXPECT_GE(story.shots_at("b"), 6) << "twice as many: a quarter busy, half of the fleet is kept as a margin";
  EXPECT_LE(story.shots_at("b"), 8);
}

// One event is more than one router's part: each must take its turn, and together they must not take more.
TEST(Rule4, PartsUnderOneEventAddUpOverTheRouters) {
  int shots = 0;
  for (int me = 0; me < 100; ++me) {
    Story story;
    story.deployment.routers = 100;
    story.deployment.router_number = me;
    story.seed = static_cast<std::uint64_t>(me);
    story.last = 1000 * me;
    story.start(4);
    for (int i = 0; i < 100; ++i) story.honour("f" + std::to_string(i), "", 2 * second / 10);
    story.change({.id = "x", .started = to_timestamp(story.now)});
    for (int i = 0; i < 5; ++i) story.honour("g" + std::to_string(i), "", 2 * second / 10);
    shots += story.shots_at("x");
  }
  // An even share of the routers' events is 125 in that second; twice a fifth of it is 50.
  EXPECT_GE(shots, 10);
  EXPECT_LE(shots, 50);
}

TEST(Rule4, ServerThatDiedIsColdBeforeTheRosterSaysSo) {
  Story story;
  story.deployment.reports.gossip = true;
  story.start(2);
  for (int i = 0; i < 50; ++i) story.honour("f");
  story.router->gossip_received(to_timestamp(story.now), 1, "a");
  const int before = story.shots_at("a");
  for (int i = 0; i < 20; ++i) story.event("f");
  EXPECT_LE(story.shots_at("a") - before, 4);
  // Of one that has answered just now, only all of its connections in a row tell.
  const RequestId first = story.event("f"), next = story.event("f"), last = story.event("f");
  ASSERT_EQ(story.server_of(last), "b");
  story.end(first, AttemptOutcome::connection_lost);
  story.end(next, AttemptOutcome::connection_lost);
  story.end(last, AttemptOutcome::connection_lost);
  EXPECT_EQ(story.host.told, (std::vector<std::string>{"b c", "b c", "b"}));
}

TEST(Rule4, ServerLongUnheardThatRefusesConnectionsHasDied) {
  Story story;
  story.deployment.reports.gossip = true;
  story.start(1);
  story.honour("f");
  story.pass(2 * second);
  story.end(story.event("f"), AttemptOutcome::connect_failed, CopyState::unknown, 1);
  EXPECT_EQ(story.host.told, std::vector<std::string>{"a"});
}

TEST(Rule4, ServerLongUnheardThatLosesAConnectionHasDiedWhereNoPeerCanTell) {
  Story story;
  story.start(1);
  for (int i = 0; i < 50; ++i) story.honour("f");
  story.pass(2 * second);
  const int before = story.shots_at("a");
  story.end(story.event("f"), AttemptOutcome::connection_lost);
  for (int i = 0; i < 20; ++i) story.event("f");
  EXPECT_LE(story.shots_at("a") - before, 1 + 4);
}

// Seen on three hundred routers: none had heard of a server in the last second, so that each took one cut
// connection for its death and told all: within ten seconds nearly every server was held for cold.
TEST(Rule4, OneConnectionLostAtEachOfThreeRoutersWithinASecondIsAServersDeath) {
  Story story;
  story.deployment.reports.gossip = true;
  story.start(1);
  for (int i = 0; i < 50; ++i) story.honour("f");
  story.pass(2 * second);
  const auto admitted = [&] {
    const int before = story.shots_at("a");
    for (int i = 0; i < 20; ++i) story.event("f");
    return story.shots_at("a") - before;
  };
  story.router->gossip_received(to_timestamp(story.now), 1, "a c");
  story.pass(2 * second);
  story.router->gossip_received(to_timestamp(story.now), 1, "a c");
  story.end(story.event("f"), AttemptOutcome::connection_lost);
  EXPECT_EQ(story.host.told, std::vector<std::string>{"a c"});
  EXPECT_GE(admitted(), 15) << "two within a second, one long before";
  story.router->gossip_received(to_timestamp(story.now), 1, "a c");
  EXPECT_LE(admitted(), 4);
}

TEST(Rule5, NothingIsOrderedBeforeTheRationOfEarlierLivesIsKnownAndItCounts) {
  Story story;
  story.deployment.copies.missing_is_answered = story.deployment.load_budget.restored_after_restart = true;
  story.deployment.load_budget.window = to_duration(5 * second);
  story.deployment.load_budget.free_loads = 3;
  story.start(6);
  const auto misses = [&] {
    for (const char* function : {"f", "g", "h", "i"})
      story.end(story.event(function), AttemptOutcome::function_missing, CopyState::unknown);
  };
  misses();
  EXPECT_TRUE(story.host.orders.empty());
  story.router->load_budget_restored(to_timestamp(story.now), 2);
  misses();
  EXPECT_EQ(story.host.orders.size(), 1U);
}

TEST(Rule5, OrdersStayWithinTheRation) {
  Story story;
  story.deployment.copies.missing_is_answered = true;
  story.deployment.load_budget.window = to_duration(5 * second);
  story.deployment.load_budget.free_loads = 2;
  story.start(6);
  for (const char* function : {"f", "g", "h", "i"}) {
    story.end(story.event(function), AttemptOutcome::function_missing, CopyState::unknown);
  }
  EXPECT_EQ(story.host.orders.size(), 2U);
}

}  // namespace
}  // namespace rushhill
