// Where the policy as a whole places requests and copies.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fake_host.h"

namespace rushhill {
namespace {

TEST(Index, AnsweredFunctionSticksToItsServer) {
  Story story;
  story.start(6);
  story.others(200);
  const EndpointId home = story.honour("f");
  for (int i = 0; i < 5; ++i) {
    story.others(20);
    EXPECT_EQ(story.honour("f"), home);
  }
}

TEST(Index, HotFunctionSpreadsBeyondItsLanes) {
  Story story;
  story.start(6);
  std::set<EndpointId> used;
  for (int i = 0; i < 12; ++i) used.insert(story.server_of(story.event("f")));
  EXPECT_GE(used.size(), 3U);
}

TEST(Index, SurgeStartsFewLoads) {
  Story story;
  story.start(20);
  story.others(300);
  story.honour("f");
  std::set<EndpointId> used;
  for (int i = 0; i < 30; ++i) used.insert(story.server_of(story.event("f")));
  EXPECT_LE(used.size(), 8U);
}

// A hundred routers that each see little: all would send a hot function to its first home.
TEST(Index, HotFunctionHasTheSameHomesAtEveryRouter) {
  std::map<EndpointId, int> used;
  for (int me = 0; me < 100; ++me) {
    Story story;
    story.deployment.routers = 100;
    story.deployment.router_number = me;
    story.seed = static_cast<std::uint64_t>(me);
    story.start(20);
    story.others(100);
    for (int i = 0; i < 10; ++i) ++used[story.honour("f")];
  }
  int most = 0;
  for (const auto& [server, count] : used) most = std::max(most, count);
  EXPECT_GE(used.size(), 4U);
  EXPECT_LE(used.size(), 12U);
  EXPECT_LE(most, 500);
}

TEST(Index, BusyServerIsHomeToFewerFunctions) {
  Story story;
  story.deployment.copies.state_is_reported = false;
  story.deployment.request_classes[0].latency_objective = to_duration(3 * second);
  story.start(10);
  const auto homes = [&](const char* prefix) {
    int count = 0;
    for (int i = 0; i < 200; ++i)
      count += story.honour(prefix + std::to_string(i), "", second / 20) == "a" ? 1 : 0;
    return count;
  };
  const int before = homes("f");
  for (int i = 0; i < 100; ++i) {
    const RequestId id = story.event("g" + std::to_string(i));
    story.pass(second);
    const EndpointId server = story.server_of(id);
    story.router->attempt_ended(to_timestamp(story.now), {.request = id,
                                                          .endpoint = server,
                                                          .final = true,
                                                          .taken = to_duration(second),
                                                          .report = {{"util", server == "a" ? 1.0 : 0.4}}});
  }
  const int after = homes("h");
  EXPECT_GE(before, 8);
  EXPECT_LT(2 * after, before);
}

TEST(Index, RoutersShareHomesWithoutAWord) {
  Story one;
  Story other;
  other.deployment.router_number = 1;
  other.seed = 8;
  one.start(9);
  other.start(9);
  for (const char* function : {"f", "g", "h", "i"}) EXPECT_EQ(one.honour(function), other.honour(function));
}

TEST(Index, RestartedServerHoldsNothing) {
  for (const char* function : {"f", "g", "h", "i", "j", "k"}) {
    Story story;
    story.deployment.copies.keep_alive = to_duration(60 * second);
    story.start(6);
    const EndpointId home = story.honour(function);
    story.change({.id = home, .state = EndpointState::draining});
    const EndpointId other = story.honour(function);
    story.change({.id = home, .started = to_timestamp(story.now - 20 * second)});
    story.pass(25 * second);  // no longer hot: only entries count
    EXPECT_EQ(story.server_of(story.event(function)), other);
  }
}

TEST(Miss, OrdersAHoldThereAndResendsThere) {
  Story story;
  story.deployment.copies.missing_is_answered = true;
  story.start(6);
  const RequestId id = story.event("f");
  const EndpointId server = story.server_of(id);
  story.end(id, AttemptOutcome::function_missing, CopyState::unknown);
  ASSERT_EQ(story.host.orders.size(), 1U);
  EXPECT_EQ(story.host.orders[0].first, server);
  EXPECT_EQ(story.shots_of(id), 1);
  story.pass(second / 4);
  story.router->prewarm_ended(to_timestamp(story.now), {.endpoint = server, .function = "f", .copies = 1});
  EXPECT_EQ(story.shots_of(id), 2);
  EXPECT_EQ(story.server_of(id), server);
}

// Seen on three hundred routers: each one's first event of a hot function went to the one place that all
// knew.
TEST(Index, WhatIsSeenFirstGoesToSeveralHomesAndWhatIsSeenLateToOne) {
  std::set<EndpointId> at_first, late;
  for (int me = 0; me < 60; ++me) {
    Story story;
    story.deployment.routers = 60;
    story.deployment.router_number = me;
    story.seed = static_cast<std::uint64_t>(me);
    story.start(0);
    std::vector<Endpoint> list;
    for (int i = 0; i < 80; ++i) list.push_back({.id = "s" + std::to_string(i)});
    story.router->endpoints_updated(to_timestamp(story.now), EndpointListForm::complete, list);
    at_first.insert(story.honour("hot"));
    for (int i = 0; i < 150; ++i) story.honour("f" + std::to_string(i % 50), "", second / 100);
    late.insert(story.honour("rare"));
  }
  EXPECT_GE(at_first.size(), 4U);
  EXPECT_LE(at_first.size(), 8U);
  EXPECT_EQ(late.size(), 1U);
}

}  // namespace
}  // namespace rushhill
