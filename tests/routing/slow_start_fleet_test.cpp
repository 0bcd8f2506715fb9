// Checks rule 4 over a simulated fleet: a cold endpoint must not receive more requests from all routers
// together within the rule's span than the rule permits.
#include <cstdio>
#include <cstdlib>

#include "simulated_fleet.h"

namespace rushhill {
namespace {

// Guards against two faults by which a cold endpoint received 1.31 times what the rule permits at twice the
// fleet's capacity, and 1.14 times in the second scenario. Cold endpoints, which the rule keeps partly idle,
// halved the mean utilization that the routers assumed, which doubled what each router considered permitted.
// When the few warm endpoints were full, all requests that were not rejected went to cold ones.
TEST(SlowStartFleet, ColdEndpointsStayWithinTheRuleWhenAnOverloadedFleetIsReplaced) {
  for (const auto& [load, seed] : {std::pair(2.0, 1U), std::pair(1.3, 2U)}) {
    SimulatedFleet fleet({.load = load, .load_after_release = load, .seed = seed});
    fleet.run();
    EXPECT_LT(fleet.audit().worst_share(), 0.85) << fleet.audit().worst_description();
    EXPECT_GT(fleet.succeeded(), fleet.requests() / 4);
  }
}

// The load grows fivefold as the release begins, so that the load a router has observed says little about the
// load to come.
TEST(SlowStartFleet, ColdEndpointsStayWithinTheRuleWhenLoadRisesWithTheRelease) {
  SimulatedFleet fleet({.load = 0.3, .load_after_release = 1.5, .seed = 2});
  fleet.run();
  EXPECT_LT(fleet.audit().worst_share(), 0.85) << fleet.audit().worst_description();
}

// The rule must not cost requests: at half load, a release makes almost none of them fail.
TEST(SlowStartFleet, NearlyAllRequestsSucceedDuringAReleaseAtHalfLoad) {
  SimulatedFleet fleet(
      {.load = 0.5, .load_after_release = 0.5, .replaced_share = 0.6, .release_span = 7 * second});
  fleet.run();
  EXPECT_LT(fleet.audit().worst_share(), 0.6) << fleet.audit().worst_description();
  EXPECT_GT(fleet.succeeded(), fleet.requests() * 95 / 100);
}

// Returns the mean work of a request for which N is `n` at an endpoint's start. N grows sixfold as the
// endpoint warms up. In all scenarios, the requests, retries, orders and probes that a cold endpoint receives
// beyond N must stay within 2 * sqrt(N) + 2.
constexpr Time work_for(double n) { return static_cast<Time>(2 * 0.16 * 3 * 1.5 * second / n); }

const std::vector<FleetScenario>& all_scenarios() {
  static const std::vector<FleetScenario> all = [] {
    std::vector<FleetScenario> scenarios;
    const auto add = [&](const std::string& name, int routers, double n, const FleetScenario& base) {
      FleetScenario scenario = base;
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
    const FleetScenario release{.load = 0.9, .load_after_release = 0.9, .replaced_share = 0.6};
    const FleetScenario overload{.load = 1.6, .load_after_release = 1.6};
    const FleetScenario single_crash{
        .load = 1.6, .load_after_release = 1.6, .replaced_share = 0, .crashed_share = 1.0 / 12};
    const FleetScenario all_but_one_crashed{
        .load = 0.9, .load_after_release = 0.9, .replaced_share = 0, .crashed_share = 11.0 / 12};
    const FleetScenario several_crashes{
        .load = 1.2, .load_after_release = 1.2, .replaced_share = 0, .crashed_share = 0.5};
    FleetScenario restarts{.load = 1.3, .load_after_release = 1.3, .replaced_share = 0.6};
    restarts.restarted_router_share = 0.5;
    FleetScenario retries{.load = 1.2, .load_after_release = 1.2, .replaced_share = 0.6};
    retries.failing_share = 0.2;
    retries.retried_share = 0.7;
    retries.max_notification_delay = 2 * second;
    FleetScenario orders{.load = 1.2, .load_after_release = 1.2, .replaced_share = 0.6};
    orders.missing_copy_is_reported = true;
    for (const int routers : {20, 30, 100, 300, 680}) {
      add("release", routers, 14, release);
      add("overload", routers, 14, overload);
      add("lone", routers, 14, single_crash);
    }
    for (const int routers : {30, 300}) {
      for (const double n : {1, 4, 50}) add("overload", routers, n, overload);
      add("allbutone", routers, 14, all_but_one_crashed);
      add("several", routers, 14, several_crashes);
      add("restarts", routers, 14, restarts);
      add("retries", routers, 14, retries);
      add("orders", routers, 14, orders);
      add("burst", routers, 14, {.load = 0.3, .load_after_release = 1.5});
    }
    add("half", 100, 14, {.load = 0.5, .load_after_release = 0.5, .replaced_share = 0.6});
    add("wide", 300, 14, {.endpoints = 40, .load = 1.1, .load_after_release = 1.1, .replaced_share = 0.6});
    return scenarios;
  }();
  return all;
}

// The number of seeds for each scenario: two, or for the table in docs/cold-ramp.md the value of
// RUSHHILL_COLD_SEEDS.
int seeds_per_scenario() {
  const char* const text = std::getenv("RUSHHILL_COLD_SEEDS");
  return text == nullptr ? 2 : std::max(1, std::atoi(text));
}

class SlowStartScenarios : public testing::TestWithParam<FleetScenario> {};

TEST_P(SlowStartScenarios, RequestsOfAllRoutersStayWithinTheRule) {
  std::vector<double> worst_excesses;
  double used_share = 0;
  double succeeded_share = 0;
  for (int seed = 1; seed <= seeds_per_scenario(); ++seed) {
    FleetScenario scenario = GetParam();
    scenario.seed = static_cast<std::uint32_t>(seed);
    SimulatedFleet fleet(scenario);
    fleet.run();
    worst_excesses.push_back(fleet.audit().worst_excess());
    used_share += fleet.audit().used_share() / seeds_per_scenario();
    succeeded_share += static_cast<double>(fleet.succeeded()) / fleet.requests() / seeds_per_scenario();
  }
  std::ranges::sort(worst_excesses);
  const auto quantile = [&](double share) {
    return worst_excesses[static_cast<std::size_t>(share * static_cast<double>(worst_excesses.size() - 1))];
  };
  std::printf("| %s | %zu | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n", GetParam().name.c_str(),
              worst_excesses.size(), quantile(0.5), quantile(0.9), quantile(0.99), worst_excesses.back(),
              used_share, succeeded_share);
  EXPECT_LE(worst_excesses.back(), 1) << "maximum excess over the budget N, in units of 2 * sqrt(N) + 2";
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStartScenarios, testing::ValuesIn(all_scenarios()),
                         [](const auto& instance) { return instance.param.name; });

}  // namespace
}  // namespace rushhill
