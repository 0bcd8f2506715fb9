#include "routing/endpoint_monitor.h"

#include "routing/routing_parts_fixture.h"

namespace rushhill::routing {
namespace {

class EndpointMonitorTest : public RoutingPartsTest {
 protected:
  void end_contact(AttemptOutcome outcome, Duration duration = Duration{1}) {
    monitor.contact_ended(start, {.outcome = outcome, .taken = duration}, endpoint("a"));
  }
  bool died() { return endpoint("a").liveness.restarted_at() != Timestamp{}; }
};

TEST_F(EndpointMonitorTest, RefusedConnectionWithoutARecentAnswerShowsADeathAndNotifiesPeers) {
  copy("a").confirm(start);
  end_contact(AttemptOutcome::connect_failed);
  EXPECT_TRUE(died());
  EXPECT_FALSE(copy_believed("a"));
  EXPECT_EQ(host.told, std::vector<std::string>{"a"});
}

TEST_F(EndpointMonitorTest, ConnectTimeoutStartsABackoff) {
  end_contact(AttemptOutcome::connect_failed, one_second / 4);
  EXPECT_FALSE(died());
  EXPECT_TRUE(endpoint("a").liveness.backing_off(start));
  EXPECT_TRUE(host.told.empty());
}

TEST_F(EndpointMonitorTest, BroadcastsLostConnectionsAndTreatsTheThirdAsADeath) {
  end_contact(AttemptOutcome::succeeded);
  end_contact(AttemptOutcome::connection_lost);
  end_contact(AttemptOutcome::connection_lost);
  EXPECT_FALSE(died());
  end_contact(AttemptOutcome::connection_lost);
  EXPECT_TRUE(died());
  EXPECT_EQ(host.told, (std::vector<std::string>{"a c", "a c", "a"}));
}

TEST_F(EndpointMonitorTest, DoesNotForwardADeathAnnouncedByAPeer) {
  copy("a").confirm(start);
  monitor.gossip_received(start, "a");
  EXPECT_TRUE(died());
  EXPECT_FALSE(copy_believed("a"));
  EXPECT_TRUE(host.told.empty());
}

TEST_F(EndpointMonitorTest, IgnoresGossipAboutUnknownEndpoints) {
  monitor.gossip_received(start, "unknown");
  monitor.gossip_received(start, "");
  EXPECT_FALSE(died());
}

TEST_F(EndpointMonitorTest, UtilizationChangesWeightsAndIsBroadcastOnlyFromProbes) {
  monitor.load_reported(start, {{"util", 0.5}}, endpoint("b"));
  EXPECT_EQ(parts.fleet_load.utilization(), 0.5);
  monitor.load_reported(start, {{"other", 1}}, endpoint("a"));
  EXPECT_EQ(endpoint("a").placement_weight.factor(), 1);
  EXPECT_TRUE(host.told.empty());
  monitor.probe_ended(start, {.endpoint = "a", .report = {{"util", 1.0}}});
  EXPECT_LT(endpoint("a").placement_weight.factor(), 1);
  EXPECT_EQ(host.told, std::vector<std::string>{"a u100"});
}

TEST_F(EndpointMonitorTest, JudgesAnAttemptOnce) {
  Attempt attempt{.endpoint = "a"};
  monitor.judge_attempt(start, true, attempt, endpoint("a"));
  monitor.judge_attempt(start, true, attempt, endpoint("a"));
  EXPECT_EQ(endpoint("a").history.all(start).judged, 1);
}

class ProbingMonitorTest : public RoutingPartsTest {
 protected:
  static RoutingConfiguration probing_configuration() {
    RoutingConfiguration configuration = default_configuration();
    configuration.routers = 1;
    configuration.reports.probes = true;
    configuration.reports.load_reports = "probe";
    return configuration;
  }
  ProbingMonitorTest() : RoutingPartsTest(probing_configuration()) {}
};

TEST_F(ProbingMonitorTest, ProbesOncePerPeriodAndSpendsAToken) {
  monitor.probe_if_assigned(start, endpoint("a"));
  monitor.probe_if_assigned(start, endpoint("a"));
  EXPECT_EQ(host.probes, std::vector<EndpointId>{"a"});
  EXPECT_EQ(endpoint("a").tokens.level(), -1);
  monitor.probe_if_assigned(start + 3 * one_second, endpoint("a"));
  EXPECT_EQ(host.probes.size(), 2U);
}

}  // namespace
}  // namespace rushhill::routing
