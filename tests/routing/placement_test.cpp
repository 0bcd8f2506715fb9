#include "routing/placement.h"

#include <gtest/gtest.h>

#include <string>

namespace rushhill::routing {
namespace {

constexpr Timestamp now{100 * one_second};

class PlacementTest : public ::testing::Test {
 protected:
  void list_endpoints(int count, EndpointState state = EndpointState::active) {
    endpoints.increment_version();
    for (int i = 0; i < count; ++i) endpoints.update({.id = "box-" + std::to_string(i), .state = state});
  }
  std::vector<EndpointId> order(const FunctionId& id) {
    placement.rank(now, id, function);
    std::vector<EndpointId> ids;
    for (const auto& candidate : function.candidates()) ids.push_back(candidate.endpoint->endpoint.id);
    return ids;
  }
  void receive_requests(int requests) {
    for (int i = 0; i < requests; ++i) {
      function.count_request(now);
      observation.request_received(now);
    }
  }

  EndpointTable endpoints;
  ObservationWindow observation;
  Placement placement{endpoints, observation};
  FunctionPlacement function;
};

TEST_F(PlacementTest, OrderDependsOnTheFunctionAlone) {
  list_endpoints(10);
  const auto first = order("f");
  EXPECT_EQ(first.size(), 10U);
  FunctionPlacement second;
  placement.rank(now, "f", second);
  EXPECT_EQ(second.candidates().front().endpoint->endpoint.id, first.front());
  function = {};
  EXPECT_NE(order("g"), first);
}

TEST_F(PlacementTest, OnlyEndpointsThatMayReceiveRequestsAreCandidates) {
  list_endpoints(10);
  endpoints.increment_version();
  endpoints.update({.id = "box-3", .state = EndpointState::draining});
  const auto ids = order("f");
  EXPECT_EQ(ids.size(), 9U);
  EXPECT_EQ(std::ranges::count(ids, "box-3"), 0);
}

TEST_F(PlacementTest, EndpointOfLowerWeightIsFirstForFewerFunctions) {
  list_endpoints(10);
  const auto first_of_box_0 = [&] {
    int count = 0;
    for (int i = 0; i < 500; ++i) {
      function = {};
      count += order("f" + std::to_string(i)).front() == "box-0" ? 1 : 0;
    }
    return count;
  };
  EXPECT_NEAR(first_of_box_0(), 50, 25);
  for (int i = 0; i < 10; ++i) endpoints.at("box-0").placement_weight.observe(1, 1);
  EXPECT_NEAR(first_of_box_0(), 500 / (1 + 9 * 4.5), 9);
}

TEST_F(PlacementTest, FunctionThatIsNotHotHasNoReplicas) {
  list_endpoints(10);
  receive_requests(1);
  order("f");
  EXPECT_EQ(function.replicas(), 0);
}

TEST_F(PlacementTest, ReplicaCountFollowsTheFunctionsShareOfTheRequests) {
  list_endpoints(10);
  receive_requests(61);  // 60 besides the first; 61 and a prior of 20 in all
  order("f");
  EXPECT_EQ(function.replicas(), 1 + static_cast<int>(60.0 / 81 / 0.3 * 10));
}

TEST(PlacementWeight, FallsForABusyEndpointAndRisesForAnIdleOneWithinBounds) {
  PlacementWeight weight;
  EXPECT_EQ(weight.factor(), 1);
  weight.observe(0.5, 0.1);
  EXPECT_DOUBLE_EQ(weight.factor(), std::exp(-0.05));
  for (int i = 0; i < 100; ++i) weight.observe(9, 1);
  EXPECT_DOUBLE_EQ(weight.factor(), 1 / 4.5);
  for (int i = 0; i < 100; ++i) weight.observe(-9, 1);
  EXPECT_DOUBLE_EQ(weight.factor(), 4.5);
}

}  // namespace
}  // namespace rushhill::routing
