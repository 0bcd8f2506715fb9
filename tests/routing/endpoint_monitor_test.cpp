#include "routing/endpoint_monitor.h"

#include "routing/routing_parts_fixture.h"

namespace rushhill::routing {
namespace {

class EndpointMonitorTest : public RoutingPartsTest {
 protected:
  void contact(AttemptOutcome outcome, Duration taken = Duration{1}) {
    monitor.contact_ended(start, {.outcome = outcome, .taken = taken}, endpoint("a"));
  }
  bool died() { return endpoint("a").liveness.restarted_at() != Timestamp{}; }
};

TEST_F(EndpointMonitorTest, RefusedConnectionOfASilentEndpointIsADeathThatPeersAreTold) {
  copy("a").confirm(start);
  contact(AttemptOutcome::connect_failed);
  EXPECT_TRUE(died());
  EXPECT_FALSE(copy_believed("a"));
  EXPECT_EQ(host.told, std::vector<std::string>{"a"});
}

TEST_F(EndpointMonitorTest, ConnectionThatNeverComesUpStartsABackoff) {
  contact(AttemptOutcome::connect_failed, one_second / 4);
  EXPECT_FALSE(died());
  EXPECT_TRUE(endpoint("a").liveness.backing_off(start));
  EXPECT_TRUE(host.told.empty());
}

TEST_F(EndpointMonitorTest, LostConnectionIsToldToThePeersAndTheThirdIsADeath) {
  contact(AttemptOutcome::succeeded);
  contact(AttemptOutcome::connection_lost);
  contact(AttemptOutcome::connection_lost);
  EXPECT_FALSE(died());
  contact(AttemptOutcome::connection_lost);
  EXPECT_TRUE(died());
  EXPECT_EQ(host.told, (std::vector<std::string>{"a c", "a c", "a"}));
}

TEST_F(EndpointMonitorTest, PeersWordOfADeathIsNotPassedOn) {
  copy("a").confirm(start);
  monitor.gossip_received(start, "a");
  EXPECT_TRUE(died());
  EXPECT_FALSE(copy_believed("a"));
  EXPECT_TRUE(host.told.empty());
}

TEST_F(EndpointMonitorTest, GossipOfUnknownEndpointsIsIgnored) {
  monitor.gossip_received(start, "unknown");
  monitor.gossip_received(start, "");
  EXPECT_FALSE(died());
}

TEST_F(EndpointMonitorTest, UtilizationMovesTheWeightsAndIsToldToThePeersFromProbesAlone) {
  monitor.load_reported(start, {{"util", 0.5}}, endpoint("b"));
  EXPECT_EQ(parts.fleet_load.utilization(), 0.5);
  monitor.load_reported(start, {{"other", 1}}, endpoint("a"));
  EXPECT_EQ(endpoint("a").placement_weight.factor(), 1);
  EXPECT_TRUE(host.told.empty());
  monitor.probe_ended(start, {.endpoint = "a", .report = {{"util", 1.0}}});
  EXPECT_LT(endpoint("a").placement_weight.factor(), 1);
  EXPECT_EQ(host.told, std::vector<std::string>{"a u100"});
}

TEST_F(EndpointMonitorTest, AttemptIsJudgedOnce) {
  Attempt attempt{.endpoint = "a"};
  monitor.judge_attempt(start, true, attempt, endpoint("a"));
  monitor.judge_attempt(start, true, attempt, endpoint("a"));
  EXPECT_EQ(endpoint("a").history.all(start).judged, 1);
}

class ProbingMonitorTest : public RoutingPartsTest {
 protected:
  static RoutingConfiguration probing() {
    RoutingConfiguration configuration = default_configuration();
    configuration.routers = 1;
    configuration.reports.probes = true;
    configuration.reports.load_reports = "probe";
    return configuration;
  }
  ProbingMonitorTest() : RoutingPartsTest(probing()) {}
};

TEST_F(ProbingMonitorTest, ProbesOnceAPeriodForAToken) {
  monitor.probe_by_turn(start, endpoint("a"));
  monitor.probe_by_turn(start, endpoint("a"));
  EXPECT_EQ(host.probes, std::vector<EndpointId>{"a"});
  EXPECT_EQ(endpoint("a").tokens.level(), -1);
  monitor.probe_by_turn(start + 3 * one_second, endpoint("a"));
  EXPECT_EQ(host.probes.size(), 2U);
}

}  // namespace
}  // namespace rushhill::routing
