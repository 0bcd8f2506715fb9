// The core between a scripted carrier and a clock that only moves when told.
#include "core/gateway.h"

#include <gtest/gtest.h>

#include "core/manual_clock.h"

namespace rushhill::core {
namespace {

constexpr Time second = 10'000;

struct Told final : Carrier, Peers, RosterSource, Diary, Client {
  void shoot(const ShotCall& call) override {
    shots.push_back({call.event, call.leg, call.server});
    out.insert({call.event, call.leg});
    most_out = std::max(most_out, out.size());
  }
  void drop(EventId event, int leg) override { dropped.emplace_back(event, leg), out.erase({event, leg}); }
  bool recall(EventId event, int leg) override {
    if (!unsent) return false;
    drop(event, leg);
    return true;
  }
  void recall_all(const ServerId& server) override { recalled.push_back(server); }
  void probe(const ServerId&, Time) override {}
  void order(const ServerId& server, const FunctionId& function, int, Time) override {
    orders.emplace_back(server, function);
  }
  void unload(const ServerId&, const FunctionId&) override {}
  void close_idle(const ServerId&) override {}
  void reach(const ServerId& server, const std::string& address) override { addresses[server] = address; }
  void tell(int, const std::string& bytes) override { messages.push_back(bytes); }
  void follow(bool) override {}
  void reload() override {}
  bool wants(Level) const override { return true; }
  void line(Level level, const char*, Fields) override { errors += level == Level::error ? 1 : 0; }
  void honoured(EventId, events::CloudEvent) override { answers.emplace_back("honoured"); }
  void shed(EventId, Time) override { answers.emplace_back("shed"); }
  void abandoned(EventId) override { answers.emplace_back("abandoned"); }

  struct Shot {
    EventId event;
    int leg;
    ServerId server;
  };
  std::vector<Shot> shots;
  std::set<std::pair<EventId, int>> out;
  std::size_t most_out = 0;
  std::vector<std::pair<EventId, int>> dropped;
  std::vector<std::pair<ServerId, FunctionId>> orders;
  std::map<ServerId, std::string> addresses;
  std::vector<std::string> messages, answers;
  std::vector<ServerId> recalled;
  bool unsent = false;  // what is shot waits for its connection
  int errors = 0;
};

class GatewayStory : public testing::Test {
 protected:
  void start(int servers = 3) {
    gateway = std::make_unique<Gateway>(deployment, 7, Gateway::Ports{clock, told, told, told, told, ledger});
    source = gateway->add_source(1);
    std::vector<RosterEntry> entries;
    for (int i = 0; i < servers; ++i)
      entries.push_back(
          {{.id = std::string(1, static_cast<char>('a' + i))}, "127.0.0.1:" + std::to_string(9000 + i)});
    gateway->roster(RosterForm::complete, entries);
  }
  EventId event(const std::string& type = "lookup") {
    const auto id = gateway->take(
        source, told, {.traffic_type = type, .function = "f", .left = 2 * second, .load_time = second / 10},
        {.id = "one", .source = "/test", .type = type});
    return id.value_or(0);
  }
  void end(std::size_t shot, Ending ending) {
    const Told::Shot of = told.shots.at(shot);
    told.out.erase({of.event, of.leg});
    gateway->shot_ended(of.event, of.leg, {.ending = ending, .warmth = Warmth::found});
    clock.settle();
  }

  Deployment deployment = [] {
    Deployment d;
    d.tick = 100;
    d.traffic_types = {
        {.name = "lookup", .due = second, .hard_limit = 2 * second},
        {.name = "booking", .due = second, .hard_limit = 2 * second, .effect = Effect::at_most_once},
        {.name = "form",
         .due = second,
         .hard_limit = 2 * second,
         .effect = Effect::numbered,
         .memory_span = 5 * second}};
    d.shot_cap = 4;
    d.open_cap = 100;
    d.cancel = true;
    d.orders = true;
    d.tells_warm = true;
    d.keep_alive = 10 * second;
    d.order_limit = 10 * second;
    d.fall_span = second;
    d.cold_span = 10 * second;
    return d;
  }();
  HandClock clock;
  Told told;
  Ledger* ledger = nullptr;
  std::unique_ptr<Gateway> gateway;
  admission::Shares::Source source = 0;
};

TEST_F(GatewayStory, AnAnswerInTheTickOfTheHardLimitComesTooLateAndOnlyOneAnswerLeaves) {
  start();
  event();
  clock.pass(2 * second - 1);  // the module has given up a tick before
  ASSERT_EQ(told.answers.size(), 1U);
  clock.pass(1);
  end(0, Ending::honoured);
  EXPECT_EQ(told.answers.size(), 1U);
  EXPECT_EQ(gateway->open(), 0U);
}

TEST_F(GatewayStory, WithoutTheModulesAnswerTheCoreGivesUpAtTheLimitItself) {
  deployment.tick = -20'000;  // the module believes that it has two seconds more
  start();
  event();
  clock.pass(2 * second);
  EXPECT_EQ(told.answers, std::vector<std::string>{"abandoned"});
  EXPECT_EQ(gateway->tally().overdue, 1U);
  EXPECT_TRUE(told.out.empty());
  clock.pass(5 * second);
  EXPECT_EQ(told.answers.size(), 1U);
}

TEST_F(GatewayStory, InTheVeryTickOfTheHardLimitTheLimitComesBeforeTheAnswer) {
  deployment.tick = -20'000;  // the module has not given up yet
  start();
  event();
  clock.jump(2 * second);
  end(0, Ending::honoured);
  clock.pass(second);
  EXPECT_EQ(told.answers, std::vector<std::string>{"abandoned"});
  EXPECT_EQ(gateway->tally().honoured, 0U);
}

TEST_F(GatewayStory, ASilentServersShotIsGivenUpBeforeTheNextLeaves) {
  start();
  const EventId first = event();
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
  for (std::size_t i = 0; i < told.shots.size(); ++i) end(i, Ending::honoured);
  EXPECT_EQ(told.answers.size(), answers);
  EXPECT_EQ(gateway->tally().honoured, 0U);
}

TEST_F(GatewayStory, AnAtMostOnceEventThatMayHaveRunIsAbandonedAndNotShotAgain) {
  for (const Ending ending : {Ending::error, Ending::connection_lost}) {
    told = Told();
    start();
    event("booking");
    end(0, ending);
    EXPECT_EQ(told.answers, std::vector<std::string>{"abandoned"});
    EXPECT_EQ(told.shots.size(), 1U);
  }
}

TEST_F(GatewayStory, AnAtMostOnceEventThatProvablyNeverRanGoesElsewhere) {
  deployment.orders = false;
  for (const Ending ending : {Ending::turned_away, Ending::no_connection, Ending::not_stored}) {
    told = Told();
    start();
    event("booking");
    end(0, ending);
    ASSERT_EQ(told.shots.size(), 2U) << static_cast<int>(ending)
                                     << (told.answers.empty() ? "" : told.answers[0]);
    EXPECT_TRUE(told.answers.empty());
    end(1, Ending::honoured);
    EXPECT_EQ(told.answers, std::vector<std::string>{"honoured"});
  }
}

TEST_F(GatewayStory, AClientGoneWhileItsOrderIsPendingLeavesNothingBehind) {
  deployment.miss_answers = true;
  start();
  const EventId id = event();
  for (std::size_t i = 0; i < told.shots.size() && told.orders.empty(); ++i) end(i, Ending::not_stored);
  ASSERT_EQ(told.orders.size(), 1U);
  gateway->client_gone(id);
  clock.settle();
  const std::size_t shots = told.shots.size();
  gateway->order_ended(told.orders[0].first, "f", Ending::honoured, 1);
  clock.pass(5 * second);
  EXPECT_EQ(told.shots.size(), shots);
  EXPECT_TRUE(told.answers.empty());
  EXPECT_EQ(gateway->open(), 0U);
}

TEST_F(GatewayStory, AClientThatLeavesIsAnsweredNoMoreAndItsShotCalledOff) {
  start();
  const EventId id = event();
  gateway->client_gone(id);
  clock.settle();
  EXPECT_EQ(told.dropped.size(), 1U);
  end(0, Ending::honoured);
  clock.pass(5 * second);
  EXPECT_TRUE(told.answers.empty());
  EXPECT_EQ(gateway->tally().gone, 1U);
}

TEST_F(GatewayStory, BeyondTheOpenCapNothingIsTakenAndRoomComesBack) {
  deployment.open_cap = 1;
  start();
  EXPECT_NE(event(), 0);
  EXPECT_EQ(event(), 0);
  end(0, Ending::honoured);
  EXPECT_NE(event(), 0);
  EXPECT_EQ(gateway->tally().refused, 1U);
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
  end(0, Ending::connection_lost);
  end(0, Ending::honoured);
  EXPECT_TRUE(told.answers.empty());
  EXPECT_EQ(told.shots.size(), 2U);
}

TEST_F(GatewayStory, AShotWithItsOwnTimeOutEndsThenAndTheServerIsNotHeardAnyMore) {
  start();
  const EventId id = event();
  end(0, Ending::turned_away);
  const std::size_t shots = told.shots.size();
  static_cast<Host&>(*gateway).shoot(id, "c", second / 10);
  clock.pass(second / 10);
  EXPECT_EQ(told.dropped.back(), std::pair(id, static_cast<int>(shots)));
  EXPECT_EQ(gateway->tally().endings[static_cast<std::size_t>(Ending::no_answer)], 1U);
}

TEST_F(GatewayStory, AShotForAnEventThatHasItsAnswerIsNeverSent) {
  start();
  const EventId id = event();
  static_cast<Host&>(*gateway).shed(id, 0);
  const std::size_t shots = told.shots.size();
  static_cast<Host&>(*gateway).shoot(id, "c", 0);
  clock.settle();
  EXPECT_EQ(told.shots.size(), shots);
  EXPECT_EQ(gateway->tally().endings[static_cast<std::size_t>(Ending::not_sent)], 1U);
}

struct Book final : Ledger {
  bool ordering() override { return ++asked > 1; }
  Taking taking(EventId, const std::string&, const events::CloudEvent&, Time) override { return says; }
  void ended(const events::CloudEvent&, Fate fate) override { fates.push_back(fate); }
  int asked = 0;
  Taking says = Taking::unmarked;
  std::vector<Fate> fates;
};

TEST_F(GatewayStory, AnEventWaitsForItsMarkAndHasThatMuchLessTime) {
  Book book;
  book.says = Taking::wait;
  ledger = &book;
  start();
  const EventId id = event("booking");
  clock.pass(second / 2);
  EXPECT_TRUE(told.shots.empty());
  gateway->marked(id, Taking::marked);
  ASSERT_EQ(told.shots.size(), 1U);
  end(0, Ending::honoured);
  EXPECT_EQ(told.answers, std::vector<std::string>{"honoured"});
  EXPECT_EQ(book.fates, std::vector<Fate>{Fate::honoured});
  clock.pass(2 * second);
  EXPECT_EQ(gateway->open(), 0U);
}

TEST_F(GatewayStory, AMarkThatIsNotHeldOrThatAnotherHasEndsTheEventUnrun) {
  Book book;
  book.says = Taking::wait;
  ledger = &book;
  start();
  gateway->marked(event("booking"), Taking::not_now);
  gateway->marked(event("booking"), Taking::known);
  clock.settle();
  EXPECT_EQ(told.answers, (std::vector<std::string>{"shed", "abandoned"}));
  book.says = Taking::known;
  event("booking");
  clock.settle();
  EXPECT_EQ(told.answers.size(), 3U);
  EXPECT_EQ(told.answers.back(), "abandoned");
  EXPECT_EQ(book.fates, (std::vector<Fate>{Fate::unrun, Fate::unrun})) << "the third was never taken here";
  EXPECT_TRUE(told.shots.empty());
  EXPECT_EQ(gateway->open(), 0U);
}

TEST_F(GatewayStory, AMarkThatComesTooLateMovesNothing) {
  Book book;
  book.says = Taking::wait;
  ledger = &book;
  start();
  const EventId left = event("booking"), slow = event("booking");
  gateway->client_gone(left);
  clock.settle();
  gateway->marked(left, Taking::marked);
  clock.jump(3 * second);  // stopped, and on again after the event's time
  gateway->marked(slow, Taking::marked);
  clock.settle();
  EXPECT_TRUE(told.shots.empty());
  EXPECT_EQ(told.answers, std::vector<std::string>{"shed"});
  EXPECT_EQ(book.fates, (std::vector<Fate>{Fate::unrun, Fate::unrun}));
  EXPECT_EQ(told.errors, 0);
}

TEST_F(GatewayStory, AnEventGivenUpAfterAShotMayHaveRun) {
  Book book;
  book.says = Taking::marked;
  ledger = &book;
  start();
  event("booking");
  clock.pass(2 * second);
  EXPECT_EQ(told.answers, std::vector<std::string>{"abandoned"});
  EXPECT_EQ(book.fates, std::vector<Fate>{Fate::may_have_run});
}

TEST_F(GatewayStory, AnOrderThatCannotBeToldToOthersFirstNeverLeaves) {
  Book book;
  deployment.miss_answers = deployment.orders = true;
  ledger = &book;
  start();
  event();
  end(0, Ending::not_stored);
  EXPECT_EQ(book.asked, 1);
  EXPECT_TRUE(told.orders.empty());
  EXPECT_EQ(gateway->tally().orders, 0U);
  // It has ended for the module, which goes on: the next one is told and leaves.
  clock.pass(second / 5);
  ASSERT_GE(told.shots.size(), 2U);
  end(told.shots.size() - 1, Ending::not_stored);
  clock.pass(second / 5);
  EXPECT_EQ(told.orders.size(), gateway->tally().orders);
  EXPECT_GT(told.orders.size(), 0U);
}

TEST_F(GatewayStory, ServersThatLeaveTheListAreReachedNoMore) {
  start();
  gateway->roster(RosterForm::complete, {{{.id = "b"}, "127.0.0.1:9001"}});
  EXPECT_EQ(told.addresses.at("a"), "");
  EXPECT_EQ(told.addresses.at("b"), "127.0.0.1:9001");
  gateway->roster(RosterForm::changes, {{{.id = "b"}, "127.0.0.1:9777"}});
  EXPECT_EQ(told.addresses.at("b"), "127.0.0.1:9777");
}

TEST_F(GatewayStory, AMessageLongerThanPeersMayHearIsNotSent) {
  deployment.peers = true;
  start();
  static_cast<Host&>(*gateway).tell(-1, std::string(257, 'x'));
  EXPECT_TRUE(told.messages.empty());
  static_cast<Host&>(*gateway).tell(-1, std::string(256, 'x'));
  EXPECT_EQ(told.messages.size(), 1U);
}

TEST_F(GatewayStory, TwentyThousandEventsLeaveNoAlarmAndNoRecordBehind) {
  deployment.open_cap = 200'000;
  start();
  const std::size_t before = clock.standing();
  for (int i = 0; i < 20'000; ++i) event();
  clock.pass(10 * second);
  EXPECT_EQ(told.answers.size(), 20'000U);
  EXPECT_EQ(gateway->open(), 0U);
  EXPECT_LE(clock.standing(), before + 1);
}

TEST_F(GatewayStory, WhereShotsMayNotBeCalledOffWhatHasNotLeftIsTakenBackAllTheSame) {
  deployment.cancel = false;
  start();
  const EventId waiting = event();
  told.unsent = true;
  gateway->client_gone(waiting);
  clock.settle();
  EXPECT_EQ(told.dropped, (std::vector{std::pair(waiting, 0)}));
  told.unsent = false;
  const EventId out = event();
  gateway->client_gone(out);
  clock.settle();
  EXPECT_EQ(told.dropped.size(), 1U) << "what is out may not be called off here";
}

TEST_F(GatewayStory, TheWordLeavingTakesBackWhatHasNotLeftForThatServerAlone) {
  start();
  gateway->roster(RosterForm::changes, {{{.id = "b", .condition = Condition::leaving}, "127.0.0.1:9001"},
                                        {{.id = "c"}, "127.0.0.1:9002"}});
  EXPECT_EQ(told.recalled, std::vector<ServerId>{"b"});
  gateway->roster(RosterForm::complete, {{{.id = "c"}, "127.0.0.1:9002"}});
  EXPECT_EQ(told.recalled, (std::vector<ServerId>{"b", "a", "b"})) << "what a whole list leaves out is gone";
}

TEST_F(GatewayStory, ARouterThatMustEndAnswersEveryOpenEventOnce) {
  start();
  event();
  event("booking");
  EXPECT_TRUE(gateway->owes());
  gateway->end_all();
  EXPECT_TRUE(gateway->owes()) << "decided and not handed over is owed still";
  clock.settle();
  EXPECT_FALSE(gateway->owes());
  EXPECT_EQ(told.answers, (std::vector<std::string>{"abandoned", "abandoned"}));
  clock.pass(3 * second);
  EXPECT_EQ(told.answers.size(), 2U);
}

}  // namespace
}  // namespace rushhill::core
