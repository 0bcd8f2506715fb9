#include "routing/endpoint_selector.h"

#include <gtest/gtest.h>

#include <map>

namespace rushhill::routing {
namespace {

constexpr Timestamp now{100 * one_second};
constexpr Duration keep_alive = 10 * one_second;

class EndpointSelectorTest : public ::testing::Test {
 protected:
  EndpointSelectorTest() {
    configuration.retries.attempt_limit = 3;
    endpoints.increment_version();
    for (const char* id : {"a", "b", "c"}) endpoints.update({.id = id});
    outliers.observe_fleet({.serving = 3});
    tracked.request.function = "f";
    tracked.class_estimate = &class_estimate;
    tracked.answer_deadline = now + 10 * one_second;
  }
  EndpointId select() {
    const EndpointRecord* const endpoint = selector.select(now, tracked, function);
    return endpoint == nullptr ? "" : endpoint->endpoint.id;
  }
  void add_ended(const EndpointId& id, AttemptOutcome outcome) {
    tracked.attempts.push_back({.endpoint = id});
    tracked.attempts.back().end(outcome);
  }
  void eject(EndpointRecord& record) {
    while (!record.outlier.ejected()) outliers.record_attempt(now, true, record.outlier, record.history);
  }
  // Returns the endpoint that placement ranks first.
  EndpointId preferred_endpoint() {
    placement.rank(now, "f", function.placement);
    return function.placement.candidates().front().endpoint->endpoint.id;
  }

  RoutingConfiguration configuration;
  EndpointTable endpoints;
  ObservationWindow observation;
  FleetLoad fleet_load;
  LatencyEstimates estimates{{}, observation};
  OutlierDetection outliers{observation};
  EndpointWarmUp warm_up{{.budget_multiple = 2,
                          .budget_span = one_second,
                          .initial_capacity = 0.2,
                          .warm_up_span = 10 * one_second},
                         estimates,
                         fleet_load};
  RetryPolicy retries{configuration, endpoints, estimates};
  Placement placement{endpoints, observation};
  Scorer scorer{configuration, observation, estimates, outliers};
  RandomSource random{7};
  EndpointSelector selector{{.endpoints = endpoints,
                             .placement = placement,
                             .retries = retries,
                             .warm_up = warm_up,
                             .outliers = outliers,
                             .estimates = estimates,
                             .scorer = scorer,
                             .random = random,
                             .keep_alive = keep_alive}};
  ClassEstimate class_estimate{.request_class = {.latency_objective = one_second},
                               .response_time = FractionalDuration{100}};
  TrackedRequest tracked;
  FunctionRecord function;
};

TEST_F(EndpointSelectorTest, SelectsThePreferredEndpointForTheFirstLoad) {
  const EndpointId expected = preferred_endpoint();
  EXPECT_EQ(select(), expected);
}

TEST_F(EndpointSelectorTest, BelievedCopyBeatsThePreferredEndpoint) {
  for (const char* id : {"a", "b", "c"}) {
    function.copies = {};
    function.copies.at(id).confirm(now);
    EXPECT_EQ(select(), id);
  }
}

TEST_F(EndpointSelectorTest, SelectsNoneIfNoEndpointIsOnTheList) {
  for (const char* id : {"a", "b", "c"}) endpoints.remove(now, endpoints.at(id));
  endpoints.increment_version();
  EXPECT_EQ(select(), "");
}

TEST_F(EndpointSelectorTest, ReturnsToAnEndpointThatFailedTheRequestOnlyIfThereIsNoOther) {
  const EndpointId first = preferred_endpoint();
  add_ended(first, AttemptOutcome::error);
  EXPECT_NE(select(), first);
  for (const char* id : {"a", "b", "c"}) {
    if (id != first) endpoints.remove(now, endpoints.at(id));
  }
  endpoints.increment_version();
  EXPECT_EQ(select(), first);
}

TEST_F(EndpointSelectorTest, AvoidsEndpointsThatAreBackingOff) {
  const EndpointId first = preferred_endpoint();
  endpoints.at(first).liveness.connect_timed_out(now);
  EXPECT_NE(select(), first);
}

TEST_F(EndpointSelectorTest, ReturnsToAnEndpointWithoutTheFunctionOnceACopyIsOrdered) {
  const EndpointId first = preferred_endpoint();
  add_ended(first, AttemptOutcome::function_missing);
  EXPECT_NE(select(), first);
  function.copies.at(first).prewarm_ordered();
  EXPECT_EQ(select(), first);
}

TEST_F(EndpointSelectorTest, EjectedEndpointGetsItsShareOfRepeatableFirstAttempts) {
  const EndpointId first = preferred_endpoint();
  EndpointRecord& record = endpoints.at(first);
  eject(record);
  EXPECT_NE(select(), first);
  Timestamp later = now;
  while (record.outlier.attempt_share() < 0.5) {
    later += one_second;
    outliers.advance(later, record.outlier, record.history);
  }
  std::map<EndpointId, int> selected;
  for (int i = 0; i < 3'000; ++i) ++selected[select()];
  EXPECT_NEAR(selected[first], 3'000 * 0.5 / 3, 100);
  class_estimate.request_class.retry_safety = RetrySafety::at_most_once;
  for (int i = 0; i < 100; ++i) EXPECT_NE(select(), first);
}

TEST_F(EndpointSelectorTest, WarmingEndpointNeedsTokens) {
  const EndpointId first = preferred_endpoint();
  EndpointRecord& record = endpoints.at(first);
  record.endpoint.started = now - 2 * one_second;
  EXPECT_NE(select(), first);
  record.tokens = SlowStartTokens(1);
  EXPECT_EQ(select(), first);
}

TEST_F(EndpointSelectorTest, SendsNoLoadsToAnEndpointThatRejectedRecently) {
  const EndpointId first = preferred_endpoint();
  endpoints.at(first).liveness.back_off_loads(now, one_second);
  EXPECT_NE(select(), first);
  function.copies.at(first).confirm(now);
  EXPECT_EQ(select(), first);
}

}  // namespace
}  // namespace rushhill::routing
