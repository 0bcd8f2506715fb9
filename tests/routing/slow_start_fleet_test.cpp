// Rule 4 as the sum over a fleet: what a cold endpoint gets from all routers within the rule's span, against
// what the rule permits it then.
#include <cstdio>
#include <cstdlib>

#include "simulated_fleet.h"

namespace rushhill {
namespace {

// Before, at twice what the fleet bears, a cold endpoint got 1.31 times what the rule permits it, and 1.14
// times in the second scenario: cold endpoints that idle behind the rule halved the use of cores that all
// believed usual, and doubled with it what each router thought it might send; and where the few warm ones
// were full, all that was not rejected went to the cold.
TEST(ColdFleet, OverloadedWithMostOfItReplacedNoColdServerGetsWhatTheRuleForbids) {
  for (const auto& [load, seed] : {std::pair(2.0, 1U), std::pair(1.3, 2U)}) {
    SimulatedFleet fleet({.load = load, .load_after_release = load, .seed = seed});
    fleet.run();
    EXPECT_LT(fleet.audit().worst_share(), 0.85) << fleet.audit().worst_description();
    EXPECT_GT(fleet.succeeded(), fleet.requests() / 4);
  }
}

// Load that grows fivefold as the release begins: what a router saw of late says little of what comes.
TEST(ColdFleet, ABurstThatComesWithTheReleaseIsBorneToo) {
  SimulatedFleet fleet({.load = 0.3, .load_after_release = 1.5, .seed = 2});
  fleet.run();
  EXPECT_LT(fleet.audit().worst_share(), 0.85) << fleet.audit().worst_description();
}

// The bound is no wall: at half its load the fleet loses next to nothing by the release.
TEST(ColdFleet, AtHalfItsLoadNearlyAllIsHonouredThroughTheRelease) {
  SimulatedFleet fleet({.load = 0.5, .load_after_release = 0.5, .replaced = 0.6, .release_span = 7 * second});
  fleet.run();
  EXPECT_LT(fleet.audit().worst_share(), 0.6) << fleet.audit().worst_description();
  EXPECT_GT(fleet.succeeded(), fleet.requests() * 95 / 100);
}

// Shapes of the fleet. N is that at an endpoint's start; as it warms up it grows sixfold. What a cold one
// gets beyond N, requests, retries, orders and probes alike, stays within twice the root of N and two.
constexpr Time work_for(double n) { return static_cast<Time>(2 * 0.16 * 3 * 1.5 * second / n); }

const std::vector<FleetScenario>& shapes() {
  static const std::vector<FleetScenario> all = [] {
    std::vector<FleetScenario> scenarios;
    const auto add = [&](const std::string& name, int routers, double n, const FleetScenario& like) {
      FleetScenario scenario = like;
      if (name != "wide") scenario.endpoints = 12;
      scenario.name = name + "_" + std::to_string(routers) + "_N" + std::to_string(std::lround(n));
      scenario.routers = routers;
      scenario.work = work_for(n);
      scenario.latency_objective = std::max(3 * second / 4, 7 * scenario.work);
      scenario.release_at = 5 * second + 10 * scenario.work;
      scenario.release_span = 2 * second;
      scenario.length = scenario.release_at + 8 * second;
      scenarios.push_back(scenario);
    };
    const FleetScenario most{.load = 0.9, .load_after_release = 0.9, .replaced = 0.6};
    const FleetScenario overload{.load = 1.6, .load_after_release = 1.6};
    const FleetScenario lone{.load = 1.6, .load_after_release = 1.6, .replaced = 0, .crashed = 1.0 / 12};
    const FleetScenario all_but_one{
        .load = 0.9, .load_after_release = 0.9, .replaced = 0, .crashed = 11.0 / 12};
    const FleetScenario several{.load = 1.2, .load_after_release = 1.2, .replaced = 0, .crashed = 0.5};
    FleetScenario restarts{.load = 1.3, .load_after_release = 1.3, .replaced = 0.6};
    restarts.restarted = 0.5;
    FleetScenario retries{.load = 1.2, .load_after_release = 1.2, .replaced = 0.6};
    retries.failing = 0.2;
    retries.retried = 0.7;
    retries.notified_within = 2 * second;
    FleetScenario orders{.load = 1.2, .load_after_release = 1.2, .replaced = 0.6};
    orders.missing_is_answered = true;
    for (const int routers : {20, 30, 100, 300, 680}) {
      add("release", routers, 14, most);
      add("overload", routers, 14, overload);
      add("lone", routers, 14, lone);
    }
    for (const int routers : {30, 300}) {
      for (const double n : {1, 4, 50}) add("overload", routers, n, overload);
      add("allbutone", routers, 14, all_but_one);
      add("several", routers, 14, several);
      add("restarts", routers, 14, restarts);
      add("retries", routers, 14, retries);
      add("orders", routers, 14, orders);
      add("burst", routers, 14, {.load = 0.3, .load_after_release = 1.5});
    }
    add("half", 100, 14, {.load = 0.5, .load_after_release = 0.5, .replaced = 0.6});
    add("wide", 300, 14, {.endpoints = 40, .load = 1.1, .load_after_release = 1.1, .replaced = 0.6});
    return scenarios;
  }();
  return all;
}

// So many seeds a shape: two here, for the table in docs/cold-ramp.md as many as RUSHHILL_COLD_SEEDS says.
int seeds() {
  const char* const text = std::getenv("RUSHHILL_COLD_SEEDS");
  return text == nullptr ? 2 : std::max(1, std::atoi(text));
}

class ColdShapes : public testing::TestWithParam<FleetScenario> {};

TEST_P(ColdShapes, TheSumStaysWithinTheRule) {
  std::vector<double> worst;
  double used = 0;
  double succeeded = 0;
  for (int seed = 1; seed <= seeds(); ++seed) {
    FleetScenario scenario = GetParam();
    scenario.seed = static_cast<std::uint32_t>(seed);
    SimulatedFleet fleet(scenario);
    fleet.run();
    worst.push_back(fleet.audit().worst_excess());
    used += fleet.audit().used() / seeds();
    succeeded += static_cast<double>(fleet.succeeded()) / fleet.requests() / seeds();
  }
  std::ranges::sort(worst);
  const auto quantile = [&](double part) {
    return worst[static_cast<std::size_t>(part * static_cast<double>(worst.size() - 1))];
  };
  std::printf("| %s | %zu | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n", GetParam().name.c_str(),
              worst.size(), quantile(0.5), quantile(0.9), quantile(0.99), worst.back(), used, succeeded);
  EXPECT_LE(worst.back(), 1) << "worst excess over N, in units of 2 x root of N + 2";
}

INSTANTIATE_TEST_SUITE_P(Shapes, ColdShapes, testing::ValuesIn(shapes()),
                         [](const auto& shape) { return shape.param.name; });

}  // namespace
}  // namespace rushhill
