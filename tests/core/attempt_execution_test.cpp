// Attempts as the decision module asks for them: each has exactly one end, never told from within the asking.
#include "core/attempt_execution.h"

#include "core/parts_fixture.h"

namespace rushhill::core {
namespace {

class AttemptExecutionTest : public PartsFixture {
 protected:
  AttemptExecutionTest() { request.deadline = clock.timestamp() + one_second; }
  std::vector<AttemptOutcome> endings() const {
    std::vector<AttemptOutcome> all;
    for (const AttemptEnd& end : heard.attempt_ends) all.push_back(end.outcome);
    return all;
  }
  RequestTable::Added added = requests.add();
  RequestId id = added.id;
  Request& request = added.request;
};

TEST_F(AttemptExecutionTest, AnAttemptIsSentWithTheTimeThatTheRequestHasLeft) {
  clock.pass(second / 4);
  attempts.start(id, "a", Duration::zero());
  attempts.start(id, "b", Duration::zero());
  ASSERT_EQ(carrier.sent.size(), 2U);
  EXPECT_EQ(carrier.sent[1].number, 1);
  EXPECT_EQ(carrier.sent[1].server, "b");
  EXPECT_EQ(carrier.sent[1].left, to_duration(second - second / 4));
  EXPECT_EQ(tally.attempts, 2U);
  EXPECT_EQ(clock.standing(), 0U) << "no timeout is set";
}

TEST_F(AttemptExecutionTest, AtItsTimeoutAnAttemptIsDroppedAndReportedOnce) {
  attempts.start(id, "a", to_duration(second / 10));
  clock.pass(second / 10);
  EXPECT_EQ(carrier.dropped, (std::vector{std::pair(id, 0)}));
  EXPECT_EQ(endings(), std::vector<AttemptOutcome>{AttemptOutcome::unanswered});
  EXPECT_EQ(heard.attempt_ends[0].taken, to_duration(second / 10));
  EXPECT_EQ(heard.attempt_ends[0].endpoint, "a");
  attempts.cancel(id, 0);
  clock.settle();
  EXPECT_EQ(heard.attempt_ends.size(), 1U);
}

TEST_F(AttemptExecutionTest, ACancelledAttemptIsReportedWhenThePresentCallHasReturned) {
  attempts.start(id, "a", to_duration(second / 10));
  attempts.cancel(id, 0);
  EXPECT_TRUE(heard.attempt_ends.empty());
  EXPECT_EQ(request.deferred_calls, 1);
  clock.settle();
  EXPECT_EQ(endings(), std::vector<AttemptOutcome>{AttemptOutcome::cancelled});
  EXPECT_EQ(request.deferred_calls, 0);
  EXPECT_EQ(clock.standing(), 0U) << "its timeout is withdrawn";
}

TEST_F(AttemptExecutionTest, WhatMayNotBeSentEndsAsNotSent) {
  for (int i = 0; i < attempt_cap; ++i) attempts.start(id, "a", Duration::zero());
  attempts.start(id, "beyond the cap", Duration::zero());
  const auto [late_id, late] = requests.add();
  late.deadline = clock.timestamp();
  attempts.start(late_id, "at the deadline", Duration::zero());
  const auto [concluded_id, concluded] = requests.add();
  concluded.deadline = clock.timestamp() + one_second;
  concluded.concluded = true;
  attempts.start(concluded_id, "after the answer", Duration::zero());
  clock.settle();
  EXPECT_EQ(carrier.sent.size(), static_cast<std::size_t>(attempt_cap));
  EXPECT_EQ(endings(), std::vector<AttemptOutcome>(3, AttemptOutcome::not_sent));
  EXPECT_TRUE(heard.attempt_ends[2].final);
  EXPECT_EQ(requests.find(concluded_id), nullptr) << "it is over with the report";
}

TEST_F(AttemptExecutionTest, AnAttemptForAnUnknownRequestIsAnErrorInTheLogAndNothingElse) {
  attempts.start(id + 1, "a", Duration::zero());
  attempts.cancel(id + 1, 0);
  attempts.cancel(id, 0);
  clock.settle();
  EXPECT_EQ(log.errors, 1);
  EXPECT_TRUE(carrier.sent.empty());
  EXPECT_TRUE(heard.attempt_ends.empty());
}

TEST_F(AttemptExecutionTest, CancellingTheUnsentLeavesWhatIsOut) {
  attempts.start(id, "a", Duration::zero());
  attempts.start(id, "b", Duration::zero());
  carrier.unsent.insert({id, 1});
  attempts.cancel_unsent(id, request);
  clock.settle();
  EXPECT_TRUE(request.attempts[0].open);
  EXPECT_FALSE(request.attempts[1].open);
  EXPECT_EQ(endings(), std::vector<AttemptOutcome>{AttemptOutcome::not_sent});
  EXPECT_TRUE(carrier.dropped.empty());
}

TEST_F(AttemptExecutionTest, AtTheDeadlineAllOpenAttemptsEnd) {
  attempts.start(id, "a", Duration::zero());
  attempts.start(id, "b", Duration::zero());
  attempts.close(request.attempts[0]);
  attempts.report_end(id, 0, {.outcome = AttemptOutcome::error, .in_flight = 4});
  attempts.cancel_at_deadline(id, request);
  clock.settle();
  EXPECT_EQ(endings(), (std::vector<AttemptOutcome>{AttemptOutcome::error, AttemptOutcome::unanswered}));
  EXPECT_EQ(heard.attempt_ends[0].in_flight, 4);
  EXPECT_EQ(tally.outcomes[static_cast<std::size_t>(AttemptOutcome::error)], 1U);
}

}  // namespace
}  // namespace rushhill::core
