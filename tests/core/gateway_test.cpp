// The core between a scripted carrier and a clock that only moves when told.
#include "core/gateway.h"

#include <gtest/gtest.h>

#include "core/manual_clock.h"
#include "routing/routing_policy.h"

namespace rushhill::core {
namespace {

constexpr Time second = 10'000;

// What the gateway asked of its ports.
struct Recorded {
  struct Shot {
    RequestId event;
    int leg;
    EndpointId server;
  };
  std::vector<Shot> shots;
  std::set<std::pair<RequestId, int>> out;
  std::size_t most_out = 0;
  std::vector<std::pair<RequestId, int>> dropped;
  std::vector<std::pair<EndpointId, FunctionId>> orders;
  std::map<EndpointId, std::string> addresses;
  std::vector<std::string> messages, answers;
  std::vector<EndpointId> recalled;
  bool unsent = false;  // what is shot waits for its connection
  int errors = 0;
};

struct Told final : Recorded, UpstreamTransport, PeerMessenger, EndpointListSource, EventLog, Client {
  void send(const AttemptCall& call) override {
    shots.push_back({call.request, call.attempt_number, call.endpoint});
    out.insert({call.request, call.attempt_number});
    most_out = std::max(most_out, out.size());
  }
  void cancel(RequestId event, int leg) override {
    dropped.emplace_back(event, leg), out.erase({event, leg});
  }
  bool cancel_unsent(RequestId event, int leg) override {
    if (!unsent) return false;
    cancel(event, leg);
    return true;
  }
  void cancel_all_unsent(const EndpointId& server) override { recalled.push_back(server); }
  void probe(const EndpointId&, Duration) override {}
  void prewarm(const EndpointId& server, const FunctionId& function, int, Duration) override {
    orders.emplace_back(server, function);
  }
  void evict(const EndpointId&, const FunctionId&) override {}
  void close_idle(const EndpointId&) override {}
  void set_address(const EndpointId& server, const std::string& address) override {
    addresses[server] = address;
  }
  void send(int, const std::string& bytes) override { messages.push_back(bytes); }
  void watch(bool) override {}
  void resync() override {}
  bool wants(Level) const override { return true; }
  void write(Level level, const char*, Fields) override { errors += level == Level::error ? 1 : 0; }
  void succeeded(RequestId, events::CloudEvent) override { answers.emplace_back("honoured"); }
  void rejected(RequestId, Duration) override { answers.emplace_back("shed"); }
  void failed(RequestId) override { answers.emplace_back("abandoned"); }

  // Forgets what was recorded.
  void forget() { static_cast<Recorded&>(*this) = Recorded(); }
};

class GatewayStory : public testing::Test {
 protected:
  void start(int servers = 3) {
    gateway = std::make_unique<Gateway>(deployment, 7, Gateway::Ports{clock, told, told, told, told, ledger});
    source = gateway->add_source(1);
    std::vector<EndpointListEntry> entries;
    for (int i = 0; i < servers; ++i)
      entries.push_back(
          {{.id = std::string(1, static_cast<char>('a' + i))}, "127.0.0.1:" + std::to_string(9000 + i)});
    gateway->endpoints_updated(EndpointListForm::complete, entries);
  }
  RequestId event(const std::string& type = "lookup") {
    const auto id = gateway->accept(source, told,
                                    {.request_class = type,
                                     .function = "f",
                                     .time_left = to_duration(2 * second),
                                     .load_time = to_duration(second / 10)},
                                    {.id = "one", .source = "/test", .type = type});
    return id.value_or(0);
  }
  void end(std::size_t shot, AttemptOutcome ending) {
    const Told::Shot of = told.shots.at(shot);
    told.out.erase({of.event, of.leg});
    gateway->attempt_ended(of.event, of.leg, {.outcome = ending, .copy_state = CopyState::loaded});
    clock.settle();
  }

  RoutingConfiguration deployment = [] {
    RoutingConfiguration d;
    d.tick = to_duration(100);
    d.request_classes = {{.name = "lookup",
                          .latency_objective = to_duration(second),
                          .deadline_span = to_duration(2 * second)},
                         {.name = "booking",
                          .latency_objective = to_duration(second),
                          .deadline_span = to_duration(2 * second),
                          .retry_safety = RetrySafety::at_most_once},
                         {.name = "form",
                          .latency_objective = to_duration(second),
                          .deadline_span = to_duration(2 * second),
                          .retry_safety = RetrySafety::keyed,
                          .deduplication_span = to_duration(5 * second)}};
    d.retries.attempt_limit = 4;
    d.open_request_limit = 100;
    d.retries.cancel_attempts = true;
    d.copies.prewarm = true;
    d.copies.state_is_reported = true;
    d.copies.keep_alive = to_duration(10 * second);
    d.copies.prewarm_timeout = to_duration(10 * second);
    d.slow_start.budget_span = to_duration(second);
    d.slow_start.warm_up_span = to_duration(10 * second);
    return d;
  }();
  HandClock clock;
  Told told;
  DeduplicationLog* ledger = nullptr;
  std::unique_ptr<Gateway> gateway;
  admission::Shares::Source source = 0;
};

TEST_F(GatewayStory, AnAnswerInTheTickOfTheHardLimitComesTooLateAndOnlyOneAnswerLeaves) {
  start();
  event();
  clock.pass(2 * second - 1);  // the module has given up a tick before
  ASSERT_EQ(told.answers.size(), 1U);
  clock.pass(1);
  end(0, AttemptOutcome::succeeded);
  EXPECT_EQ(told.answers.size(), 1U);
  EXPECT_EQ(gateway->open_requests(), 0U);
}

TEST_F(GatewayStory, WithoutTheModulesAnswerTheCoreGivesUpAtTheLimitItself) {
  deployment.tick = to_duration(-20'000);  // the module believes that it has two seconds more
  start();
  event();
  clock.pass(2 * second);
  EXPECT_EQ(told.answers, std::vector<std::string>{"abandoned"});
  EXPECT_EQ(gateway->tally().expired, 1U);
  EXPECT_TRUE(told.out.empty());
  clock.pass(5 * second);
  EXPECT_EQ(told.answers.size(), 1U);
}

TEST_F(GatewayStory, InTheVeryTickOfTheHardLimitTheLimitComesBeforeTheAnswer) {
  deployment.tick = to_duration(-20'000);  // the module has not given up yet
  start();
  event();
  clock.jump(2 * second);
  end(0, AttemptOutcome::succeeded);
  clock.pass(second);
  EXPECT_EQ(told.answers, std::vector<std::string>{"abandoned"});
  EXPECT_EQ(gateway->tally().succeeded, 0U);
}

TEST_F(GatewayStory, ASilentServersShotIsGivenUpBeforeTheNextLeaves) {
  start();
  const RequestId first = event();
  clock.pass(2 * second);
  ASSERT_FALSE(told.dropped.empty());
  EXPECT_EQ(told.dropped.front().first, first);
  EXPECT_EQ(told.most_out, 1U);  // never alongside it
  EXPECT_EQ(told.answers.size(), 1U);
}

TEST_F(GatewayStory, TheAnswerOfACalledOffShotIsHeardByNobody) {
  start();
  event();
  clock.pass(2 * second);
  const std::size_t answers = told.answers.size();
  for (std::size_t i = 0; i < told.shots.size(); ++i) end(i, AttemptOutcome::succeeded);
  EXPECT_EQ(told.answers.size(), answers);
  EXPECT_EQ(gateway->tally().succeeded, 0U);
}

TEST_F(GatewayStory, AnAtMostOnceEventThatMayHaveRunIsAbandonedAndNotShotAgain) {
  for (const AttemptOutcome ending : {AttemptOutcome::error, AttemptOutcome::connection_lost}) {
    told.forget();
    start();
    event("booking");
    end(0, ending);
    EXPECT_EQ(told.answers, std::vector<std::string>{"abandoned"});
    EXPECT_EQ(told.shots.size(), 1U);
  }
}

TEST_F(GatewayStory, AnAtMostOnceEventThatProvablyNeverRanGoesElsewhere) {
  deployment.copies.prewarm = false;
  for (const AttemptOutcome ending :
       {AttemptOutcome::overloaded, AttemptOutcome::connect_failed, AttemptOutcome::function_missing}) {
    told.forget();
    start();
    event("booking");
    end(0, ending);
    ASSERT_EQ(told.shots.size(), 2U) << static_cast<int>(ending)
                                     << (told.answers.empty() ? "" : told.answers[0]);
    EXPECT_TRUE(told.answers.empty());
    end(1, AttemptOutcome::succeeded);
    EXPECT_EQ(told.answers, std::vector<std::string>{"honoured"});
  }
}

TEST_F(GatewayStory, AClientGoneWhileItsOrderIsPendingLeavesNothingBehind) {
  deployment.copies.missing_is_answered = true;
  start();
  const RequestId id = event();
  for (std::size_t i = 0; i < told.shots.size() && told.orders.empty(); ++i)
    end(i, AttemptOutcome::function_missing);
  ASSERT_EQ(told.orders.size(), 1U);
  gateway->client_cancelled(id);
  clock.settle();
  const std::size_t shots = told.shots.size();
  gateway->prewarm_ended(told.orders[0].first, "f", AttemptOutcome::succeeded, 1);
  clock.pass(5 * second);
  EXPECT_EQ(told.shots.size(), shots);
  EXPECT_TRUE(told.answers.empty());
  EXPECT_EQ(gateway->open_requests(), 0U);
}

TEST_F(GatewayStory, AClientThatLeavesIsAnsweredNoMoreAndItsShotCalledOff) {
  start();
  const RequestId id = event();
  gateway->client_cancelled(id);
  clock.settle();
  EXPECT_EQ(told.dropped.size(), 1U);
  end(0, AttemptOutcome::succeeded);
  clock.pass(5 * second);
  EXPECT_TRUE(told.answers.empty());
  EXPECT_EQ(gateway->tally().cancelled, 1U);
}

TEST_F(GatewayStory, BeyondTheOpenCapNothingIsTakenAndRoomComesBack) {
  deployment.open_request_limit = 1;
  start();
  EXPECT_NE(event(), 0);
  EXPECT_EQ(event(), 0);
  end(0, AttemptOutcome::succeeded);
  EXPECT_NE(event(), 0);
  EXPECT_EQ(gateway->tally().not_accepted, 1U);
}

TEST_F(GatewayStory, AnAnswerTheModuleGivesAtOnceLeavesAfterTheEventIsTaken) {
  start(0);  // nobody to send to
  event();
  EXPECT_TRUE(told.answers.empty());
  clock.pass(2 * second);
  EXPECT_EQ(told.answers, std::vector<std::string>{"shed"});
}

TEST_F(GatewayStory, ShotsEndOnceWhateverTheCarrierSaysTwice) {
  start();
  event();
  end(0, AttemptOutcome::connection_lost);
  end(0, AttemptOutcome::succeeded);
  EXPECT_TRUE(told.answers.empty());
  EXPECT_EQ(told.shots.size(), 2U);
}

TEST_F(GatewayStory, AShotWithItsOwnTimeOutEndsThenAndTheServerIsNotHeardAnyMore) {
  start();
  const RequestId id = event();
  end(0, AttemptOutcome::overloaded);
  const std::size_t shots = told.shots.size();
  static_cast<RoutingHost&>(*gateway).send_attempt(id, "c", to_duration(second / 10));
  clock.pass(second / 10);
  EXPECT_EQ(told.dropped.back(), std::pair(id, static_cast<int>(shots)));
  EXPECT_EQ(gateway->tally().outcomes[static_cast<std::size_t>(AttemptOutcome::unanswered)], 1U);
}

TEST_F(GatewayStory, AShotForAnEventThatHasItsAnswerIsNeverSent) {
  start();
  const RequestId id = event();
  static_cast<RoutingHost&>(*gateway).reject(id, Duration::zero());
  const std::size_t shots = told.shots.size();
  static_cast<RoutingHost&>(*gateway).send_attempt(id, "c", to_duration(0));
  clock.settle();
  EXPECT_EQ(told.shots.size(), shots);
  EXPECT_EQ(gateway->tally().outcomes[static_cast<std::size_t>(AttemptOutcome::not_sent)], 1U);
}

struct Book final : DeduplicationLog {
  bool prepare_prewarm() override { return ++asked > 1; }
  AdmissionVerdict admit(RequestId, const std::string&, const events::CloudEvent&, Duration) override {
    return says;
  }
  void request_ended(const events::CloudEvent&, ExecutionCertainty fate) override { fates.push_back(fate); }
  int asked = 0;
  AdmissionVerdict says = AdmissionVerdict::untracked;
  std::vector<ExecutionCertainty> fates;
};

TEST_F(GatewayStory, AnEventWaitsForItsMarkAndHasThatMuchLessTime) {
  Book book;
  book.says = AdmissionVerdict::pending;
  ledger = &book;
  start();
  const RequestId id = event("booking");
  clock.pass(second / 2);
  EXPECT_TRUE(told.shots.empty());
  gateway->admission_decided(id, AdmissionVerdict::tracked);
  ASSERT_EQ(told.shots.size(), 1U);
  end(0, AttemptOutcome::succeeded);
  EXPECT_EQ(told.answers, std::vector<std::string>{"honoured"});
  EXPECT_EQ(book.fates, std::vector<ExecutionCertainty>{ExecutionCertainty::executed});
  clock.pass(2 * second);
  EXPECT_EQ(gateway->open_requests(), 0U);
}

TEST_F(GatewayStory, AMarkThatIsNotHeldOrThatAnotherHasEndsTheEventUnrun) {
  Book book;
  book.says = AdmissionVerdict::pending;
  ledger = &book;
  start();
  gateway->admission_decided(event("booking"), AdmissionVerdict::unavailable);
  gateway->admission_decided(event("booking"), AdmissionVerdict::duplicate);
  clock.settle();
  EXPECT_EQ(told.answers, (std::vector<std::string>{"shed", "abandoned"}));
  book.says = AdmissionVerdict::duplicate;
  event("booking");
  clock.settle();
  EXPECT_EQ(told.answers.size(), 3U);
  EXPECT_EQ(told.answers.back(), "abandoned");
  EXPECT_EQ(book.fates, (std::vector<ExecutionCertainty>{ExecutionCertainty::not_executed,
                                                         ExecutionCertainty::not_executed}))
      << "the third was never taken here";
  EXPECT_TRUE(told.shots.empty());
  EXPECT_EQ(gateway->open_requests(), 0U);
}

TEST_F(GatewayStory, AMarkThatComesTooLateMovesNothing) {
  Book book;
  book.says = AdmissionVerdict::pending;
  ledger = &book;
  start();
  const RequestId left = event("booking"), slow = event("booking");
  gateway->client_cancelled(left);
  clock.settle();
  gateway->admission_decided(left, AdmissionVerdict::tracked);
  clock.jump(3 * second);  // stopped, and on again after the event's time
  gateway->admission_decided(slow, AdmissionVerdict::tracked);
  clock.settle();
  EXPECT_TRUE(told.shots.empty());
  EXPECT_EQ(told.answers, std::vector<std::string>{"shed"});
  EXPECT_EQ(book.fates, (std::vector<ExecutionCertainty>{ExecutionCertainty::not_executed,
                                                         ExecutionCertainty::not_executed}));
  EXPECT_EQ(told.errors, 0);
}

TEST_F(GatewayStory, AnEventGivenUpAfterAShotMayHaveRun) {
  Book book;
  book.says = AdmissionVerdict::tracked;
  ledger = &book;
  start();
  event("booking");
  clock.pass(2 * second);
  EXPECT_EQ(told.answers, std::vector<std::string>{"abandoned"});
  EXPECT_EQ(book.fates, std::vector<ExecutionCertainty>{ExecutionCertainty::may_have_executed});
}

TEST_F(GatewayStory, AnOrderThatCannotBeToldToOthersFirstNeverLeaves) {
  Book book;
  deployment.copies.missing_is_answered = deployment.copies.prewarm = true;
  ledger = &book;
  start();
  event();
  end(0, AttemptOutcome::function_missing);
  EXPECT_EQ(book.asked, 1);
  EXPECT_TRUE(told.orders.empty());
  EXPECT_EQ(gateway->tally().prewarms, 0U);
  // It has ended for the module, which goes on: the next one is told and leaves.
  clock.pass(second / 5);
  ASSERT_GE(told.shots.size(), 2U);
  end(told.shots.size() - 1, AttemptOutcome::function_missing);
  clock.pass(second / 5);
  EXPECT_EQ(told.orders.size(), gateway->tally().prewarms);
  EXPECT_GT(told.orders.size(), 0U);
}

TEST_F(GatewayStory, ServersThatLeaveTheListAreReachedNoMore) {
  start();
  gateway->endpoints_updated(EndpointListForm::complete, {{{.id = "b"}, "127.0.0.1:9001"}});
  EXPECT_EQ(told.addresses.at("a"), "");
  EXPECT_EQ(told.addresses.at("b"), "127.0.0.1:9001");
  gateway->endpoints_updated(EndpointListForm::delta, {{{.id = "b"}, "127.0.0.1:9777"}});
  EXPECT_EQ(told.addresses.at("b"), "127.0.0.1:9777");
}

TEST_F(GatewayStory, AMessageLongerThanPeersMayHearIsNotSent) {
  deployment.reports.gossip = true;
  start();
  static_cast<RoutingHost&>(*gateway).send_gossip(-1, std::string(257, 'x'));
  EXPECT_TRUE(told.messages.empty());
  static_cast<RoutingHost&>(*gateway).send_gossip(-1, std::string(256, 'x'));
  EXPECT_EQ(told.messages.size(), 1U);
}

TEST_F(GatewayStory, TwentyThousandEventsLeaveNoAlarmAndNoRecordBehind) {
  deployment.open_request_limit = 200'000;
  start();
  const std::size_t before = clock.standing();
  for (int i = 0; i < 20'000; ++i) event();
  clock.pass(10 * second);
  EXPECT_EQ(told.answers.size(), 20'000U);
  EXPECT_EQ(gateway->open_requests(), 0U);
  EXPECT_LE(clock.standing(), before + 1);
}

TEST_F(GatewayStory, WhereShotsMayNotBeCalledOffWhatHasNotLeftIsTakenBackAllTheSame) {
  deployment.retries.cancel_attempts = false;
  start();
  const RequestId waiting = event();
  told.unsent = true;
  gateway->client_cancelled(waiting);
  clock.settle();
  EXPECT_EQ(told.dropped, (std::vector{std::pair(waiting, 0)}));
  told.unsent = false;
  const RequestId out = event();
  gateway->client_cancelled(out);
  clock.settle();
  EXPECT_EQ(told.dropped.size(), 1U) << "what is out may not be called off here";
}

TEST_F(GatewayStory, TheWordLeavingTakesBackWhatHasNotLeftForThatServerAlone) {
  start();
  gateway->endpoints_updated(
      EndpointListForm::delta,
      {{{.id = "b", .state = EndpointState::draining}, "127.0.0.1:9001"}, {{.id = "c"}, "127.0.0.1:9002"}});
  EXPECT_EQ(told.recalled, std::vector<EndpointId>{"b"});
  gateway->endpoints_updated(EndpointListForm::complete, {{{.id = "c"}, "127.0.0.1:9002"}});
  EXPECT_EQ(told.recalled, (std::vector<EndpointId>{"b", "a", "b"}))
      << "what a whole list leaves out is gone";
}

TEST_F(GatewayStory, ARouterThatMustEndAnswersEveryOpenEventOnce) {
  start();
  event();
  event("booking");
  EXPECT_TRUE(gateway->any_client_waits());
  gateway->expire_all();
  EXPECT_TRUE(gateway->any_client_waits()) << "decided and not handed over is owed still";
  clock.settle();
  EXPECT_FALSE(gateway->any_client_waits());
  EXPECT_EQ(told.answers, (std::vector<std::string>{"abandoned", "abandoned"}));
  clock.pass(3 * second);
  EXPECT_EQ(told.answers.size(), 2U);
}

}  // namespace
}  // namespace rushhill::core
