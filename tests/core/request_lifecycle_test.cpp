// The life of a request: every accepted one gets exactly one final answer, whatever comes first.
#include "core/request_lifecycle.h"

#include "core/parts_fixture.h"

namespace rushhill::core {
namespace {

struct RecordingClient final : Client {
  void succeeded(RequestId, events::CloudEvent) override { answers.emplace_back("succeeded"); }
  void rejected(RequestId, Duration come_back) override {
    answers.emplace_back("rejected");
    advice = come_back;
  }
  void failed(RequestId) override { answers.emplace_back("failed"); }
  void duplicate(RequestId) override { answers.emplace_back("known"); }
  void attempt_started(RequestId) override { ++started; }
  std::vector<std::string> answers;
  Duration advice{};
  int started = 0;
};

struct ScriptedLedger final : DeduplicationLog {
  bool prepare_prewarm() override { return true; }
  AdmissionVerdict admit(RequestId, const std::string&, const events::CloudEvent&, Duration) override {
    return verdict;
  }
  void request_ended(const events::CloudEvent&, ExecutionCertainty fate) override { fates.push_back(fate); }
  AdmissionVerdict verdict = AdmissionVerdict::untracked;
  std::vector<ExecutionCertainty> fates;
};

using Answers = std::vector<std::string>;

class RequestLifecycleTest : public PartsFixture {
 protected:
  static constexpr Duration advice{700};

  RequestId accept() {
    return lifecycle
        .accept(source, client, {.request_class = "lookup", .time_left = to_duration(second)}, {.id = "one"})
        .value_or(0);
  }

  RecordingClient client;
  ScriptedLedger ledger;
  SourceRoom room{3};
  SourceRoom::Source source = room.add(1, false);
  RequestLifecycle lifecycle{{.clock = clock,
                              .log = log,
                              .deduplication = &ledger,
                              .requests = requests,
                              .attempts = attempts,
                              .room = room,
                              .deferred = deferred,
                              .policy = decisions,
                              .counters = tally},
                             advice};
};

TEST_F(RequestLifecycleTest, ASucceedingRequestIsAnsweredOnceAndLeavesNothingBehind) {
  const RequestId id = accept();
  ASSERT_EQ(heard.requests.size(), 1U);
  EXPECT_EQ(heard.requests[0].id, id);
  attempts.start(id, "a", to_duration(second / 2));
  lifecycle.attempt_started(id);
  lifecycle.attempt_ended(id, 0, {.outcome = AttemptOutcome::succeeded});
  lifecycle.attempt_ended(id, 0, {.outcome = AttemptOutcome::succeeded});
  clock.pass(2 * second);
  EXPECT_EQ(client.answers, Answers{"succeeded"});
  EXPECT_EQ(client.started, 1);
  ASSERT_EQ(heard.attempt_ends.size(), 1U);
  EXPECT_TRUE(heard.attempt_ends[0].final);
  EXPECT_EQ(requests.size(), 0U);
  EXPECT_EQ(room.open(), 0U);
  EXPECT_EQ(clock.standing(), 0U);
}

TEST_F(RequestLifecycleTest, WithoutRoomNothingIsAccepted) {
  for (int i = 0; i < 3; ++i) EXPECT_NE(accept(), 0);
  EXPECT_EQ(accept(), 0);
  EXPECT_EQ(tally.not_accepted, 1U);
  EXPECT_EQ(tally.accepted, 3U);
  EXPECT_EQ(heard.requests.size(), 3U);
}

TEST_F(RequestLifecycleTest, OnlyTheFirstAnswerCountsAndItLeavesWhenTheCallHasReturned) {
  const RequestId id = accept();
  lifecycle.reject(id, Duration{40});
  lifecycle.fail(id);
  EXPECT_TRUE(client.answers.empty());
  clock.settle();
  EXPECT_EQ(client.answers, Answers{"rejected"});
  EXPECT_EQ(client.advice, Duration{40});
  EXPECT_EQ(tally.rejected, 1U);
  EXPECT_EQ(tally.failed, 0U);
}

TEST_F(RequestLifecycleTest, AtTheDeadlineTheRequestFailsAndItsAttemptsEnd) {
  const RequestId id = accept();
  attempts.start(id, "a", Duration::zero());
  clock.pass(second);
  EXPECT_EQ(client.answers, Answers{"failed"});
  EXPECT_EQ(carrier.dropped, (std::vector{std::pair(id, 0)}));
  EXPECT_EQ(heard.cancelled, std::vector<RequestId>{id});
  EXPECT_EQ(tally.expired, 1U);
  EXPECT_EQ(log.errors, 1);
  EXPECT_EQ(requests.size(), 0U);
}

TEST_F(RequestLifecycleTest, AReplyInTheTickOfTheDeadlineComesTooLate) {
  const RequestId id = accept();
  attempts.start(id, "a", Duration::zero());
  clock.jump(second);
  lifecycle.attempt_ended(id, 0, {.outcome = AttemptOutcome::succeeded});
  clock.settle();
  EXPECT_EQ(client.answers, Answers{"failed"});
  EXPECT_EQ(tally.succeeded, 0U);
}

TEST_F(RequestLifecycleTest, ACancelledRequestIsReportedOnceAndNeverAnswered) {
  const RequestId id = accept();
  attempts.start(id, "a", Duration::zero());
  lifecycle.cancelled({.request = id, .attempts_unread = 2});
  lifecycle.cancelled({.request = id, .attempts_unread = 0});
  lifecycle.fail(id);
  lifecycle.attempt_ended(id, 0, {.outcome = AttemptOutcome::succeeded});
  clock.settle();
  EXPECT_TRUE(client.answers.empty());
  EXPECT_EQ(heard.cancelled, std::vector<RequestId>{id});
  EXPECT_EQ(tally.cancelled, 1U);
  EXPECT_EQ(tally.attempts_after_cancel, 2U);
  EXPECT_EQ(requests.size(), 0U);
}

TEST_F(RequestLifecycleTest, AClientThatLeavesBetweenTheDecisionAndItsAnswerHearsNothing) {
  const RequestId id = accept();
  lifecycle.reject(id, Duration::zero());
  lifecycle.cancelled({.request = id, .attempts_unread = 0});
  clock.settle();
  EXPECT_TRUE(client.answers.empty());
  EXPECT_TRUE(heard.cancelled.empty());
  EXPECT_EQ(requests.size(), 0U);
}

TEST_F(RequestLifecycleTest, AWaitingRequestReachesTheModuleWithTheTimeItHasLeft) {
  ledger.verdict = AdmissionVerdict::pending;
  const RequestId id = accept();
  EXPECT_TRUE(heard.requests.empty());
  clock.pass(second / 4);
  lifecycle.admission_decided(id, AdmissionVerdict::tracked);
  lifecycle.admission_decided(id, AdmissionVerdict::tracked);
  ASSERT_EQ(heard.requests.size(), 1U);
  EXPECT_EQ(heard.requests[0].time_left, to_duration(second - second / 4));
  lifecycle.fail(id);
  EXPECT_EQ(ledger.fates, std::vector<ExecutionCertainty>{ExecutionCertainty::not_executed});
}

TEST_F(RequestLifecycleTest, EachVerdictAgainstARequestHasItsAnswer) {
  ledger.verdict = AdmissionVerdict::duplicate;
  accept();
  ledger.verdict = AdmissionVerdict::unavailable;
  accept();
  clock.settle();
  EXPECT_EQ(client.answers, (Answers{"known", "rejected"}));
  EXPECT_EQ(client.advice, advice);
  EXPECT_EQ(tally.duplicates, 1U);
  EXPECT_EQ(tally.not_replicated, 1U);
  EXPECT_TRUE(heard.requests.empty());
  EXPECT_TRUE(ledger.fates.empty()) << "neither was recorded";
}

TEST_F(RequestLifecycleTest, OfARequestThatStillWaitsForItsRecordTheModuleNeverHears) {
  ledger.verdict = AdmissionVerdict::pending;
  const RequestId left = accept();
  accept();
  lifecycle.cancelled({.request = left, .attempts_unread = 0});
  clock.pass(second);
  EXPECT_EQ(client.answers, Answers{"rejected"});
  EXPECT_EQ(client.advice, Duration::zero());
  EXPECT_TRUE(heard.requests.empty());
  EXPECT_TRUE(heard.cancelled.empty());
  EXPECT_EQ(ledger.fates, (std::vector<ExecutionCertainty>{ExecutionCertainty::not_executed,
                                                           ExecutionCertainty::not_executed}));
  EXPECT_EQ(tally.expired, 0U);
}

TEST_F(RequestLifecycleTest, ARecordedRequestThatFailsAfterAnAttemptMayHaveRun) {
  ledger.verdict = AdmissionVerdict::tracked;
  const RequestId id = accept();
  attempts.start(id, "a", Duration::zero());
  lifecycle.fail(id);
  EXPECT_EQ(ledger.fates, std::vector<ExecutionCertainty>{ExecutionCertainty::may_have_executed});
}

}  // namespace
}  // namespace rushhill::core
