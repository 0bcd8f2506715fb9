#include "routing/scorer.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp now{100 * one_second};

// Scores a request of a function with a response time of 100 ticks and a load time of 1,000.
class ScorerTest : public ::testing::Test {
 protected:
  ScorerTest() {
    function.lanes = 2;
    function.times.set_load_time(Duration{1'000});
    endpoint.endpoint.location = "here";
  }
  EstimateKey key() { return {.request_class = class_estimate, .function = function.times}; }
  double score(const ScoredEndpoint& candidate) {
    return scorer.score(now, estimates.expected_times(key()), function, candidate);
  }
  ScoredEndpoint believed() { return {.endpoint = endpoint, .copy = &copy, .copy_believed = true}; }

  static RoutingConfiguration configuration_here() {
    RoutingConfiguration configuration;
    configuration.location = "here";
    configuration.prices = {.cross_location = 0.2, .load = 0.5};
    return configuration;
  }

  const RoutingConfiguration configuration = configuration_here();
  ObservationWindow observation;
  LatencyEstimates estimates{{}, observation};
  OutlierDetection outliers{observation};
  Scorer scorer{configuration, observation, estimates, outliers};
  ClassEstimate class_estimate{.response_time = FractionalDuration{100}};
  FunctionRecord function;
  EndpointRecord endpoint;
  BelievedCopy copy;
  // The configured cost of 0.2, divided by a load's cost of 0.5 + 0.5.
  static constexpr double cross_location_cost = 0.2;
  static constexpr double response_time_term = 0.1;
};

TEST_F(ScorerTest, LoadedCopyInTheSameLocationGainsTheCrossLocationCostLessItsResponseTime) {
  EXPECT_DOUBLE_EQ(score(believed()), 1 + cross_location_cost - response_time_term);
}

TEST_F(ScorerTest, EndpointInAnotherLocationDoesNotGainTheCrossLocationCost) {
  endpoint.endpoint.location = "there";
  EXPECT_DOUBLE_EQ(score(believed()), 1 - response_time_term);
}

TEST_F(ScorerTest, WithoutACopyTheScoreHalvesWithEachRank) {
  EXPECT_DOUBLE_EQ(score({.endpoint = endpoint, .rank = 0}), 0.8 + cross_location_cost - response_time_term);
  EXPECT_DOUBLE_EQ(score({.endpoint = endpoint, .rank = 2}), 0.2 + cross_location_cost - response_time_term);
}

TEST_F(ScorerTest, AttemptsBeyondTheLanesLowerTheScore) {
  for (int i = 0; i < 2; ++i) copy.attempt_sent(now, one_second);
  EXPECT_DOUBLE_EQ(score(believed()), 1 + cross_location_cost - 0.5 - response_time_term);
}

TEST_F(ScorerTest, FailedAttemptsLowerTheScore) {
  endpoint.history.add_judged_attempt(now, true);
  EXPECT_DOUBLE_EQ(score(believed()), 1 + cross_location_cost - response_time_term - 2 * (1 / 4.0));
}

TEST_F(ScorerTest, ExpectedResponseTimeGrowsWithOpenAttemptsPaceAndSilence) {
  EXPECT_DOUBLE_EQ(scorer.expected_response_time(now, FractionalDuration{100}, endpoint).count(), 100);
  endpoint.in_flight.sent();
  EXPECT_DOUBLE_EQ(scorer.expected_response_time(now, FractionalDuration{100}, endpoint).count(), 130);
  for (int i = 0; i < 3; ++i) endpoint.history.add_pace(now, 3);
  EXPECT_DOUBLE_EQ(scorer.expected_response_time(now, FractionalDuration{100}, endpoint).count(), 260);
  endpoint.liveness.attempt_sent(now - Duration{300});
  EXPECT_DOUBLE_EQ(scorer.expected_response_time(now, FractionalDuration{100}, endpoint).count(), 260);
  EXPECT_DOUBLE_EQ(
      scorer.expected_response_time(now + Duration{50}, FractionalDuration{100}, endpoint).count(), 310);
}

TEST_F(ScorerTest, TieBreakIsSmallAndFavoursLargerEndpoints) {
  EndpointRecord larger;
  larger.endpoint.rating = 4;
  EXPECT_GT(Scorer::tie_break(larger, 0.5), Scorer::tie_break(endpoint, 0.5));
  EXPECT_GT(Scorer::tie_break(endpoint, 0.9), Scorer::tie_break(endpoint, 0.1));
  EXPECT_LT(std::abs(Scorer::tie_break(endpoint, 0.999)), 0.1);
}

}  // namespace
}  // namespace rushhill::routing
