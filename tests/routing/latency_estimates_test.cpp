#include "routing/latency_estimates.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

class LatencyEstimatesTest : public ::testing::Test {
 protected:
  EstimateKey key() { return {.request_class = lookup, .function = function}; }

  ObservationWindow observation;
  LatencyEstimates estimates{{{.name = "lookup", .latency_objective = one_second}}, observation};
  ClassEstimate& lookup = estimates.of_class("lookup");
  FunctionTimes function;
};

TEST_F(LatencyEstimatesTest, InitialResponseTimeIsAQuarterOfTheObjective) {
  EXPECT_EQ(estimates.response_time(key()), one_second / 4);
  EXPECT_EQ(estimates.mean_response_time(), one_second / 4);
}

TEST_F(LatencyEstimatesTest, UnconfiguredClassIsAtMostOnceWithAnObjectiveOfASecond) {
  const ClassEstimate& unknown = estimates.of_class("unknown");
  EXPECT_EQ(unknown.request_class.retry_safety, RetrySafety::at_most_once);
  EXPECT_EQ(unknown.request_class.latency_objective, one_second);
  EXPECT_EQ(&unknown, &estimates.of_class("unknown"));
}

TEST_F(LatencyEstimatesTest, FunctionsResponseTimeReplacesThatOfItsClass) {
  for (int i = 0; i < 200; ++i) estimates.answered(lookup, function, FractionalDuration{100});
  EXPECT_NEAR(estimates.response_time(key()).count(), 100, 1);
  const FunctionTimes other;
  EXPECT_EQ(estimates.response_time({.request_class = lookup, .function = other}), lookup.response_time);
}

TEST_F(LatencyEstimatesTest, PaceIsTheRatioToTheFunctionsUsualResponseTime) {
  for (int i = 0; i < 200; ++i) estimates.answered(lookup, function, FractionalDuration{100});
  EXPECT_NEAR(estimates.answered(lookup, function, FractionalDuration{200}), 200 / 105.0, 0.02);
}

TEST_F(LatencyEstimatesTest, LoadTimeIsStatedElseObservedElseTheObjective) {
  EXPECT_EQ(estimates.load_time(key()), one_second);
  estimates.record_answer_after_load(key(), one_second / 4 + FractionalDuration{300});
  EXPECT_EQ(estimates.load_time(key()), FractionalDuration{300});
  function.set_load_time(Duration{70});
  function.set_load_time(Duration::zero());
  EXPECT_EQ(estimates.load_time(key()), FractionalDuration{70});
}

TEST_F(LatencyEstimatesTest, PaceOfAnEndpointCountsTheFleetsPaceAsSamples) {
  EXPECT_EQ(estimates.pace({}), 1);
  EXPECT_DOUBLE_EQ(estimates.pace({.pace_samples = 3, .pace_sum = 9}), 2);
}

TEST_F(LatencyEstimatesTest, FleetPaceIsTheMedianAndNoLoadPaceFollowsARiseSlowly) {
  std::vector<double> paces{1, 2, 9};
  estimates.observe_paces(paces);
  EXPECT_EQ(estimates.fleet_pace(), 2);
  EXPECT_DOUBLE_EQ(estimates.no_load_response_time(key()) / estimates.response_time(key()), 1.005);
  std::vector<double> low{0.5};
  estimates.observe_paces(low);
  EXPECT_DOUBLE_EQ(estimates.no_load_response_time(key()) / estimates.response_time(key()), 0.5);
  std::vector<double> none;
  estimates.observe_paces(none);
  EXPECT_EQ(estimates.fleet_pace(), 0.5);
}

}  // namespace
}  // namespace rushhill::routing
