// What the policy as a whole rejects in an overload.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fake_host.h"

namespace rushhill {
namespace {

TEST(Overload, WhatItsClientWouldNotWaitForIsShedAtOnce) {
  Story story;
  story.start(4);
  for (int i = 0; i < 60; ++i) story.honour("f");  // a tenth of a second each
  const RequestId hasty = story.event("f", second / 20);
  EXPECT_EQ(story.shots_of(hasty), 0);
  EXPECT_EQ(story.host.sheds.size(), 1U);
  EXPECT_EQ(story.shots_of(story.event("f", second / 2)), 1);
}

TEST(Overload, CrowdedCopiesShedAPartAtOnce) {
  Story story;
  story.start(4);
  for (int i = 0; i < 60; ++i) story.honour("f", "", 6 * second / 10);
  EXPECT_TRUE(story.host.sheds.empty());
  for (int i = 0; i < 30; ++i) {
    const RequestId id = story.event("f");
    story.pass(second / 10);
    if (story.shots_of(id) > 0) story.end(id, AttemptOutcome::succeeded, CopyState::loaded, 8 * second / 10);
  }
  EXPECT_GE(story.host.sheds.size(), 5U);
  EXPECT_LE(story.host.sheds.size(), 29U);
}

// The servers answer forty requests a second, each in a tenth of one, in their order; from now on twice as
// many come.
struct Crowd : Story {
  void begin() {
    start(12);
    come(200, "quiet", 1);
  }
  void come(int requests, const std::string& tenant, int for_each_answer) {
    for (int i = 0; i < requests; ++i) {
      const RequestId id = event("f" + std::to_string(i % 6), 3 * second, tenant);
      if (shots_of(id) > 0) queue.push_back({id, now});
      pass(second / 40 / for_each_answer);
      if (i % for_each_answer != 0 || queue.size() < 4) continue;
      const auto [first, sent] = queue.front();
      queue.erase(queue.begin());
      end(first, AttemptOutcome::succeeded, CopyState::loaded, now - sent);
    }
  }
  std::vector<std::pair<RequestId, Time>> queue;
};

TEST(Overload, CrowdIsSeenInWhatIsOutBeforeAnAnswerIsLate) {
  Crowd story;
  story.begin();
  ASSERT_TRUE(story.host.sheds.empty());
  story.come(240, "quiet", 2);
  EXPECT_LE(story.queue.size(), 40U);  // answered within a second, which is the due time
  EXPECT_GE(story.queue.size(), 10U);
}

// What lies beyond a share is worth little, and a queue of it delays the rest.
TEST(Overload, WhatIsBeyondAShareGivesWayToTheRestInACrowd) {
  Crowd story;
  story.deployment.request_classes[0].latency_objective = to_duration(2 * second);
  story.deployment.routers = 1;
  story.deployment.over_quota_value = 0.05;
  story.deployment.tenants.push_back({.name = "loud", .share = 0.5, .quota_per_s = 1});
  story.deployment.tenants.push_back({.name = "quiet", .share = 0.5, .quota_per_s = 1000});
  story.begin();
  story.come(240, "loud", 2);
  EXPECT_LE(story.queue.size(), 20U);
  const std::size_t shots = story.host.shots.size();
  story.event("f1", 3 * second, "quiet");
  EXPECT_EQ(story.host.shots.size(), shots + 1);
}

// What hangs at a server gone silent is no crowd: the others are as free as before.
TEST(Overload, RequestsOutAtASilentServerShedNothingElsewhere) {
  Story story;
  story.start(12);
  for (int i = 0; i < 60; ++i) story.honour("f" + std::to_string(i % 6));
  for (int i = 0; i < 8; ++i) story.event("g", 60 * second);  // never answered
  story.pass(2 * second);
  const std::size_t before = story.host.sheds.size();
  for (int i = 0; i < 60; ++i) story.honour("f" + std::to_string(i % 6));
  EXPECT_EQ(story.host.sheds.size(), before);
}

// Seen on sockets where a router has few servers and one is sick: what hung there was taken for a crowd.
TEST(Overload, WhatHangsAtOneSickServerShedsNothingElsewhere) {
  Story story;
  story.deployment.routers = 1;
  story.deployment.over_quota_value = 0.05;
  story.deployment.tenants.push_back({.name = "loud", .share = 0.5, .quota_per_s = 0.001});
  story.start(12);
  for (int i = 0; i < 60; ++i) story.honour("f" + std::to_string(i % 6));
  int hung = 0;
  for (int i = 0; i < 2'000 && hung < 12; ++i) {
    const RequestId id = story.event("g" + std::to_string(i), 60 * second);
    if (story.server_of(id) == "a") {
      ++hung;
    } else if (story.shots_of(id) > 0) {
      story.end(id, AttemptOutcome::succeeded);
    }
  }
  ASSERT_GE(hung, 8);
  story.pass(3 * second / 10);  // longer than usual, not yet overdue
  const std::size_t before = story.host.sheds.size();
  for (int i = 0; i < 4; ++i) story.event("f" + std::to_string(i), 3 * second, "loud");
  EXPECT_EQ(story.host.sheds.size(), before);
}

TEST(Overload, PartOfAQuotaUnderOneEventIsNotBeyondIt) {
  Story story;
  story.deployment.routers = 200;
  story.deployment.tenants.push_back({.name = "small", .share = 1, .quota_per_s = 100});
  story.start(0);
  for (int i = 0; i < 4; ++i) {
    const std::size_t before = story.host.sheds.size();
    story.event("f", 3 * second, "small");  // nobody may take it: within its share it waits
    EXPECT_EQ(story.host.sheds.size(), before);
    story.pass(2 * second);
  }
}

TEST(Overload, OverdueShotsAreNotAllDoubled) {
  Story story;
  story.deployment.retries.hedging = true;
  story.start(8);
  story.others(100);
  const std::size_t before = story.host.shots.size();
  for (int i = 0; i < 60; ++i) story.event("f" + std::to_string(i), 20 * second);
  story.pass(10 * second);
  EXPECT_GT(story.host.shots.size(), before + 60);
  EXPECT_LE(story.host.shots.size(), before + 60 + 20);
}

}  // namespace
}  // namespace rushhill
