#include "routing/periodic_maintenance.h"

#include "routing/routing_parts_fixture.h"

namespace rushhill::routing {
namespace {

class PeriodicMaintenanceTest : public RoutingPartsTest {
 protected:
  PeriodicMaintenanceTest() { maintenance.start(start); }

  RequestDispatcher dispatcher{parts, monitor};
  PeriodicMaintenance maintenance{parts, monitor, dispatcher};
};

TEST_F(PeriodicMaintenanceTest, CountsTheEndpointsThatMayReceiveRequests) {
  parts.endpoints.update({.id = "c", .state = EndpointState::draining});
  maintenance.run(start + one_second);
  EXPECT_EQ(parts.outliers.serving_endpoints(), 2);
  EXPECT_EQ(parts.observation.interval(), 2 * one_second);
}

TEST_F(PeriodicMaintenanceTest, RefillsTheTokensOfWarmingEndpointsForTheElapsedTime) {
  endpoint("a").endpoint.started = start;
  endpoint("b").tokens = SlowStartTokens(2.5);
  maintenance.run(start + one_second / 10);
  EXPECT_GT(endpoint("a").tokens.level(), 0);
  EXPECT_EQ(endpoint("b").tokens.level(), 0.5) << "a warm endpoint keeps only the fraction of its tokens";
}

TEST_F(PeriodicMaintenanceTest, ComputesTheFleetPaceFromEndpointsWithEnoughAnswers) {
  for (const char* id : {"a", "b"}) {
    for (int i = 0; i < 3; ++i) endpoint(id).history.add_pace(start, 2);
  }
  endpoint("c").history.add_pace(start, 90);
  maintenance.run(start);
  EXPECT_EQ(parts.estimates.fleet_pace(), 2);
}

TEST_F(PeriodicMaintenanceTest, ErasesExpiredCopiesRemovedEndpointsAndFinishedRequests) {
  copy("a").confirm(start);
  parts.endpoints.remove(start, endpoint("c"));
  parts.requests.finish(track(1));
  maintenance.run(start + 121 * one_second);
  EXPECT_EQ(parts.functions.at("f").copies.size(), 0U);
  EXPECT_EQ(parts.endpoints.find("c"), nullptr);
  EXPECT_EQ(parts.requests.find(1), nullptr);
}

// Guards against final answers after the deadline, where the timers of this router fire late.
TEST_F(PeriodicMaintenanceTest, EndsARequestWhoseDeadlineMayPassBeforeALateTimerIsNoticed) {
  constexpr Duration lateness = one_second / 2;
  TrackedRequest& tracked = track(1);
  tracked.request.time_left = 3 * one_second + tick;  // the deadline is that long after the start
  const Duration run_interval = PeriodicMaintenance::period + lateness;
  maintenance.run(start + run_interval);
  maintenance.run(start + 2 * run_interval);
  maintenance.run(start + 3 * run_interval);  // after 1.8 s; the next runs are due after 2.4 and 3 s
  EXPECT_TRUE(host.sheds.empty());
  maintenance.run(start + 4 * run_interval);
  EXPECT_EQ(host.sheds, std::vector<RequestId>{1});
}

TEST_F(PeriodicMaintenanceTest, LeavesDeadlinesToTheirTimersWhereTimersArePunctual) {
  TrackedRequest& tracked = track(1);
  tracked.request.time_left = 3 * one_second + tick;
  const int runs = 30;
  for (int run = 1; run <= runs; ++run) maintenance.run(start + run * PeriodicMaintenance::period);
  EXPECT_TRUE(host.sheds.empty());
}

TEST_F(PeriodicMaintenanceTest, DoesNotEndARequestInTheFirstHalfOfItsTime) {
  TrackedRequest& tracked = track(1);
  tracked.request.time_left = 3 * one_second + tick;
  maintenance.run(start + one_second);  // 0.9 s late; 1.9 s before the deadline
  maintenance.run(start + one_second + PeriodicMaintenance::period);
  EXPECT_TRUE(host.sheds.empty());
  maintenance.run(start + 2 * one_second);
  EXPECT_EQ(host.sheds, std::vector<RequestId>{1});
}

TEST_F(PeriodicMaintenanceTest, DispatchesWaitingRequests) {
  TrackedRequest& tracked = track(1);
  parts.requests.add_waiting(tracked);
  maintenance.run(start);
  EXPECT_EQ(host.shots.size(), 1U);
}

}  // namespace
}  // namespace rushhill::routing
