// The life of a request: every accepted one gets exactly one final answer, whatever comes first.
#include "core/request_lifecycle.h"

#include "core/parts_fixture.h"

namespace rushhill::core {
namespace {

struct RecordingClient final : Client {
  void honoured(EventId, events::CloudEvent) override { answers.emplace_back("succeeded"); }
  void shed(EventId, Time come_back) override {
    answers.emplace_back("rejected");
    advice = come_back;
  }
  void abandoned(EventId) override { answers.emplace_back("failed"); }
  void known(EventId) override { answers.emplace_back("known"); }
  void attempt_started(EventId) override { ++started; }
  std::vector<std::string> answers;
  Time advice = 0;
  int started = 0;
};

struct ScriptedLedger final : Ledger {
  bool ordering() override { return true; }
  Taking taking(EventId, const std::string&, const events::CloudEvent&, Time) override { return verdict; }
  void ended(const events::CloudEvent&, Fate fate) override { fates.push_back(fate); }
  Taking verdict = Taking::unmarked;
  std::vector<Fate> fates;
};

using Answers = std::vector<std::string>;

class RequestLifecycleTest : public PartsFixture {
 protected:
  static constexpr Time advice = 700;

  EventId accept() {
    return lifecycle.accept(source, client, {.traffic_type = "lookup", .left = second}, {.id = "one"})
        .value_or(0);
  }

  RecordingClient client;
  ScriptedLedger ledger;
  SourceRoom room{3};
  SourceRoom::Source source = room.add(1, false);
  RequestLifecycle lifecycle{{.clock = clock,
                              .log = log,
                              .ledger = &ledger,
                              .requests = requests,
                              .attempts = attempts,
                              .room = room,
                              .deferred = deferred,
                              .decisions = decisions,
                              .tally = tally},
                             advice};
};

TEST_F(RequestLifecycleTest, ASucceedingRequestIsAnsweredOnceAndLeavesNothingBehind) {
  const EventId id = accept();
  ASSERT_EQ(heard.requests.size(), 1U);
  EXPECT_EQ(heard.requests[0].id, id);
  attempts.start(id, "a", second / 2);
  lifecycle.attempt_started(id);
  lifecycle.attempt_ended(id, 0, {.ending = Ending::honoured});
  lifecycle.attempt_ended(id, 0, {.ending = Ending::honoured});
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
  EXPECT_EQ(tally.refused, 1U);
  EXPECT_EQ(tally.taken, 3U);
  EXPECT_EQ(heard.requests.size(), 3U);
}

TEST_F(RequestLifecycleTest, OnlyTheFirstAnswerCountsAndItLeavesWhenTheCallHasReturned) {
  const EventId id = accept();
  lifecycle.reject(id, 40);
  lifecycle.fail(id);
  EXPECT_TRUE(client.answers.empty());
  clock.settle();
  EXPECT_EQ(client.answers, Answers{"rejected"});
  EXPECT_EQ(client.advice, 40);
  EXPECT_EQ(tally.shed, 1U);
  EXPECT_EQ(tally.abandoned, 0U);
}

TEST_F(RequestLifecycleTest, AtTheDeadlineTheRequestFailsAndItsAttemptsEnd) {
  const EventId id = accept();
  attempts.start(id, "a", 0);
  clock.pass(second);
  EXPECT_EQ(client.answers, Answers{"failed"});
  EXPECT_EQ(carrier.dropped, (std::vector{std::pair(id, 0)}));
  EXPECT_EQ(heard.cancelled, std::vector<EventId>{id});
  EXPECT_EQ(tally.overdue, 1U);
  EXPECT_EQ(log.errors, 1);
  EXPECT_EQ(requests.size(), 0U);
}

TEST_F(RequestLifecycleTest, AReplyInTheTickOfTheDeadlineComesTooLate) {
  const EventId id = accept();
  attempts.start(id, "a", 0);
  clock.jump(second);
  lifecycle.attempt_ended(id, 0, {.ending = Ending::honoured});
  clock.settle();
  EXPECT_EQ(client.answers, Answers{"failed"});
  EXPECT_EQ(tally.honoured, 0U);
}

TEST_F(RequestLifecycleTest, ACancelledRequestIsReportedOnceAndNeverAnswered) {
  const EventId id = accept();
  attempts.start(id, "a", 0);
  lifecycle.cancelled(id, 2);
  lifecycle.cancelled(id, 0);
  lifecycle.fail(id);
  lifecycle.attempt_ended(id, 0, {.ending = Ending::honoured});
  clock.settle();
  EXPECT_TRUE(client.answers.empty());
  EXPECT_EQ(heard.cancelled, std::vector<EventId>{id});
  EXPECT_EQ(tally.gone, 1U);
  EXPECT_EQ(tally.attempts_after_cancel, 2U);
  EXPECT_EQ(requests.size(), 0U);
}

TEST_F(RequestLifecycleTest, AClientThatLeavesBetweenTheDecisionAndItsAnswerHearsNothing) {
  const EventId id = accept();
  lifecycle.reject(id, 0);
  lifecycle.cancelled(id, 0);
  clock.settle();
  EXPECT_TRUE(client.answers.empty());
  EXPECT_TRUE(heard.cancelled.empty());
  EXPECT_EQ(requests.size(), 0U);
}

TEST_F(RequestLifecycleTest, AWaitingRequestReachesTheModuleWithTheTimeItHasLeft) {
  ledger.verdict = Taking::wait;
  const EventId id = accept();
  EXPECT_TRUE(heard.requests.empty());
  clock.pass(second / 4);
  lifecycle.verdict(id, Taking::marked);
  lifecycle.verdict(id, Taking::marked);
  ASSERT_EQ(heard.requests.size(), 1U);
  EXPECT_EQ(heard.requests[0].left, second - second / 4);
  lifecycle.fail(id);
  EXPECT_EQ(ledger.fates, std::vector<Fate>{Fate::unrun});
}

TEST_F(RequestLifecycleTest, EachVerdictAgainstARequestHasItsAnswer) {
  ledger.verdict = Taking::known;
  accept();
  ledger.verdict = Taking::not_now;
  accept();
  clock.settle();
  EXPECT_EQ(client.answers, (Answers{"known", "rejected"}));
  EXPECT_EQ(client.advice, advice);
  EXPECT_EQ(tally.known, 1U);
  EXPECT_EQ(tally.not_held, 1U);
  EXPECT_TRUE(heard.requests.empty());
  EXPECT_TRUE(ledger.fates.empty()) << "neither was recorded";
}

TEST_F(RequestLifecycleTest, OfARequestThatStillWaitsForItsRecordTheModuleNeverHears) {
  ledger.verdict = Taking::wait;
  const EventId left = accept();
  accept();
  lifecycle.cancelled(left, 0);
  clock.pass(second);
  EXPECT_EQ(client.answers, Answers{"rejected"});
  EXPECT_EQ(client.advice, 0);
  EXPECT_TRUE(heard.requests.empty());
  EXPECT_TRUE(heard.cancelled.empty());
  EXPECT_EQ(ledger.fates, (std::vector<Fate>{Fate::unrun, Fate::unrun}));
  EXPECT_EQ(tally.overdue, 0U);
}

TEST_F(RequestLifecycleTest, ARecordedRequestThatFailsAfterAnAttemptMayHaveRun) {
  ledger.verdict = Taking::marked;
  const EventId id = accept();
  attempts.start(id, "a", 0);
  lifecycle.fail(id);
  EXPECT_EQ(ledger.fates, std::vector<Fate>{Fate::may_have_run});
}

}  // namespace
}  // namespace rushhill::core
