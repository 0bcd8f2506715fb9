// Guards against probes and prewarm orders whose end is reported to the policy with a wrong duration or from
// within the call that caused it, and against prewarm orders that are sent although they could not be
// recorded.
#include "core/endpoint_call_execution.h"

#include "core/gateway_parts_fixture.h"

namespace rushhill::core {
namespace {

struct RefusingDeduplicationLog final : DeduplicationLog {
  bool prepare_prewarm() override { return false; }
  AdmissionVerdict admit(RequestId, const std::string&, const events::CloudEvent&, Duration) override {
    return AdmissionVerdict::untracked;
  }
  void request_ended(const events::CloudEvent&, ExecutionCertainty) override {}
};

class EndpointCallExecutionTest : public GatewayPartsFixture {
 protected:
  EndpointCallExecution calls(DeduplicationLog* deduplication) {
    return {{.clock = clock,
             .upstream = transport,
             .deduplication = deduplication,
             .deferred = deferred,
             .policy = policy,
             .counters = counters},
            5 * one_second};
  }
};

TEST_F(EndpointCallExecutionTest, ReportsAProbeWithItsDuration) {
  EndpointCallExecution execution = calls(nullptr);
  execution.probe("a");
  clock.advance(30);
  execution.probe_ended("a", AttemptOutcome::succeeded, {});
  EXPECT_EQ(transport.probes, std::vector<EndpointId>{"a"});
  EXPECT_EQ(counters.probes, 1U);
  ASSERT_EQ(policy_events.probe_ends.size(), 1U);
  EXPECT_EQ(policy_events.probe_ends[0].endpoint, "a");
  EXPECT_EQ(policy_events.probe_ends[0].taken, to_duration(30));
}

TEST_F(EndpointCallExecutionTest, SendsAPrewarmOrderWithItsTimeoutAndReportsItsDuration) {
  EndpointCallExecution execution = calls(nullptr);
  execution.prewarm("a", "f", 2);
  clock.advance(second);
  execution.prewarm_ended("a", "f", AttemptOutcome::succeeded, 2);
  EXPECT_EQ(transport.prewarms, (std::vector{std::pair(EndpointId("a"), 2)}));
  EXPECT_EQ(transport.prewarm_timeout, 5 * one_second);
  EXPECT_EQ(counters.prewarms, 1U);
  ASSERT_EQ(policy_events.prewarm_ends.size(), 1U);
  EXPECT_EQ(policy_events.prewarm_ends[0].taken, to_duration(second));
  EXPECT_EQ(policy_events.prewarm_ends[0].copies, 2);
}

TEST_F(EndpointCallExecutionTest, ReportsARefusedPrewarmOrderAsNotSentAfterTheCurrentCall) {
  RefusingDeduplicationLog deduplication;
  EndpointCallExecution execution = calls(&deduplication);
  execution.prewarm("a", "f", 2);
  EXPECT_TRUE(policy_events.prewarm_ends.empty());
  clock.run_posted_calls();
  EXPECT_TRUE(transport.prewarms.empty());
  EXPECT_EQ(counters.prewarms, 0U);
  ASSERT_EQ(policy_events.prewarm_ends.size(), 1U);
  EXPECT_EQ(policy_events.prewarm_ends[0].outcome, AttemptOutcome::not_sent);
}

TEST_F(EndpointCallExecutionTest, SendsAndCountsEvictions) {
  EndpointCallExecution execution = calls(nullptr);
  execution.evict("a", "f");
  EXPECT_EQ(transport.evictions, std::vector<EndpointId>{"a"});
  EXPECT_EQ(counters.evictions, 1U);
}

}  // namespace
}  // namespace rushhill::core
