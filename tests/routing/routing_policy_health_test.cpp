// What the policy as a whole makes of failures, silence and reports of endpoints.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fake_host.h"

namespace rushhill {
namespace {

// Seen on three hundred routers while locations did not hear each other: the far ones were believed dead and,
// when the way was whole again, cold.
TEST(Health, ServerThatCannotBeReachedIsLeftAloneForAWhileAndIsAsWarmAsItWas) {
  Story story;
  story.deployment.reports.gossip = true;
  story.deployment.connect_timeout = to_duration(second / 4);
  story.deployment.slow_start.warm_up_span = to_duration(60 * second);
  story.start(2);
  for (int i = 0; i < 60; ++i) story.honour("f" + std::to_string(i % 6), "", second / 100);
  const auto cut_off = [&] {
    int tried = 0;
    for (int i = 0; i < 12; ++i) {
      const RequestId id = story.event("f" + std::to_string(i % 6));
      if (story.server_of(id) == "a")
        ++tried, story.end(id, AttemptOutcome::connect_failed, CopyState::unknown, second / 4);
      story.end(id, AttemptOutcome::succeeded);
      story.pass(second / 100);
    }
    return tried;
  };
  EXPECT_EQ(cut_off(), 1);
  story.pass(second);
  EXPECT_EQ(cut_off(), 1) << "asked again";
  EXPECT_EQ(cut_off(), 0);
  EXPECT_TRUE(story.host.told.empty());
  story.pass(5 * second);
  const int before = story.shots_at("a");
  for (int i = 0; i < 60; ++i) story.honour("f" + std::to_string(i % 6), "", second / 100);
  EXPECT_GE(story.shots_at("a") - before, 15);
}

// Seen on sockets: one death believed in error took a sixth of the fleet away for as long as a server is
// cold.
TEST(Health, ServerThatAnswersWhatItTookBeforeItsSupposedDeathLives) {
  Story story;
  story.deployment.reports.gossip = true;
  story.start(1);
  for (int i = 0; i < 50; ++i) story.honour("f");
  const RequestId out = story.event("f");
  story.pass(second / 100);
  story.router->gossip_received(to_timestamp(story.now), 1, "a");
  for (int i = 0; i < 20; ++i) story.event("f");
  const int cold = story.shots_at("a");
  EXPECT_LE(cold, 50 + 1 + 4);
  story.pass(second / 100);
  story.end(out, AttemptOutcome::succeeded);
  for (int i = 0; i < 20; ++i) story.event("f");
  EXPECT_GE(story.shots_at("a"), cold + 10);
}

// Seen on sockets: what drains looks idle and warm, and turned away every event until the roster told of it.
TEST(Health, ServerThatTurnsAllAwayIsLeftAloneForAWhileAndAskedAgain) {
  Story story;
  story.start(3);
  for (int i = 0; i < 90; ++i) story.honour("f" + std::to_string(i % 9), "", second / 100);
  // From now on what is shot at "a" is turned away, what is shot elsewhere honoured.
  const auto events = [&](int count) {
    for (int i = 0; i < count; ++i) {
      const RequestId id = story.event("f" + std::to_string(i % 9));
      for (int shots = 0; story.server_of(id) == "a" && story.shots_of(id) > shots;) {
        shots = story.shots_of(id);
        story.end(id, AttemptOutcome::overloaded, CopyState::unknown);
      }
      story.pass(second / 100);
      if (story.server_of(id) != "a") story.end(id, AttemptOutcome::succeeded);
    }
  };
  int tried = story.shots_at("a");
  events(90);
  EXPECT_LE(story.shots_at("a") - tried, 9) << "in 0.9 s: three, and then at doubling pauses";
  tried = story.shots_at("a");
  story.pass(second);
  events(60);
  EXPECT_GT(story.shots_at("a"), tried) << "it is asked again";
}

// Seen on sockets: connections reset here and there made every router believe every server cold, and nearly
// all events were shed from then on.
TEST(Health, ConnectionsCutHereAndThereAreNoServersDeath) {
  Story story;
  story.deployment.reports.gossip = true;
  story.start(2);
  for (int i = 0; i < 200; ++i) {
    story.honour("f" + std::to_string(i % 7), "", second / 20);
    if (i % 5 != 4) continue;
    const RequestId id = story.event("f1");
    story.end(id, i % 10 == 4 ? AttemptOutcome::connection_lost : AttemptOutcome::connect_failed);
    story.end(id, AttemptOutcome::succeeded);
  }
  EXPECT_EQ(std::ranges::count(story.host.told, "a") + std::ranges::count(story.host.told, "b"), 0);
  EXPECT_TRUE(story.host.sheds.empty());
}

TEST(Health, EventThatFailedAtItsOnlyHomeGoesElsewhere) {
  Story story;
  story.start(6);
  story.others(200);
  story.honour("f");
  const RequestId id = story.event("f");
  const EndpointId home = story.server_of(id);
  story.end(id, AttemptOutcome::error);
  EXPECT_EQ(story.shots_of(id), 2);
  EXPECT_NE(story.server_of(id), home);
}

TEST(Reports, OneRouterProbesEachServerAndTellsTheOthers) {
  std::map<EndpointId, int> probed;
  for (int me = 0; me < 20; ++me) {
    Story story;
    story.deployment.routers = 20;
    story.deployment.router_number = me;
    story.deployment.reports.probes = story.deployment.reports.gossip = true;
    story.deployment.reports.load_reports = "probe";
    story.start(10);
    story.now = 3 * second * 1000 - 1;
    story.pass(second);
    for (const EndpointId& server : story.host.probes) ++probed[server];
    if (story.host.probes.empty()) continue;
    story.router->probe_ended(to_timestamp(story.now), {.endpoint = "a", .report = {{"util", 0.5}}});
    EXPECT_EQ(story.host.told.back(), "a u50");
  }
  EXPECT_EQ(probed.size(), 10U);
  for (const auto& [server, count] : probed) EXPECT_LE(count, 2);
}

TEST(Health, SilentServerIsLeftByItsEventsAndAvoided) {
  Story story;
  story.deployment.request_classes[0].latency_objective = to_duration(6 * second);
  story.start(4);
  for (int i = 0; i < 60; ++i) story.honour("f");
  std::vector<RequestId> events;
  for (int i = 0; i < 12; ++i) events.push_back(story.event("f", 8 * second));
  const EndpointId silent = story.server_of(events[0]);
  story.pass(second / 10);
  for (const RequestId id : events) {
    if (story.server_of(id) != silent) story.end(id, AttemptOutcome::succeeded);
  }
  for (int i = 0; i < 30; ++i) EXPECT_NE(story.honour("f"), silent);
  EXPECT_FALSE(story.host.called_off.empty());
  for (const auto& [id, leg] : story.host.called_off) {
    story.end(id, AttemptOutcome::cancelled);
    EXPECT_NE(story.server_of(id), silent);
  }
}

}  // namespace
}  // namespace rushhill
