#include "routing/endpoint_warm_up.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp now{100 * one_second};

class EndpointWarmUpTest : public ::testing::Test {
 protected:
  void start_recently() { record.endpoint.started = now - 2 * one_second; }

  ObservationWindow observation;
  FleetLoad fleet_load;
  LatencyEstimates estimates{{{.name = "lookup", .latency_objective = one_second}}, observation};
  EndpointWarmUp warm_up{{.budget_multiple = 2,
                          .budget_span = one_second,
                          .initial_capacity = 0.2,
                          .warm_up_span = 10 * one_second},
                         estimates,
                         fleet_load};
  EndpointRecord record;
};

TEST_F(EndpointWarmUpTest, WarmEndpointIsAlwaysAdmitted) {
  record.tokens = SlowStartTokens(-100);
  EXPECT_TRUE(warm_up.admits_request(now, record));
  EXPECT_TRUE(warm_up.admits_order(now, record));
}

TEST_F(EndpointWarmUpTest, WarmEndpointCostsNoTokens) {
  EXPECT_TRUE(warm_up.is_warm(now, record));
  EXPECT_TRUE(warm_up.admits_request(now, record));
  EXPECT_TRUE(warm_up.admits_order(now, record));
  warm_up.request_sent(now, estimates.of_class("lookup"), record);
  EXPECT_EQ(record.tokens.level(), 0);
}

TEST_F(EndpointWarmUpTest, WarmsUpSinceTheLaterOfItsStartAndItsDeath) {
  start_recently();
  EXPECT_EQ(warm_up.warming_since(now, record), now - 2 * one_second);
  record.liveness.process_died(now - one_second);
  EXPECT_EQ(warm_up.warming_since(now, record), now - one_second);
}

TEST_F(EndpointWarmUpTest, RequestCostsATokenAndARefillAddsTokens) {
  start_recently();
  record.tokens = SlowStartTokens(1.5);
  EXPECT_TRUE(warm_up.admits_request(now, record));
  warm_up.request_sent(now, estimates.of_class("lookup"), record);
  EXPECT_EQ(record.tokens.level(), 0.5);
  EXPECT_FALSE(warm_up.admits_request(now, record));
  EXPECT_TRUE(warm_up.admits_order(now, record));
  fleet_load.observe_successes({.succeeded = 100, .weight = 1}, 10 * one_second);
  warm_up.refill({.age = 2 * one_second, .elapsed = one_second / 10}, record);
  EXPECT_GT(record.tokens.level(), 0.5);
}

TEST(FleetLoad, IsTheMeanLoadOfTheWarmEndpoints) {
  FleetLoad fleet_load;
  EXPECT_EQ(fleet_load.utilization(), 0);
  fleet_load.observe_utilization(0.5);
  EXPECT_EQ(fleet_load.utilization(), 0.5);
  fleet_load.observe_successes({.succeeded = 40, .weight = 2}, one_second);
  EXPECT_DOUBLE_EQ(fleet_load.throughput(), 20.0 / 10'000);
}

}  // namespace
}  // namespace rushhill::routing
