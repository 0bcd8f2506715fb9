// The whole routing policy sheds requests in an overload, and only then: it must reject early what would be
// late, and must not mistake single slow or silent endpoints for an overload. A fake host records what the
// policy does.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fake_host.h"

namespace rushhill {
namespace {

TEST(RoutingPolicyOverload, ShedsARequestThatCannotBeAnsweredBeforeItsClientLeaves) {
  RoutingPolicyHarness harness;
  harness.start(4);
  for (int i = 0; i < 60; ++i) harness.honour("f");  // a tenth of a second each
  const RequestId short_lived = harness.event("f", second / 20);
  EXPECT_EQ(harness.shots_of(short_lived), 0);
  EXPECT_EQ(harness.host.sheds.size(), 1U);
  EXPECT_EQ(harness.shots_of(harness.event("f", second / 2)), 1);
}

TEST(RoutingPolicyOverload, ShedsAShareOfTheRequestsWhenLoadedCopiesAreSlow) {
  RoutingPolicyHarness harness;
  harness.start(4);
  for (int i = 0; i < 60; ++i) harness.honour("f", "", 6 * second / 10);
  EXPECT_TRUE(harness.host.sheds.empty());
  for (int i = 0; i < 30; ++i) {
    const RequestId id = harness.event("f");
    harness.pass(second / 10);
    if (harness.shots_of(id) > 0)
      harness.end(id, AttemptOutcome::succeeded, CopyState::loaded, 8 * second / 10);
  }
  EXPECT_GE(harness.host.sheds.size(), 5U);
  EXPECT_LE(harness.host.sheds.size(), 29U);
}

// A fleet that answers 40 requests a second in the order of arrival. At that rate each takes a tenth of a
// second.
struct LoadedFleet : RoutingPolicyHarness {
  void start_at_capacity() {
    start(12);
    receive_requests(200, "quiet", 1);
  }
  // Receives `for_each_answer` requests for each answer: 1 is the fleet's capacity, 2 is twice as many.
  void receive_requests(int requests, const std::string& tenant, int for_each_answer) {
    for (int i = 0; i < requests; ++i) {
      const RequestId id = event("f" + std::to_string(i % 6), 3 * second, tenant);
      if (shots_of(id) > 0) open_requests.push_back({id, now});
      pass(second / 40 / for_each_answer);
      if (i % for_each_answer != 0 || open_requests.size() < 4) continue;
      const auto [first, sent] = open_requests.front();
      open_requests.erase(open_requests.begin());
      end(first, AttemptOutcome::succeeded, CopyState::loaded, now - sent);
    }
  }
  std::vector<std::pair<RequestId, Time>> open_requests;
};

TEST(RoutingPolicyOverload, OpenRequestsShowAnOverloadBeforeAnAnswerIsLate) {
  LoadedFleet fleet;
  fleet.start_at_capacity();
  ASSERT_TRUE(fleet.host.sheds.empty());
  fleet.receive_requests(240, "quiet", 2);
  EXPECT_LE(fleet.open_requests.size(), 40U);  // answered within a second, the latency objective
  EXPECT_GE(fleet.open_requests.size(), 10U);
}

// Requests beyond a quota are worth little, but a queue of them would delay the requests of other tenants.
TEST(RoutingPolicyOverload, ShedsRequestsBeyondAQuotaFirst) {
  LoadedFleet fleet;
  fleet.deployment.request_classes[0].latency_objective = to_duration(2 * second);
  fleet.deployment.routers = 1;
  fleet.deployment.over_quota_value = 0.05;
  fleet.deployment.tenants.push_back({.name = "loud", .share = 0.5, .quota_per_s = 1});
  fleet.deployment.tenants.push_back({.name = "quiet", .share = 0.5, .quota_per_s = 1000});
  fleet.start_at_capacity();
  fleet.receive_requests(240, "loud", 2);
  EXPECT_LE(fleet.open_requests.size(), 20U);
  const std::size_t attempts_before = fleet.host.shots.size();
  fleet.event("f1", 3 * second, "quiet");
  EXPECT_EQ(fleet.host.shots.size(), attempts_before + 1);
}

// Requests that are stuck at a silent endpoint are no overload, because the other endpoints are as free as
// before.
TEST(RoutingPolicyOverload, RequestsAtASilentEndpointCauseNoShedding) {
  RoutingPolicyHarness harness;
  harness.start(12);
  for (int i = 0; i < 60; ++i) harness.honour("f" + std::to_string(i % 6));
  for (int i = 0; i < 8; ++i) harness.event("g", 60 * second);  // never answered
  harness.pass(2 * second);
  const std::size_t before = harness.host.sheds.size();
  for (int i = 0; i < 60; ++i) harness.honour("f" + std::to_string(i % 6));
  EXPECT_EQ(harness.host.sheds.size(), before);
}

// At a router with few endpoints, the requests stuck at one faulty endpoint were taken for an overload.
TEST(RoutingPolicyOverload, RequestsStuckAtOneFaultyEndpointCauseNoShedding) {
  RoutingPolicyHarness harness;
  harness.deployment.routers = 1;
  harness.deployment.over_quota_value = 0.05;
  harness.deployment.tenants.push_back({.name = "loud", .share = 0.5, .quota_per_s = 0.001});
  harness.start(12);
  for (int i = 0; i < 60; ++i) harness.honour("f" + std::to_string(i % 6));
  int stuck = 0;
  for (int i = 0; i < 2'000 && stuck < 12; ++i) {
    const RequestId id = harness.event("g" + std::to_string(i), 60 * second);
    if (harness.server_of(id) == "a") {
      ++stuck;
    } else if (harness.shots_of(id) > 0) {
      harness.end(id, AttemptOutcome::succeeded);
    }
  }
  ASSERT_GE(stuck, 8);
  harness.pass(3 * second / 10);  // longer than usual, not yet overdue
  const std::size_t before = harness.host.sheds.size();
  for (int i = 0; i < 4; ++i) harness.event("f" + std::to_string(i), 3 * second, "loud");
  EXPECT_EQ(harness.host.sheds.size(), before);
}

TEST(RoutingPolicyOverload, RequestsWithinAQuotaOfLessThanOneASecondAreNotBeyondIt) {
  RoutingPolicyHarness harness;
  harness.deployment.routers = 200;
  harness.deployment.tenants.push_back({.name = "small", .share = 1, .quota_per_s = 100});
  harness.start(0);
  for (int i = 0; i < 4; ++i) {
    const std::size_t before = harness.host.sheds.size();
    harness.event("f", 3 * second, "small");  // no endpoint exists, so a request within its quota waits
    EXPECT_EQ(harness.host.sheds.size(), before);
    harness.pass(2 * second);
  }
}

TEST(RoutingPolicyOverload, HedgesOnlyAFewOverdueAttempts) {
  RoutingPolicyHarness harness;
  harness.deployment.retries.hedging = true;
  harness.start(8);
  harness.others(100);
  const std::size_t before = harness.host.shots.size();
  for (int i = 0; i < 60; ++i) harness.event("f" + std::to_string(i), 20 * second);
  harness.pass(10 * second);
  EXPECT_GT(harness.host.shots.size(), before + 60);
  EXPECT_LE(harness.host.shots.size(), before + 60 + 20);
}

}  // namespace
}  // namespace rushhill
