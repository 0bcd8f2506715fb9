// Guards against requests that get no final answer or more than one. The tests bring about the deadline,
// replies, cancellations and admission verdicts in different orders.
#include "core/request_lifecycle.h"

#include "core/gateway_parts_fixture.h"

namespace rushhill::core {
namespace {

struct RecordingClient final : Client {
  void succeeded(RequestId, events::CloudEvent) override { answers.emplace_back("succeeded"); }
  void rejected(RequestId, Duration delay) override {
    answers.emplace_back("rejected");
    retry_after = delay;
  }
  void failed(RequestId) override { answers.emplace_back("failed"); }
  void duplicate(RequestId) override { answers.emplace_back("known"); }
  void attempt_started(RequestId) override { ++started; }
  std::vector<std::string> answers;
  Duration retry_after{};
  int started = 0;
};

struct ScriptedDeduplicationLog final : DeduplicationLog {
  bool prepare_prewarm() override { return true; }
  AdmissionVerdict admit(RequestId, const std::string&, const events::CloudEvent&, Duration) override {
    return verdict;
  }
  void request_ended(const events::CloudEvent&, ExecutionCertainty certainty) override {
    certainties.push_back(certainty);
  }
  AdmissionVerdict verdict = AdmissionVerdict::untracked;
  std::vector<ExecutionCertainty> certainties;
};

using Answers = std::vector<std::string>;

class RequestLifecycleTest : public GatewayPartsFixture {
 protected:
  static constexpr Duration advised_retry_after{700};

  RequestId accept() {
    return lifecycle
        .accept(source, client, {.request_class = "lookup", .time_left = to_duration(second)}, {.id = "one"})
        .value_or(0);
  }

  RecordingClient client;
  ScriptedDeduplicationLog deduplication;
  SourceLimiter source_limiter{3};
  SourceLimiter::Source source = source_limiter.add_source(1, false);
  RequestLifecycle lifecycle{{.clock = clock,
                              .log = log,
                              .deduplication = &deduplication,
                              .requests = requests,
                              .attempts = attempts,
                              .source_limiter = source_limiter,
                              .deferred = deferred,
                              .policy = policy,
                              .counters = counters},
                             advised_retry_after};
};

// Guards against final answers that are decided in time but delivered late, behind other work.
TEST_F(RequestLifecycleTest, DeliversFinalAnswersAheadOfWhatWasPostedBefore) {
  const RequestId rejected = accept();
  const RequestId failed = accept();
  attempts.start(failed, "a", {.timeout = to_duration(second / 2)});
  Answers answers_before_other_work;
  clock.post([&] { answers_before_other_work = client.answers; });
  lifecycle.reject(rejected, Duration::zero());
  lifecycle.fail(failed);
  EXPECT_TRUE(client.answers.empty());
  clock.run_posted_calls();
  EXPECT_EQ(answers_before_other_work, (Answers{"rejected", "failed"}));
}

TEST_F(RequestLifecycleTest, AnswersASuccessfulRequestOnceAndReleasesItsState) {
  const RequestId id = accept();
  ASSERT_EQ(policy_events.requests.size(), 1U);
  EXPECT_EQ(policy_events.requests[0].id, id);
  attempts.start(id, "a", {.timeout = to_duration(second / 2)});
  lifecycle.attempt_started(id);
  lifecycle.attempt_ended(id, 0, {.outcome = AttemptOutcome::succeeded});
  lifecycle.attempt_ended(id, 0, {.outcome = AttemptOutcome::succeeded});
  clock.advance(2 * second);
  EXPECT_EQ(client.answers, Answers{"succeeded"});
  EXPECT_EQ(client.started, 1);
  ASSERT_EQ(policy_events.attempt_ends.size(), 1U);
  EXPECT_TRUE(policy_events.attempt_ends[0].final);
  EXPECT_EQ(requests.size(), 0U);
  EXPECT_EQ(source_limiter.open_requests(), 0U);
  EXPECT_EQ(clock.pending_timers(), 0U);
}

TEST_F(RequestLifecycleTest, AcceptsNoRequestBeyondTheSourceLimit) {
  for (int i = 0; i < 3; ++i) EXPECT_NE(accept(), 0);
  EXPECT_EQ(accept(), 0);
  EXPECT_EQ(counters.not_accepted, 1U);
  EXPECT_EQ(counters.accepted, 3U);
  EXPECT_EQ(policy_events.requests.size(), 3U);
}

TEST_F(RequestLifecycleTest, DeliversOnlyTheFirstAnswerAfterTheCurrentCall) {
  const RequestId id = accept();
  lifecycle.reject(id, Duration{40});
  lifecycle.fail(id);
  EXPECT_TRUE(client.answers.empty());
  clock.run_posted_calls();
  EXPECT_EQ(client.answers, Answers{"rejected"});
  EXPECT_EQ(client.retry_after, Duration{40});
  EXPECT_EQ(counters.rejected, 1U);
  EXPECT_EQ(counters.failed, 0U);
}

TEST_F(RequestLifecycleTest, FailsTheRequestAndEndsItsAttemptsAtTheDeadline) {
  const RequestId id = accept();
  attempts.start(id, "a", {});
  clock.advance(second);
  EXPECT_EQ(client.answers, Answers{"failed"});
  EXPECT_EQ(transport.cancelled_attempts, (std::vector{std::pair(id, 0)}));
  EXPECT_EQ(policy_events.cancelled_requests, std::vector<RequestId>{id});
  EXPECT_EQ(counters.expired, 1U);
  EXPECT_EQ(log.errors, 1);
  EXPECT_EQ(requests.size(), 0U);
}

TEST_F(RequestLifecycleTest, IgnoresAReplyInTheTickOfTheDeadline) {
  const RequestId id = accept();
  attempts.start(id, "a", {});
  clock.advance_without_firing(second);
  lifecycle.attempt_ended(id, 0, {.outcome = AttemptOutcome::succeeded});
  clock.run_posted_calls();
  EXPECT_EQ(client.answers, Answers{"failed"});
  EXPECT_EQ(counters.succeeded, 0U);
}

TEST_F(RequestLifecycleTest, ReportsACancelledRequestOnceAndNeverAnswersIt) {
  const RequestId id = accept();
  attempts.start(id, "a", {});
  lifecycle.client_cancelled({.request = id, .attempts_after_cancel = 2});
  lifecycle.client_cancelled({.request = id, .attempts_after_cancel = 0});
  lifecycle.fail(id);
  lifecycle.attempt_ended(id, 0, {.outcome = AttemptOutcome::succeeded});
  clock.run_posted_calls();
  EXPECT_TRUE(client.answers.empty());
  EXPECT_EQ(policy_events.cancelled_requests, std::vector<RequestId>{id});
  EXPECT_EQ(counters.cancelled, 1U);
  EXPECT_EQ(counters.attempts_after_cancel, 2U);
  EXPECT_EQ(requests.size(), 0U);
}

TEST_F(RequestLifecycleTest, DeliversNoAnswerAfterACancellation) {
  const RequestId id = accept();
  lifecycle.reject(id, Duration::zero());
  lifecycle.client_cancelled({.request = id, .attempts_after_cancel = 0});
  clock.run_posted_calls();
  EXPECT_TRUE(client.answers.empty());
  EXPECT_TRUE(policy_events.cancelled_requests.empty());
  EXPECT_EQ(requests.size(), 0U);
}

TEST_F(RequestLifecycleTest, PassesAPendingRequestToThePolicyWithItsRemainingTime) {
  deduplication.verdict = AdmissionVerdict::pending;
  const RequestId id = accept();
  EXPECT_TRUE(policy_events.requests.empty());
  clock.advance(second / 4);
  lifecycle.admission_decided(id, AdmissionVerdict::tracked);
  lifecycle.admission_decided(id, AdmissionVerdict::tracked);
  ASSERT_EQ(policy_events.requests.size(), 1U);
  EXPECT_EQ(policy_events.requests[0].time_left, to_duration(second - second / 4));
  lifecycle.fail(id);
  EXPECT_EQ(deduplication.certainties, std::vector<ExecutionCertainty>{ExecutionCertainty::not_executed});
}

TEST_F(RequestLifecycleTest, AnswersDuplicateAndUnavailableRequests) {
  deduplication.verdict = AdmissionVerdict::duplicate;
  accept();
  deduplication.verdict = AdmissionVerdict::unavailable;
  accept();
  clock.run_posted_calls();
  EXPECT_EQ(client.answers, (Answers{"known", "rejected"}));
  EXPECT_EQ(client.retry_after, advised_retry_after);
  EXPECT_EQ(counters.duplicates, 1U);
  EXPECT_EQ(counters.not_replicated, 1U);
  EXPECT_TRUE(policy_events.requests.empty());
  EXPECT_TRUE(deduplication.certainties.empty()) << "the end of an unrecorded request must not be reported";
}

TEST_F(RequestLifecycleTest, NeverPassesARequestWithoutAVerdictToThePolicy) {
  deduplication.verdict = AdmissionVerdict::pending;
  const RequestId cancelled_id = accept();
  accept();
  lifecycle.client_cancelled({.request = cancelled_id, .attempts_after_cancel = 0});
  clock.advance(second);
  EXPECT_EQ(client.answers, Answers{"rejected"});
  EXPECT_EQ(client.retry_after, Duration::zero());
  EXPECT_TRUE(policy_events.requests.empty());
  EXPECT_TRUE(policy_events.cancelled_requests.empty());
  EXPECT_EQ(deduplication.certainties, (std::vector<ExecutionCertainty>{ExecutionCertainty::not_executed,
                                                                        ExecutionCertainty::not_executed}));
  EXPECT_EQ(counters.expired, 0U);
}

TEST_F(RequestLifecycleTest, ReportsAFailedRequestWithAnAttemptAsPossiblyExecuted) {
  deduplication.verdict = AdmissionVerdict::tracked;
  const RequestId id = accept();
  attempts.start(id, "a", {});
  lifecycle.fail(id);
  EXPECT_EQ(deduplication.certainties,
            std::vector<ExecutionCertainty>{ExecutionCertainty::may_have_executed});
}

}  // namespace
}  // namespace rushhill::core
