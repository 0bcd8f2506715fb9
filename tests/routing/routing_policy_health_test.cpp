// The whole routing policy reacts to failures, silence and load reports of endpoints: it must avoid faulty
// endpoints and must not mistake healthy ones for restarted. A fake host records what the policy does.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fake_host.h"

namespace rushhill {
namespace {

// With 300 routers, a network partition between locations made the endpoints beyond it count as dead, and as
// cold once the partition had healed. Here connections to "a" time out for a while.
TEST(RoutingPolicyHealth, BacksOffFromAnUnreachableEndpointAndStillTreatsItAsWarm) {
  RoutingPolicyHarness harness;
  harness.deployment.reports.gossip = true;
  harness.deployment.connect_timeout = to_duration(second / 4);
  harness.deployment.slow_start.warm_up_span = to_duration(60 * second);
  harness.start(2);
  for (int i = 0; i < 60; ++i) harness.honour("f" + std::to_string(i % 6), "", second / 100);
  const auto attempts_at_unreachable = [&] {
    int attempts = 0;
    for (int i = 0; i < 12; ++i) {
      const RequestId id = harness.event("f" + std::to_string(i % 6));
      if (harness.server_of(id) == "a")
        ++attempts, harness.end(id, AttemptOutcome::connect_failed, CopyState::unknown, second / 4);
      harness.end(id, AttemptOutcome::succeeded);
      harness.pass(second / 100);
    }
    return attempts;
  };
  EXPECT_EQ(attempts_at_unreachable(), 1);
  harness.pass(second);
  EXPECT_EQ(attempts_at_unreachable(), 1) << "the endpoint is tried once more after the backoff";
  EXPECT_EQ(attempts_at_unreachable(), 0);
  EXPECT_TRUE(harness.host.told.empty());
  harness.pass(5 * second);
  const int before = harness.shots_at("a");
  for (int i = 0; i < 60; ++i) harness.honour("f" + std::to_string(i % 6), "", second / 100);
  EXPECT_GE(harness.shots_at("a") - before, 15);
}

// A false report that one endpoint had died made a sixth of the fleet unavailable for a whole warm-up span.
// Here a peer reports that "a" died, and "a" then answers a request that it received before.
TEST(RoutingPolicyHealth, AnswerToAnEarlierRequestRefutesAReportedDeath) {
  RoutingPolicyHarness harness;
  harness.deployment.reports.gossip = true;
  harness.start(1);
  for (int i = 0; i < 50; ++i) harness.honour("f");
  const RequestId open_request = harness.event("f");
  harness.pass(second / 100);
  harness.router->gossip_received(to_timestamp(harness.now), 1, "a");
  for (int i = 0; i < 20; ++i) harness.event("f");
  const int attempts_while_cold = harness.shots_at("a");
  EXPECT_LE(attempts_while_cold, 50 + 1 + 4);
  harness.pass(second / 100);
  harness.end(open_request, AttemptOutcome::succeeded);
  for (int i = 0; i < 20; ++i) harness.event("f");
  EXPECT_GE(harness.shots_at("a"), attempts_while_cold + 10);
}

// A draining endpoint looks idle and warm, and it rejected every request until the endpoint list reported
// that it was draining. Here "a" rejects all requests.
TEST(RoutingPolicyHealth, BacksOffFromAnEndpointThatRejectsEverythingAndTriesItAgain) {
  RoutingPolicyHarness harness;
  harness.start(3);
  for (int i = 0; i < 90; ++i) harness.honour("f" + std::to_string(i % 9), "", second / 100);
  // Rejects every attempt at "a". Attempts at other endpoints succeed.
  const auto receive_requests = [&](int count) {
    for (int i = 0; i < count; ++i) {
      const RequestId id = harness.event("f" + std::to_string(i % 9));
      for (int attempts = 0; harness.server_of(id) == "a" && harness.shots_of(id) > attempts;) {
        attempts = harness.shots_of(id);
        harness.end(id, AttemptOutcome::overloaded, CopyState::unknown);
      }
      harness.pass(second / 100);
      if (harness.server_of(id) != "a") harness.end(id, AttemptOutcome::succeeded);
    }
  };
  int attempts_before = harness.shots_at("a");
  receive_requests(90);
  EXPECT_LE(harness.shots_at("a") - attempts_before, 9)
      << "within 0.9 s, three attempts and then further ones after doubling pauses";
  attempts_before = harness.shots_at("a");
  harness.pass(second);
  receive_requests(60);
  EXPECT_GT(harness.shots_at("a"), attempts_before) << "the endpoint is tried again after the backoff";
}

// Occasional connection resets made every router treat every endpoint as restarted and cold, and nearly all
// requests were shed from then on. Here every fifth request is followed by one whose connection fails.
TEST(RoutingPolicyHealth, OccasionalLostConnectionsDoNotCountAsADeath) {
  RoutingPolicyHarness harness;
  harness.deployment.reports.gossip = true;
  harness.start(2);
  for (int i = 0; i < 200; ++i) {
    harness.honour("f" + std::to_string(i % 7), "", second / 20);
    if (i % 5 != 4) continue;
    const RequestId id = harness.event("f1");
    harness.end(id, i % 10 == 4 ? AttemptOutcome::connection_lost : AttemptOutcome::connect_failed);
    harness.end(id, AttemptOutcome::succeeded);
  }
  EXPECT_EQ(std::ranges::count(harness.host.told, "a") + std::ranges::count(harness.host.told, "b"), 0);
  EXPECT_TRUE(harness.host.sheds.empty());
}

TEST(RoutingPolicyHealth, RetriesAFailedRequestAtAnotherEndpoint) {
  RoutingPolicyHarness harness;
  harness.start(6);
  harness.others(200);
  harness.honour("f");
  const RequestId id = harness.event("f");
  const EndpointId preferred_endpoint = harness.server_of(id);
  harness.end(id, AttemptOutcome::error);
  EXPECT_EQ(harness.shots_of(id), 2);
  EXPECT_NE(harness.server_of(id), preferred_endpoint);
}

TEST(RoutingPolicyProbes, OneRouterProbesEachEndpointAndSendsTheResultToTheOthers) {
  std::map<EndpointId, int> probed;
  for (int router_number = 0; router_number < 20; ++router_number) {
    RoutingPolicyHarness harness;
    harness.deployment.routers = 20;
    harness.deployment.router_number = router_number;
    harness.deployment.reports.probes = harness.deployment.reports.gossip = true;
    harness.deployment.reports.load_reports = "probe";
    harness.start(10);
    harness.now = 3 * second * 1000 - 1;
    harness.pass(second);
    for (const EndpointId& endpoint : harness.host.probes) ++probed[endpoint];
    if (harness.host.probes.empty()) continue;
    harness.router->probe_ended(to_timestamp(harness.now), {.endpoint = "a", .report = {{"util", 0.5}}});
    EXPECT_EQ(harness.host.told.back(), "a u50");
  }
  EXPECT_EQ(probed.size(), 10U);
  for (const auto& [endpoint, count] : probed) EXPECT_LE(count, 2);
}

TEST(RoutingPolicyHealth, MovesRequestsFromASilentEndpointAndAvoidsIt) {
  RoutingPolicyHarness harness;
  harness.deployment.request_classes[0].latency_objective = to_duration(6 * second);
  harness.start(4);
  for (int i = 0; i < 60; ++i) harness.honour("f");
  std::vector<RequestId> requests;
  for (int i = 0; i < 12; ++i) requests.push_back(harness.event("f", 8 * second));
  const EndpointId silent = harness.server_of(requests[0]);
  harness.pass(second / 10);
  for (const RequestId id : requests) {
    if (harness.server_of(id) != silent) harness.end(id, AttemptOutcome::succeeded);
  }
  for (int i = 0; i < 30; ++i) EXPECT_NE(harness.honour("f"), silent);
  EXPECT_FALSE(harness.host.called_off.empty());
  for (const auto& [id, attempt_number] : harness.host.called_off) {
    harness.end(id, AttemptOutcome::cancelled);
    EXPECT_NE(harness.server_of(id), silent);
  }
}

}  // namespace
}  // namespace rushhill
