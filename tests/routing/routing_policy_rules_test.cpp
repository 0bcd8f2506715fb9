// The whole routing policy keeps its five rules (docs/design.md, "Five rules"). A fake host records what it
// does.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fake_host.h"

namespace rushhill {
namespace {

TEST(Rule1FinalAnswer, EndsAnUnansweredRequestOnceBeforeItsClientLeaves) {
  RoutingPolicyHarness harness;
  harness.start(1);
  const RequestId id = harness.event("f", second);
  harness.pass(second - to_ticks(harness.deployment.tick));
  EXPECT_EQ(harness.finals(), 1U);
  harness.end(id, AttemptOutcome::unanswered);
  harness.pass(5 * second);
  EXPECT_EQ(harness.finals(), 1U);
  EXPECT_EQ(harness.shots_of(id), 1);
}

TEST(Rule1FinalAnswer, EndsARequestEvenIfThereIsNoEndpoint) {
  RoutingPolicyHarness harness;
  harness.start(0);
  harness.event("f", second);
  harness.pass(second);
  EXPECT_EQ(harness.finals(), 1U);
}

TEST(Rule2RetrySafety, RetriesAnAtMostOnceRequestOnlyIfItNeverRan) {
  RoutingPolicyHarness harness;
  harness.deployment.request_classes[0].retry_safety = RetrySafety::at_most_once;
  harness.start(4);
  const RequestId request = harness.event("f");
  harness.end(request, AttemptOutcome::overloaded);
  EXPECT_EQ(harness.shots_of(request), 2);
  harness.end(request, AttemptOutcome::error);
  EXPECT_EQ(harness.shots_of(request), 2);
  EXPECT_TRUE(harness.host.sheds.empty());
  EXPECT_EQ(harness.host.abandoned.size(), 1U);
}

TEST(Rule2RetrySafety, RetriesAKeyedRequestOnlyWithinItsScopeAndSpan) {
  RoutingPolicyHarness harness;
  RequestClass& request_class = harness.deployment.request_classes[0];
  request_class.retry_safety = RetrySafety::keyed;
  request_class.deduplication_scope = DeduplicationScope::location;
  request_class.deduplication_span = to_duration(second / 2);
  harness.start(0);
  for (const char* id : {"a", "b", "c", "d"})
    harness.change({.id = id, .location = id[0] < 'c' ? "left" : "right"});
  const RequestId id = harness.event("f");
  const bool sent_left = harness.server_of(id) < "c";
  harness.end(id, AttemptOutcome::connection_lost);
  ASSERT_EQ(harness.shots_of(id), 2);
  EXPECT_EQ(harness.server_of(id) < "c", sent_left);
  harness.pass(second);
  harness.end(id, AttemptOutcome::connection_lost);
  EXPECT_EQ(harness.shots_of(id), 2);
  EXPECT_EQ(harness.host.abandoned.size(), 1U);
}

TEST(Rule2RetrySafety, SendsNoHedgedRequestIfHedgingIsOff) {
  RoutingPolicyHarness harness;
  harness.start(4);
  const RequestId id = harness.event("f", 6 * second);
  harness.pass(4 * second);
  EXPECT_EQ(harness.shots_of(id), 1);
  EXPECT_FALSE(harness.host.called_off.empty());
  harness.end(id, AttemptOutcome::cancelled);
  EXPECT_EQ(harness.shots_of(id), 2);
}

TEST(Rule3Draining, SendsNothingToADrainingEndpoint) {
  RoutingPolicyHarness harness;
  harness.start(3);
  const EndpointId preferred_endpoint = harness.honour("f");
  const int before = harness.shots_at(preferred_endpoint);
  harness.change({.id = preferred_endpoint, .state = EndpointState::draining});
  for (int i = 0; i < 10; ++i) harness.honour("f");
  EXPECT_EQ(harness.shots_at(preferred_endpoint), before);
}

TEST(Rule4SlowStart, LimitsAColdEndpointToThisRoutersShareOfTheBudget) {
  RoutingPolicyHarness harness;
  harness.start(1);
  for (int i = 0; i < 50; ++i) harness.honour("f");  // ten requests a second, a tenth of a second each
  harness.change({.id = "b", .started = to_timestamp(harness.now)});
  harness.change({.id = "a", .state = EndpointState::draining});
  for (int i = 0; i < 40; ++i) harness.event("g", second);
  // The budget is twice a fifth of a warm endpoint's ten requests a second: four requests, less the margin.
  EXPECT_GE(harness.shots_at("b"), 3);
  EXPECT_LE(harness.shots_at("b"), 4);
}

// With 300 routers, the cores of new endpoints were four fifths idle while the old endpoints were full.
TEST(Rule4SlowStart, BudgetOfAColdEndpointIsLargerIfEndpointsReportIdleCores) {
  RoutingPolicyHarness harness;
  harness.deployment.reports.probes = harness.deployment.reports.gossip = true;
  harness.start(1);
  for (int i = 0; i < 50; ++i) harness.honour("f");
  for (int i = 0; i < 50; ++i) harness.router->gossip_received(to_timestamp(harness.now), 1, "a u25");
  harness.change({.id = "b", .started = to_timestamp(harness.now)});
  harness.change({.id = "a", .state = EndpointState::draining});
  for (int i = 0; i < 40; ++i) harness.event("g", second);
  EXPECT_GE(harness.shots_at("b"), 6) << "the budget doubles: the warm endpoint reports a quarter of its "
                                         "cores busy, and the factor is limited to 2";
  EXPECT_LE(harness.shots_at("b"), 8);
}

// One request is more than a router's share of the budget. The routers must use it in turn, and together they
// must not exceed it.
TEST(Rule4SlowStart, SharesBelowOneRequestAddUpOverTheRouters) {
  int attempts = 0;
  for (int router_number = 0; router_number < 100; ++router_number) {
    RoutingPolicyHarness harness;
    harness.deployment.routers = 100;
    harness.deployment.router_number = router_number;
    harness.seed = static_cast<std::uint64_t>(router_number);
    harness.last = 1000 * router_number;
    harness.start(4);
    for (int i = 0; i < 100; ++i) harness.honour("f" + std::to_string(i), "", 2 * second / 10);
    harness.change({.id = "x", .started = to_timestamp(harness.now)});
    for (int i = 0; i < 5; ++i) harness.honour("g" + std::to_string(i), "", 2 * second / 10);
    attempts += harness.shots_at("x");
  }
  // The endpoint's even share of all requests is 125 in that second. The budget is twice a fifth of that, 50.
  EXPECT_GE(attempts, 10);
  EXPECT_LE(attempts, 50);
}

TEST(Rule4SlowStart, EndpointThatDiedIsColdBeforeTheEndpointListSaysSo) {
  RoutingPolicyHarness harness;
  harness.deployment.reports.gossip = true;
  harness.start(2);
  for (int i = 0; i < 50; ++i) harness.honour("f");
  harness.router->gossip_received(to_timestamp(harness.now), 1, "a");
  const int before = harness.shots_at("a");
  for (int i = 0; i < 20; ++i) harness.event("f");
  EXPECT_LE(harness.shots_at("a") - before, 4);
  // An endpoint that has just answered counts as dead only after several lost connections in a row.
  const RequestId first = harness.event("f"), next = harness.event("f"), last = harness.event("f");
  ASSERT_EQ(harness.server_of(last), "b");
  harness.end(first, AttemptOutcome::connection_lost);
  harness.end(next, AttemptOutcome::connection_lost);
  harness.end(last, AttemptOutcome::connection_lost);
  EXPECT_EQ(harness.host.told, (std::vector<std::string>{"b c", "b c", "b"}));
}

TEST(Rule4SlowStart, LongSilentEndpointThatRefusesAConnectionHasDied) {
  RoutingPolicyHarness harness;
  harness.deployment.reports.gossip = true;
  harness.start(1);
  harness.honour("f");
  harness.pass(2 * second);
  harness.end(harness.event("f"), AttemptOutcome::connect_failed, CopyState::unknown, 1);
  EXPECT_EQ(harness.host.told, std::vector<std::string>{"a"});
}

TEST(Rule4SlowStart, LongSilentEndpointThatLosesAConnectionHasDiedIfThereIsNoGossip) {
  RoutingPolicyHarness harness;
  harness.start(1);
  for (int i = 0; i < 50; ++i) harness.honour("f");
  harness.pass(2 * second);
  const int before = harness.shots_at("a");
  harness.end(harness.event("f"), AttemptOutcome::connection_lost);
  for (int i = 0; i < 20; ++i) harness.event("f");
  EXPECT_LE(harness.shots_at("a") - before, 1 + 4);
}

// With 300 routers, no router had an answer from a given endpoint within the last second, so each took one
// lost connection for the endpoint's death and reported it to all. Within ten seconds nearly every endpoint
// counted as cold. Here the router and its peers lose one connection each, first far apart and then within a
// second.
TEST(Rule4SlowStart, OneConnectionLostAtEachOfThreeRoutersWithinASecondIsADeath) {
  RoutingPolicyHarness harness;
  harness.deployment.reports.gossip = true;
  harness.start(1);
  for (int i = 0; i < 50; ++i) harness.honour("f");
  harness.pass(2 * second);
  const auto count_admitted = [&] {
    const int before = harness.shots_at("a");
    for (int i = 0; i < 20; ++i) harness.event("f");
    return harness.shots_at("a") - before;
  };
  harness.router->gossip_received(to_timestamp(harness.now), 1, "a c");
  harness.pass(2 * second);
  harness.router->gossip_received(to_timestamp(harness.now), 1, "a c");
  harness.end(harness.event("f"), AttemptOutcome::connection_lost);
  EXPECT_EQ(harness.host.told, std::vector<std::string>{"a c"});
  EXPECT_GE(count_admitted(), 15) << "only two connections were lost within a second, and one long before";
  harness.router->gossip_received(to_timestamp(harness.now), 1, "a c");
  EXPECT_LE(count_admitted(), 4);
}

TEST(Rule5LoadBudget, OrdersNothingBeforeTheEarlierOrdersAreKnownAndCountsThem) {
  RoutingPolicyHarness harness;
  harness.deployment.copies.missing_copy_is_reported = harness.deployment.load_budget.restored_after_restart =
      true;
  harness.deployment.load_budget.window = to_duration(5 * second);
  harness.deployment.load_budget.free_loads = 3;
  harness.start(6);
  const auto receive_missing_functions = [&] {
    for (const char* function : {"f", "g", "h", "i"})
      harness.end(harness.event(function), AttemptOutcome::function_missing, CopyState::unknown);
  };
  receive_missing_functions();
  EXPECT_TRUE(harness.host.orders.empty());
  harness.router->load_budget_restored(to_timestamp(harness.now), 2);
  receive_missing_functions();
  EXPECT_EQ(harness.host.orders.size(), 1U);
}

TEST(Rule5LoadBudget, OrdersStayWithinTheLoadBudget) {
  RoutingPolicyHarness harness;
  harness.deployment.copies.missing_copy_is_reported = true;
  harness.deployment.load_budget.window = to_duration(5 * second);
  harness.deployment.load_budget.free_loads = 2;
  harness.start(6);
  for (const char* function : {"f", "g", "h", "i"}) {
    harness.end(harness.event(function), AttemptOutcome::function_missing, CopyState::unknown);
  }
  EXPECT_EQ(harness.host.orders.size(), 2U);
}

}  // namespace
}  // namespace rushhill
