// Simulated fleets, also with faults: what is measured at size really happens.
#include <gtest/gtest.h>

#include "scale/fault_run.h"
#include "scale/fleet_run.h"

namespace rushhill::scale {
namespace {

class NoCounter final : public Counter {
 public:
  std::uint64_t read() override { return 0; }
  bool counts() const override { return false; }
} none;

const SimulationSize small{.fleet = {.servers = 24, .functions = 60, .requests_per_second = 20, .routers = 4},
                           .routers = 4,
                           .instances = 240,
                           .warm_up = 10 * second,
                           .measured_span = 10 * second};

TEST(SizeStory, EveryRequestIsAnsweredInTimeWhereNothingFails) {
  const FleetRunResult result = run_fleet(small, none);
  EXPECT_NEAR(result.requests, 20, 0.5);
  EXPECT_NEAR(result.answered, 1, 0.02);
  EXPECT_NEAR(result.in_time, 1, 0.02);
  EXPECT_EQ(result.expired, 0);
  EXPECT_GT(result.instances_loaded, 200);
}

FaultRunResult with(const Fault& fault) { return run_fault(small, fault, none); }

TEST(SizeStory, AZoneThatIsLostCostsFurtherAttemptsAndNoRequestWhereItIsTold) {
  const FaultRunResult announced =
      with({.name = "zone", .step = 6, .count = 4, .span = 10 * second, .announced_after = second});
  EXPECT_EQ(announced.unanswered, 0);
  EXPECT_EQ(announced.given_up, 0);
  EXPECT_GT(announced.attempts_per_request, 1);
  const FaultRunResult unannounced = with({.name = "zone", .step = 6, .count = 4, .span = 10 * second});
  EXPECT_GT(unannounced.attempts_per_request, announced.attempts_per_request);
  EXPECT_EQ(unannounced.unanswered, 0);
}

TEST(SizeStory, RegionsApartTakeHalfOfTheServersFromEachRouter) {
  const FaultRunResult apart =
      with({.name = "apart", .kind = FaultKind::regions_partitioned, .span = 10 * second});
  EXPECT_GT(apart.attempts_per_request, 1.05);
  EXPECT_EQ(apart.unanswered, 0) << "answered or given up, each";
}

TEST(SizeStory, RoutersThatStartAgainAnswerAll) {
  const FaultRunResult again =
      with({.name = "again", .kind = FaultKind::routers_restart, .step = 2, .count = 2, .span = second});
  EXPECT_EQ(again.unanswered, 0);
  EXPECT_EQ(again.given_up, 0);
}

}  // namespace
}  // namespace rushhill::scale
