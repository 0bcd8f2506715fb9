#include "routing/scorer.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp now{100 * one_second};

// A request of a function that takes 100 ticks and loads in 1,000.
class ScorerTest : public ::testing::Test {
 protected:
  ScorerTest() {
    function.lanes = 2;
    function.times.load_time_stated(Duration{1'000});
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
  static constexpr double crossing = 0.2;  // over the load's price and half a priority weight
  static constexpr double wait = 0.1;
};

TEST_F(ScorerTest, LoadedCopyHereScoresOneAndTheCrossingLessItsWait) {
  EXPECT_DOUBLE_EQ(score(believed()), 1 + crossing - wait);
}

TEST_F(ScorerTest, AnotherLocationCostsTheCrossing) {
  endpoint.endpoint.location = "there";
  EXPECT_DOUBLE_EQ(score(believed()), 1 - wait);
}

TEST_F(ScorerTest, WithoutACopyAHomeScoresLessAndHalvesWithEachRank) {
  EXPECT_DOUBLE_EQ(score({.endpoint = endpoint, .rank = 0}), 0.8 + crossing - wait);
  EXPECT_DOUBLE_EQ(score({.endpoint = endpoint, .rank = 2}), 0.2 + crossing - wait);
}

TEST_F(ScorerTest, AttemptsBeyondTheLanesCostALoadForEachFilledCopy) {
  for (int i = 0; i < 2; ++i) copy.attempt_sent(now, one_second);
  EXPECT_DOUBLE_EQ(score(believed()), 1 + crossing - 0.5 - wait);
}

TEST_F(ScorerTest, EndpointThatFailsScoresLess) {
  endpoint.history.add_verdict(now, true);
  EXPECT_DOUBLE_EQ(score(believed()), 1 + crossing - wait - 2 * (1 / 4.0));
}

TEST_F(ScorerTest, WaitGrowsWithOpenAttemptsPaceAndSilence) {
  EXPECT_DOUBLE_EQ(scorer.expected_wait(now, FractionalDuration{100}, endpoint).count(), 100);
  endpoint.in_flight.sent();
  EXPECT_DOUBLE_EQ(scorer.expected_wait(now, FractionalDuration{100}, endpoint).count(), 130);
  for (int i = 0; i < 3; ++i) endpoint.history.add_pace(now, 3);
  EXPECT_DOUBLE_EQ(scorer.expected_wait(now, FractionalDuration{100}, endpoint).count(), 260);
  endpoint.liveness.attempt_sent(now - Duration{300});
  EXPECT_DOUBLE_EQ(scorer.expected_wait(now, FractionalDuration{100}, endpoint).count(), 260);
  EXPECT_DOUBLE_EQ(scorer.expected_wait(now + Duration{50}, FractionalDuration{100}, endpoint).count(), 310);
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
