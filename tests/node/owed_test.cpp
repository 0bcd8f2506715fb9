// The instant in which something is still owed: a client that leaves while its event waits, a list that says
// `leaving` of a server that a shot is on its way to, a router told to end with requests at its door. The
// partners make the bad order every time: what is to coincide stands in the kernel before the loop turns.

#include "node/node.h"
#include "node_process.h"
#include "platform_story.h"

namespace rushhill::node {
namespace {

// Standard input for a request that is not open: it is read and passed over.
std::string passed_over(std::size_t bytes) {
  return std::string{
             '\1', '\5', '\0', '\x63', static_cast<char>(bytes >> 8U), static_cast<char>(bytes & 255U),
             '\0', '\0'} +
         std::string(bytes, '.');
}

constexpr const char* first_id = "aaaaaaaaaaaaaaaa";
constexpr const char* second_id = "bbbbbbbbbbbbbbbb";
constexpr const char* third_id = "cccccccccccccccc";
constexpr std::size_t beginning = 16;  // bytes of a request's first record, which leaves it unread
constexpr int too_late = 250;  // milliseconds; an attempt may begin 0.1 s after its client's leaving at most
constexpr int together = 8;    // requests that open connections beside each other
constexpr Time well_after = 23'000;  // tenths of a millisecond; 2 s and more after what should not happen

class OwedStory : public PlatformStory {
 protected:
  void start(const Settings& settings, const std::string& hosts) {
    router = std::make_unique<Node>(
        reactor, read_configuration(configuration(settings, discovery.address(), hosts)), silent);
  }
  // Idle connections to each of the servers told: what goes there next has no way to wait for.
  bool connected(Visitor& visitor, bool to_other) {
    for (int round = 0; round < 8 && (one.peers.size() < 2 || (to_other && other.peers.size() < 2));
         ++round) {
      for (int i = 0; i < together; ++i)
        visitor.send(
            ask(static_cast<char>(100 + i), "eeeeeeeeeeeeee" + std::to_string(10 + together * round + i)));
      for (int i = 0; i < together; ++i) {
        const std::string id = "eeeeeeeeeeeeee" + std::to_string(10 + together * round + i);
        if (!at_servers(id)) return false;
        servers_say(id, succeeded);
      }
      if (!pump.until([&] { return router->gateway().open_requests() == 0; })) return false;
    }
    visitor.seen();  // what it leaves unread would make its close a reset
    return one.peers.size() >= 2 && (!to_other || other.peers.size() >= 2);
  }
  bool watched() {
    return pump.until([&] { return !discovery.peers.empty() && !discovery.peers[0]->seen.empty(); });
  }

  std::unique_ptr<Node> router;
};

// How a client can leave.
enum class Way { takes_back, goes, half_closes, resets };
class LeavingStory : public OwedStory, public testing::WithParamInterface<Way> {
 protected:
  void leave(Visitor& visitor, char number) const {
    if (GetParam() == Way::takes_back) visitor.send(abort_request(number));
    if (GetParam() == Way::goes) visitor.leave();
    if (GetParam() == Way::half_closes) visitor.half_close();
    if (GetParam() == Way::resets) visitor.reset();
  }
};
INSTANTIATE_TEST_SUITE_P(Ways, LeavingStory,
                         testing::Values(Way::takes_back, Way::goes, Way::half_closes, Way::resets));

// Shots may not be called off here: what has left has left, but what has not must not.
TEST_P(LeavingStory, NothingGoesOnAConnectionThatComesUpAfterItsClientHasLeft) {
  SlowDoor door;
  start({}, host("s1", door.address()));
  Visitor visitor(router->address());
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().attempts == 1; }));
  leave(visitor, 1);
  ASSERT_TRUE(pump.until([&] { return router->gateway().open_requests() == 0; }));
  door.open(2'000);  // it need not come up at all
  pump.pass(well_after);
  EXPECT_EQ(door.seen(), "");
}

TEST_F(OwedStory, WhatWaitedForItsConnectionGoesWhereItsClientStays) {
  SlowDoor door;
  start({}, host("s1", door.address()));
  Visitor visitor(router->address());
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().attempts == 1; }));
  ASSERT_TRUE(door.open());
  EXPECT_TRUE(pump.until([&] { return door.seen().find(first_id) != std::string::npos; }));
}

TEST_P(LeavingStory, ARequestThatStandsBesideItsClientsLeavingIsNotBegun) {
  start({}, host("s1", one.address()));
  Visitor visitor(router->address());
  ASSERT_TRUE(pump.until([&] { return router->address().port() != 0; }));
  visitor.send(ask(1, first_id));
  leave(visitor, 1);
  pump.pass(3'000);
  EXPECT_EQ(times_at_servers(first_id), 0);
  EXPECT_EQ(router->gateway().tally().accepted, 0U);
  EXPECT_EQ(router->gateway().open_requests(), 0U);
}

// A cold server has had its part; the third event waits for room. The room comes with an alarm that falls due
// while the machine stands still, and so does the client's leaving.
TEST_P(LeavingStory, AnEventThatWaitsForRoomIsNotBegunByTheAlarmThatItsClientsLeavingCameWith) {
  start({}, host("s1", one.address(), "active", now_ms()));
  Visitor front(router->address()), third(router->address());
  front.send(ask(1, first_id) + ask(2, second_id));
  ASSERT_TRUE(at_servers(first_id) && at_servers(second_id));
  pump.pass(5'000);
  third.send(ask(3, third_id));
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().accepted == 3; }));
  ASSERT_EQ(router->gateway().tally().attempts, 2U) << "the third waits";
  ASSERT_EQ(router->gateway().open_requests(), 3U);
  leave(third, 3);
  stand_still(1'200);
  pump.pass(well_after);
  EXPECT_EQ(times_at_servers(third_id), 0);
}

TEST_F(OwedStory, AnEventThatWaitsForRoomGoesWithTheAlarmWhereItsClientStays) {
  start({}, host("s1", one.address(), "active", now_ms()));
  Visitor front(router->address());
  front.send(ask(1, first_id) + ask(2, second_id));
  ASSERT_TRUE(at_servers(first_id) && at_servers(second_id));
  pump.pass(5'000);
  front.send(ask(3, third_id));
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().accepted == 3; }));
  ASSERT_EQ(router->gateway().tally().attempts, 2U);
  stand_still(1'200);
  EXPECT_TRUE(at_servers(third_id));
}

// The server's refusal and the client's leaving stand beside each other; as many times as leaves no chance
// that the order in which sockets are looked at hides it.
TEST_P(LeavingStory, AShotTurnedAwayIsNotFollowedByAnotherWhenItsClientLeftInTheSameMoment) {
  start({}, host("s1", one.address()) + "," + host("s2", other.address()));
  for (int round = 0; round < 12; ++round) {
    const std::string id = "aaaaaaaaaaaaaa" + std::to_string(10 + round);
    Visitor visitor(router->address());
    visitor.send(ask(1, id));
    ASSERT_TRUE(at_servers(id));
    servers_say(id, overloaded);
    leave(visitor, 1);
    pump.pass(100);
    ASSERT_TRUE(pump.until([&] { return router->gateway().open_requests() == 0; }));
    pump.pass(500);
    ASSERT_EQ(times_at_servers(id), 1) << round;
  }
}

// The process stands still within a turn, after the loop has looked which connections can be read: the client
// leaves meanwhile. What the same turn goes on with comes 0.25 s after that.
class StalledStory : public LeavingStory {
 protected:
  void SetUp() override {
    ASSERT_TRUE(pump.until([&] { return aside.peers.size() == 1; }));
  }
  void TearDown() override {
    EXPECT_EQ(router->gateway().tally().attempts_after_cancel, static_cast<std::uint64_t>(after_cancel));
  }
  // Past the stall, and then some turns: the first alarm may ring in the very turn that stood still.
  void turn_on(Time span = 3'000) {
    pump.pass(span);
    pump.pass(500);
  }
  // In the next turn, where clients are read.
  void stall_among_clients(std::function<void()> leaving, int ms = too_late) {
    aside.on_bytes = [leaving = std::move(leaving), ms](RawPeer&) {
      leaving();
      stand_still(ms);
    };
    poke.send("x");
  }
  // In the next turn, after connections and before alarms.
  void stall_before_alarms(std::function<void()> leaving, int ms = too_late) {
    reactor.every_turn([this, leaving = std::move(leaving), ms] {
      reactor.post([this] { reactor.every_turn(nullptr); });  // once
      leaving();
      stand_still(ms);
    });
  }

  RawServer aside{reactor};
  Visitor poke{aside.listener.address()};
  int after_cancel = 0;  // attempts that the router is to have counted
};
INSTANTIATE_TEST_SUITE_P(Ways, StalledStory,
                         testing::Values(Way::takes_back, Way::goes, Way::half_closes, Way::resets));

TEST_P(StalledStory, AnEventThatWaitsForRoomIsNotBegunByTheAlarmOfTheSameTurn) {
  start({}, host("s1", one.address(), "active", now_ms()));
  Visitor front(router->address()), third(router->address());
  front.send(ask(1, first_id) + ask(2, second_id));
  ASSERT_TRUE(at_servers(first_id) && at_servers(second_id));
  servers_say(first_id, succeeded);
  servers_say(second_id, succeeded);
  pump.pass(5'000);
  third.send(ask(3, third_id));
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().accepted == 3; }));
  ASSERT_EQ(router->gateway().tally().attempts, 2U) << "the third waits";
  stall_before_alarms([&] { leave(third, 3); }, 1'200);
  turn_on(13'000);
  EXPECT_EQ(times_at_servers(third_id), 0);
}

TEST_P(StalledStory, AShotTurnedAwayIsNotFollowedByAnotherInTheSameTurn) {
  start({}, host("s1", one.address()) + "," + host("s2", other.address()));
  Visitor visitor(router->address());
  ASSERT_TRUE(connected(visitor, true));
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_servers(first_id));
  servers_say(first_id, overloaded);
  stall_among_clients([&] { leave(visitor, 1); });
  turn_on();
  EXPECT_EQ(times_at_servers(first_id), 1);
  EXPECT_EQ(router->gateway().open_requests(), 0U);
}

// Without a stall the attempt may leave, within 0.1 s of the leaving, and is counted. Repeated until it does:
// the machine may stand still by itself.
TEST_P(StalledStory, AnAttemptThatLeavesBesideItsClientsLeavingIsCounted) {
  start({}, host("s1", one.address()) + "," + host("s2", other.address()));
  Visitor front(router->address());
  ASSERT_TRUE(connected(front, true));
  for (int round = 10; round < 20 && after_cancel == 0; ++round) {
    const std::string id = "aaaaaaaaaaaaaa" + std::to_string(round);
    Visitor visitor(router->address());
    visitor.send(ask(1, id));
    ASSERT_TRUE(at_servers(id));
    servers_say(id, overloaded);
    stall_among_clients([&] { leave(visitor, 1); }, 0);
    pump.pass(2'000);
    after_cancel += times_at_servers(id) - 1;
  }
  EXPECT_EQ(after_cancel, 1);
}

TEST_P(StalledStory, NothingGoesOnAConnectionThatComesUpInTheSameTurn) {
  SlowDoor door;
  start({}, host("s1", door.address()));
  Visitor visitor(router->address());
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().attempts == 1; }));
  ASSERT_TRUE(door.open());
  stall_among_clients([&] { leave(visitor, 1); });
  turn_on();
  EXPECT_EQ(door.seen(), "");
}

TEST_P(StalledStory, AnEventThatWaitsForALoadIsNotBegunAsTheLoadEndsInTheSameTurn) {
  Settings settings;
  settings.not_loaded = "miss";
  start(settings, host("s1", one.address()));
  Visitor visitor(router->address());
  ASSERT_TRUE(connected(visitor, false));
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_servers(first_id));
  servers_say(first_id, not_loaded_answer);
  ASSERT_TRUE(at_servers("prewarm "));
  ASSERT_EQ(times_at_servers(first_id), 1);
  for (const auto& peer : one.peers) {
    const std::size_t at = peer->seen.find("prewarm ");
    if (at != std::string::npos)
      peer->stream->write(peer->seen.substr(at + 8, peer->seen.find(' ', at + 8) - at - 8) +
                          " HIT units=1 0\r\n\r\n");
  }
  stall_among_clients([&] { leave(visitor, 1); });
  turn_on();
  EXPECT_EQ(times_at_servers("invoke " + std::string(first_id)), 1);
}

// Each of the 13 connections that the router may hold carries a shot; the answers that free them come in the
// same turn as the fourteenth event, which finds none.
TEST_P(StalledStory, AnEventWithoutADescriptorIsNotBegunAsOneIsFreedInTheSameTurn) {
  Settings settings;
  settings.sockets = "32";
  settings.multiplex = "1";
  start(settings, host("s1", one.address()) + "," + host("s2", other.address()));
  Visitor front(router->address()), last(router->address());
  const auto id = [](int i) { return "aaaaaaaaaaaaaa" + std::to_string(10 + i); };
  for (int i = 0; i < 13; ++i) front.send(ask(static_cast<char>(1 + i), id(i)));
  ASSERT_TRUE(pump.until([&] { return times_at_servers("invoke ") == 13; }));
  last.send(ask(14, third_id));
  for (int i = 0; i < 13; ++i) servers_say(id(i), succeeded);
  stall_before_alarms([&] { leave(last, 14); });
  turn_on();
  EXPECT_EQ(times_at_servers(third_id), 0);
  EXPECT_GT(router->gateway().tally().attempts, 13U);
}

// What stands unread before a leaving does not hide it, be it more than one read takes or half a request.
TEST_P(LeavingStory, MuchThatStandsUnreadBetweenARequestAndItsClientsLeavingHidesNothing) {
  start({}, host("s1", one.address()));
  Visitor visitor(router->address());
  ASSERT_TRUE(connected(visitor, false));
  visitor.send(ask(1, first_id) + passed_over(50'000) + passed_over(50'000));
  leave(visitor, 1);
  stand_still(too_late);
  pump.pass(1'000);
  EXPECT_EQ(times_at_servers(first_id), 0);
  EXPECT_EQ(router->gateway().open_requests(), 0U);
}

TEST_P(LeavingStory, MuchThatStandsUnreadBeforeALeavingDoesNotHideItFromARefusal) {
  start({}, host("s1", one.address()) + "," + host("s2", other.address()));
  Visitor visitor(router->address());
  ASSERT_TRUE(connected(visitor, true));
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_servers(first_id));
  servers_say(first_id, overloaded);
  visitor.send(passed_over(50'000) + passed_over(50'000));
  leave(visitor, 1);
  stand_still(too_late);
  pump.pass(1'000);
  EXPECT_EQ(times_at_servers(first_id), 1);
  EXPECT_EQ(router->gateway().open_requests(), 0U);
}

TEST_P(LeavingStory, HalfARequestBeforeALeavingDoesNotHideItFromARefusal) {
  start({}, host("s1", one.address()) + "," + host("s2", other.address()));
  Visitor visitor(router->address());
  ASSERT_TRUE(connected(visitor, true));
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_servers(first_id));
  servers_say(first_id, overloaded);
  visitor.send(ask(2, second_id).substr(0, beginning));
  leave(visitor, 1);
  stand_still(too_late);
  pump.pass(1'000);
  EXPECT_EQ(times_at_servers(first_id), 1);
  EXPECT_EQ(router->gateway().open_requests(), 0U);
}

TEST_F(OwedStory, AShotThatHasNotLeftWhenTheListSaysLeavingGoesElsewhere) {
  SlowDoor door;
  start({}, host("s1", door.address()));
  ASSERT_TRUE(watched());
  Visitor visitor(router->address());
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().attempts == 1; }));
  discovery.peers[0]->stream->write(
      notice(2, host("s1", door.address(), "leaving") + "," + host("s2", one.address())));
  EXPECT_TRUE(at_servers(first_id));
  door.open(2'000);
  pump.pass(3'000);
  EXPECT_EQ(door.seen(), "");
}

// Told to end, and standing still while the last requests come and the time to listen runs out.
class EndingStory : public OwedStory {
 protected:
  void begin(const Settings& settings = {}) {
    one.on_bytes = [](RawPeer& peer) {
      for (std::size_t at = 0; (at = peer.seen.find("invoke ", at)) != std::string::npos; at += 7)
        peer.stream->write(peer.seen.substr(at + 7, 16) + " HIT - 2\r\nok\r\n");
      peer.seen.clear();
    };
    start(settings, host("s1", one.address()));
  }
  void told_to_end() {
    router->start_draining([this] {
      ended = true;
      reactor.post([this] { router.reset(); });
    });
    pump.pass(500);
  }
  bool answered(Visitor& visitor, const char* status = "Status: 200") {
    return pump.until([&] { return visitor.seen().find(status) != std::string::npos; }, 50'000);
  }
  bool ended = false;
};
constexpr int past_listening = 900;  // milliseconds

TEST_F(EndingStory, EveryConnectionInTheQueueIsTakenBeforeTheDoorCloses) {
  begin();
  told_to_end();
  std::vector<std::unique_ptr<Visitor>> visitors;
  for (int i = 0; i < 100; ++i) {
    visitors.push_back(std::make_unique<Visitor>(router->address()));
    visitors.back()->send(ask(1, "aaaaaaaaaaaaa" + std::to_string(100 + i)));
  }
  stand_still(past_listening);
  for (auto& visitor : visitors) ASSERT_TRUE(answered(*visitor, "Status: "));
  EXPECT_TRUE(pump.until([&] { return ended; }));
}

TEST_F(EndingStory, ARequestThatStandsUnreadAsTheTimeToListenEndsIsAnswered) {
  begin();
  Visitor visitor(router->address());
  told_to_end();
  visitor.send(ask(1, first_id));
  stand_still(past_listening);
  EXPECT_TRUE(answered(visitor));
  EXPECT_TRUE(pump.until([&] { return ended; }));
}

TEST_F(EndingStory, HalfARequestIsWaitedFor) {
  begin();
  Visitor visitor(router->address());
  told_to_end();
  const std::string request = ask(1, first_id);
  visitor.send(request.substr(0, 60));
  pump.pass(9'000);
  EXPECT_FALSE(ended);
  visitor.send(request.substr(60));
  EXPECT_TRUE(answered(visitor));
  EXPECT_TRUE(pump.until([&] { return ended; }));
}

TEST_F(EndingStory, ItsClientsSeeItsEndAndMayCloseFirst) {
  begin();
  auto client = std::make_unique<RawPeer>(reactor, router->address());
  client->stream->write(ask(1, first_id));
  ASSERT_TRUE(pump.until([&] { return client->seen.find("Status: 200") != std::string::npos; }));
  bool end_seen_before = false;
  router->start_draining([&] { ended = true, end_seen_before = client->ended; });
  ASSERT_TRUE(pump.until([&] { return ended; }));
  EXPECT_TRUE(end_seen_before) << "closed by us while its client could still write";
}

class ProcessStory : public OwedStory {
 protected:
  std::string told(const Settings& settings = {}) {
    return configuration(settings, discovery.address(), host("s1", one.address()));
  }
  void answer(const std::string& id) {
    for (const auto& peer : one.peers) {
      if (peer->seen.find(id) != std::string::npos) peer->stream->write(id + " HIT - 2\r\nok\r\n");
    }
  }
};

TEST_F(ProcessStory, ToldToEndTwiceAndToReadAgainBetweenItAnswersWhatIsOutAndEndsWell) {
  NodeProcess process(told());
  Visitor visitor(process.address());
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_servers(first_id));
  process.signal(SIGTERM);
  ASSERT_TRUE(process.says("winding up"));
  process.signal(SIGHUP);
  ASSERT_TRUE(process.says("configuration read again"));
  process.signal(SIGTERM);
  visitor.send(ask(2, second_id));
  ASSERT_TRUE(at_servers(second_id)) << "requests come for a while yet";
  answer(first_id);
  answer(second_id);
  ASSERT_TRUE(pump.until([&] {
    const std::string& seen = visitor.seen();
    const std::size_t first = seen.find("Status: 200");
    return first != std::string::npos && seen.find("Status: 200", first + 1) != std::string::npos;
  }));
  EXPECT_TRUE(process.ended_well());
}

TEST_F(ProcessStory, StoppedWhileAClientAsksAndGoesItSendsNothingOfItOnceItGoesOn) {
  NodeProcess process(told());
  const transport::Address address = process.address();
  Visitor first(address);
  first.send(ask(1, first_id));
  ASSERT_TRUE(at_servers(first_id));
  process.signal(SIGSTOP);
  Visitor second(address);
  second.send(ask(1, second_id));
  second.leave();
  first.send(ask(2, third_id) + abort_request(2));
  process.signal(SIGCONT);
  pump.pass(well_after);
  EXPECT_EQ(times_at_servers(second_id), 0);
  EXPECT_EQ(times_at_servers(third_id), 0);
}

TEST_F(ProcessStory, KilledWithAnAtMostOnceEventOutItsNextLifeSendsNothingOfIt) {
  Settings strict;
  strict.effect = "single_shot";
  {
    NodeProcess process(told(strict));
    Visitor visitor(process.address());
    visitor.send(ask(1, first_id));
    ASSERT_TRUE(at_servers(first_id));
    process.signal(SIGKILL);
    EXPECT_TRUE(WIFSIGNALED(process.wait()));
    ASSERT_TRUE(pump.until([&] { return one.peers[0]->ended; }));
  }
  NodeProcess again(told(strict));
  Visitor visitor(again.address());
  visitor.send(ask(1, second_id));
  ASSERT_TRUE(at_servers(second_id));
  pump.pass(5'000);
  EXPECT_EQ(times_at_servers(first_id), 1);
}

}  // namespace
}  // namespace rushhill::node
