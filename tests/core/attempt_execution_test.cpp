// Guards against attempts whose end is reported twice, not at all, or from within the call that caused it.
// The tests call AttemptExecution directly, between a recording transport and a recording policy.
#include "core/attempt_execution.h"

#include "core/gateway_parts_fixture.h"

namespace rushhill::core {
namespace {

class AttemptExecutionTest : public GatewayPartsFixture {
 protected:
  AttemptExecutionTest() { request.deadline = clock.timestamp() + one_second; }
  std::vector<AttemptOutcome> reported_outcomes() const {
    std::vector<AttemptOutcome> all;
    for (const AttemptEnd& end : policy_events.attempt_ends) all.push_back(end.outcome);
    return all;
  }
  RequestTable::Added added = requests.add();
  RequestId id = added.id;
  Request& request = added.request;
};

TEST_F(AttemptExecutionTest, SendsAttemptsWithTheRemainingTimeOfTheRequest) {
  clock.advance(second / 4);
  attempts.start(id, "a", {});
  attempts.start(id, "b", {});
  ASSERT_EQ(transport.sent.size(), 2U);
  EXPECT_EQ(transport.sent[1].number, 1);
  EXPECT_EQ(transport.sent[1].endpoint, "b");
  EXPECT_EQ(transport.sent[1].time_left, to_duration(second - second / 4));
  EXPECT_EQ(counters.attempts, 2U);
  EXPECT_EQ(clock.pending_timers(), 0U) << "an attempt without a timeout must not set a timer";
}

TEST_F(AttemptExecutionTest, CancelsAnAttemptAtItsTimeoutAndReportsItOnce) {
  attempts.start(id, "a", {.timeout = to_duration(second / 10)});
  clock.advance(second / 10);
  EXPECT_EQ(transport.cancelled_attempts, (std::vector{std::pair(id, 0)}));
  EXPECT_EQ(reported_outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::unanswered});
  EXPECT_EQ(policy_events.attempt_ends[0].taken, to_duration(second / 10));
  EXPECT_EQ(policy_events.attempt_ends[0].endpoint, "a");
  attempts.cancel(id, 0);
  clock.run_posted_calls();
  EXPECT_EQ(policy_events.attempt_ends.size(), 1U);
}

TEST_F(AttemptExecutionTest, ReportsACancelledAttemptAfterTheCurrentCall) {
  attempts.start(id, "a", {.timeout = to_duration(second / 10)});
  attempts.cancel(id, 0);
  EXPECT_TRUE(policy_events.attempt_ends.empty());
  EXPECT_EQ(request.deferred_calls, 1);
  clock.run_posted_calls();
  EXPECT_EQ(reported_outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::cancelled});
  EXPECT_EQ(request.deferred_calls, 0);
  EXPECT_EQ(clock.pending_timers(), 0U) << "the timeout timer must be cancelled with the attempt";
}

TEST_F(AttemptExecutionTest, ReportsAttemptsThatMustNotBeSentAsNotSent) {
  for (int i = 0; i < attempt_limit; ++i) attempts.start(id, "a", {});
  attempts.start(id, "beyond the limit", {});
  const auto [late_id, late] = requests.add();
  late.deadline = clock.timestamp();
  attempts.start(late_id, "at the deadline", {});
  const auto [concluded_id, concluded] = requests.add();
  concluded.deadline = clock.timestamp() + one_second;
  concluded.concluded = true;
  attempts.start(concluded_id, "after the answer", {});
  clock.run_posted_calls();
  EXPECT_EQ(transport.sent.size(), static_cast<std::size_t>(attempt_limit));
  EXPECT_EQ(reported_outcomes(), std::vector<AttemptOutcome>(3, AttemptOutcome::not_sent));
  EXPECT_TRUE(policy_events.attempt_ends[2].final);
  EXPECT_EQ(requests.find(concluded_id), nullptr) << "the request must be erased after the report";
}

TEST_F(AttemptExecutionTest, OnlyLogsAnErrorForAnAttemptOfAnUnknownRequest) {
  attempts.start(id + 1, "a", {});
  attempts.cancel(id + 1, 0);
  attempts.cancel(id, 0);
  clock.run_posted_calls();
  EXPECT_EQ(log.errors, 1);
  EXPECT_TRUE(transport.sent.empty());
  EXPECT_TRUE(policy_events.attempt_ends.empty());
}

TEST_F(AttemptExecutionTest, CancelUnsentKeepsSentAttemptsOpen) {
  attempts.start(id, "a", {});
  attempts.start(id, "b", {});
  transport.unsent.insert({id, 1});
  attempts.cancel_unsent(id, request);
  clock.run_posted_calls();
  EXPECT_TRUE(request.attempts[0].open);
  EXPECT_FALSE(request.attempts[1].open);
  EXPECT_EQ(reported_outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::not_sent});
  EXPECT_TRUE(transport.cancelled_attempts.empty());
}

TEST_F(AttemptExecutionTest, ExpireAttemptsEndsAllOpenAttempts) {
  attempts.start(id, "a", {});
  attempts.start(id, "b", {});
  attempts.close(request.attempts[0]);
  attempts.report_end(id, 0, {.outcome = AttemptOutcome::error, .in_flight = 4});
  attempts.expire_attempts(id, request);
  clock.run_posted_calls();
  EXPECT_EQ(reported_outcomes(),
            (std::vector<AttemptOutcome>{AttemptOutcome::error, AttemptOutcome::unanswered}));
  EXPECT_EQ(policy_events.attempt_ends[0].in_flight, 4);
  EXPECT_EQ(counters.outcomes[static_cast<std::size_t>(AttemptOutcome::error)], 1U);
}

}  // namespace
}  // namespace rushhill::core
