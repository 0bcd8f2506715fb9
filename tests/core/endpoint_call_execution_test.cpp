// Probes and orders to load: sent, measured, and reported to the decision module.
#include "core/endpoint_call_execution.h"

#include "core/parts_fixture.h"

namespace rushhill::core {
namespace {

struct RefusingLedger final : DeduplicationLog {
  bool prepare_prewarm() override { return false; }
  AdmissionVerdict admit(RequestId, const std::string&, const events::CloudEvent&, Duration) override {
    return AdmissionVerdict::untracked;
  }
  void request_ended(const events::CloudEvent&, ExecutionCertainty) override {}
};

class ServerCallExecutionTest : public PartsFixture {
 protected:
  EndpointCallExecution calls(DeduplicationLog* ledger) {
    return {{.clock = clock,
             .upstream = carrier,
             .deduplication = ledger,
             .deferred = deferred,
             .policy = decisions,
             .counters = tally},
            5 * one_second};
  }
};

TEST_F(ServerCallExecutionTest, AProbeIsReportedWithTheTimeItTook) {
  EndpointCallExecution execution = calls(nullptr);
  execution.probe("a");
  clock.pass(30);
  execution.probe_ended("a", AttemptOutcome::succeeded, {});
  EXPECT_EQ(carrier.probes, std::vector<EndpointId>{"a"});
  EXPECT_EQ(tally.probes, 1U);
  ASSERT_EQ(heard.probe_ends.size(), 1U);
  EXPECT_EQ(heard.probe_ends[0].endpoint, "a");
  EXPECT_EQ(heard.probe_ends[0].taken, to_duration(30));
}

TEST_F(ServerCallExecutionTest, AnOrderLeavesWithItsLimitAndIsReportedWithTheTimeItTook) {
  EndpointCallExecution execution = calls(nullptr);
  execution.prewarm("a", "f", 2);
  clock.pass(second);
  execution.prewarm_ended("a", "f", AttemptOutcome::succeeded, 2);
  EXPECT_EQ(carrier.orders, (std::vector{std::pair(EndpointId("a"), 2)}));
  EXPECT_EQ(carrier.order_limit, 5 * one_second);
  EXPECT_EQ(tally.prewarms, 1U);
  ASSERT_EQ(heard.order_ends.size(), 1U);
  EXPECT_EQ(heard.order_ends[0].taken, to_duration(second));
  EXPECT_EQ(heard.order_ends[0].copies, 2);
}

TEST_F(ServerCallExecutionTest, AnOrderThatTheLedgerRefusesEndsAsNotSentOnceTheCallHasReturned) {
  RefusingLedger ledger;
  EndpointCallExecution execution = calls(&ledger);
  execution.prewarm("a", "f", 2);
  EXPECT_TRUE(heard.order_ends.empty());
  clock.settle();
  EXPECT_TRUE(carrier.orders.empty());
  EXPECT_EQ(tally.prewarms, 0U);
  ASSERT_EQ(heard.order_ends.size(), 1U);
  EXPECT_EQ(heard.order_ends[0].outcome, AttemptOutcome::not_sent);
}

TEST_F(ServerCallExecutionTest, AnEvictionIsSentAndCounted) {
  EndpointCallExecution execution = calls(nullptr);
  execution.evict("a", "f");
  EXPECT_EQ(carrier.unloads, std::vector<EndpointId>{"a"});
  EXPECT_EQ(tally.evictions, 1U);
}

}  // namespace
}  // namespace rushhill::core
