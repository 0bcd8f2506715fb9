// The whole routing policy places requests and copies of functions: alike at all routers, and with few loads.
// A fake host records what the policy does.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fake_host.h"

namespace rushhill {
namespace {

TEST(RoutingPolicyPlacement, SendsAFunctionToTheEndpointThatAnsweredIt) {
  RoutingPolicyHarness harness;
  harness.start(6);
  harness.others(200);
  const EndpointId preferred_endpoint = harness.honour("f");
  for (int i = 0; i < 5; ++i) {
    harness.others(20);
    EXPECT_EQ(harness.honour("f"), preferred_endpoint);
  }
}

TEST(RoutingPolicyPlacement, SpreadsAHotFunctionBeyondItsLanes) {
  RoutingPolicyHarness harness;
  harness.start(6);
  std::set<EndpointId> used;
  for (int i = 0; i < 12; ++i) used.insert(harness.server_of(harness.event("f")));
  EXPECT_GE(used.size(), 3U);
}

TEST(RoutingPolicyPlacement, SurgeOfOneFunctionStartsFewLoads) {
  RoutingPolicyHarness harness;
  harness.start(20);
  harness.others(300);
  harness.honour("f");
  std::set<EndpointId> used;
  for (int i = 0; i < 30; ++i) used.insert(harness.server_of(harness.event("f")));
  EXPECT_LE(used.size(), 8U);
}

// Each of 100 routers sees few requests. Without replicas, all would send a hot function to its first
// endpoint.
TEST(RoutingPolicyPlacement, HotFunctionHasTheSameReplicasAtEveryRouter) {
  std::map<EndpointId, int> used;
  for (int router_number = 0; router_number < 100; ++router_number) {
    RoutingPolicyHarness harness;
    harness.deployment.routers = 100;
    harness.deployment.router_number = router_number;
    harness.seed = static_cast<std::uint64_t>(router_number);
    harness.start(20);
    harness.others(100);
    for (int i = 0; i < 10; ++i) ++used[harness.honour("f")];
  }
  int max_count = 0;
  for (const auto& [endpoint, count] : used) max_count = std::max(max_count, count);
  EXPECT_GE(used.size(), 4U);
  EXPECT_LE(used.size(), 12U);
  EXPECT_LE(max_count, 500);
}

TEST(RoutingPolicyPlacement, PrefersABusyEndpointForFewerFunctions) {
  RoutingPolicyHarness harness;
  harness.deployment.copies.state_is_reported = false;
  harness.deployment.request_classes[0].latency_objective = to_duration(3 * second);
  harness.start(10);
  const auto functions_at_a = [&](const char* prefix) {
    int count = 0;
    for (int i = 0; i < 200; ++i)
      count += harness.honour(prefix + std::to_string(i), "", second / 20) == "a" ? 1 : 0;
    return count;
  };
  const int before = functions_at_a("f");
  for (int i = 0; i < 100; ++i) {
    const RequestId id = harness.event("g" + std::to_string(i));
    harness.pass(second);
    const EndpointId endpoint = harness.server_of(id);
    harness.router->attempt_ended(to_timestamp(harness.now),
                                  {.request = id,
                                   .endpoint = endpoint,
                                   .final = true,
                                   .taken = to_duration(second),
                                   .report = {{"util", endpoint == "a" ? 1.0 : 0.4}}});
  }
  const int after = functions_at_a("h");
  EXPECT_GE(before, 8);
  EXPECT_LT(2 * after, before);
}

TEST(RoutingPolicyPlacement, RoutersPlaceFunctionsAlikeWithoutMessages) {
  RoutingPolicyHarness one;
  RoutingPolicyHarness other;
  other.deployment.router_number = 1;
  other.seed = 8;
  one.start(9);
  other.start(9);
  for (const char* function : {"f", "g", "h", "i"}) EXPECT_EQ(one.honour(function), other.honour(function));
}

TEST(RoutingPolicyPlacement, RestartedEndpointHasNoCopies) {
  for (const char* function : {"f", "g", "h", "i", "j", "k"}) {
    RoutingPolicyHarness harness;
    harness.deployment.copies.keep_alive = to_duration(60 * second);
    harness.start(6);
    const EndpointId preferred_endpoint = harness.honour(function);
    harness.change({.id = preferred_endpoint, .state = EndpointState::draining});
    const EndpointId other = harness.honour(function);
    harness.change({.id = preferred_endpoint, .started = to_timestamp(harness.now - 20 * second)});
    harness.pass(25 * second);  // the function is no longer hot, so only the index counts
    EXPECT_EQ(harness.server_of(harness.event(function)), other);
  }
}

TEST(RoutingPolicyPrewarm, OrdersAMissingCopyAndRetriesAtTheSameEndpoint) {
  RoutingPolicyHarness harness;
  harness.deployment.copies.missing_copy_is_reported = true;
  harness.start(6);
  const RequestId id = harness.event("f");
  const EndpointId endpoint = harness.server_of(id);
  harness.end(id, AttemptOutcome::function_missing, CopyState::unknown);
  ASSERT_EQ(harness.host.orders.size(), 1U);
  EXPECT_EQ(harness.host.orders[0].first, endpoint);
  EXPECT_EQ(harness.shots_of(id), 1);
  harness.pass(second / 4);
  harness.router->prewarm_ended(to_timestamp(harness.now),
                                {.endpoint = endpoint, .function = "f", .copies = 1});
  EXPECT_EQ(harness.shots_of(id), 2);
  EXPECT_EQ(harness.server_of(id), endpoint);
}

// With 300 routers, the first request that each router received for a hot function went to the same endpoint.
// Here 60 routers receive a hot function first, and a rare one after many other requests.
TEST(RoutingPolicyPlacement, FunctionSeenFirstIsSpreadAndFunctionSeenLateIsNot) {
  std::set<EndpointId> used_for_hot, used_for_rare;
  for (int router_number = 0; router_number < 60; ++router_number) {
    RoutingPolicyHarness harness;
    harness.deployment.routers = 60;
    harness.deployment.router_number = router_number;
    harness.seed = static_cast<std::uint64_t>(router_number);
    harness.start(0);
    std::vector<Endpoint> list;
    for (int i = 0; i < 80; ++i) list.push_back({.id = "s" + std::to_string(i)});
    harness.router->endpoints_updated(to_timestamp(harness.now), EndpointListForm::complete, list);
    used_for_hot.insert(harness.honour("hot"));
    for (int i = 0; i < 150; ++i) harness.honour("f" + std::to_string(i % 50), "", second / 100);
    used_for_rare.insert(harness.honour("rare"));
  }
  EXPECT_GE(used_for_hot.size(), 4U);
  EXPECT_LE(used_for_hot.size(), 8U);
  EXPECT_EQ(used_for_rare.size(), 1U);
}

}  // namespace
}  // namespace rushhill
