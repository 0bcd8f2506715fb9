// The instant in which something is still owed: a client that leaves while its event waits, a list that says
// `leaving` of a server that a shot is on its way to, a router told to end with requests at its door. The
// partners make the bad order every time: what is to coincide stands in the kernel before the loop turns.
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

#include "fastcgi/records.h"
#include "loopback.h"
#include "node/node.h"

namespace rushhill::node {
namespace {

struct Settings {
  std::string promise = "2500000000", cold_share = "0.5", cancel = "false", connect_timeout = "3000000000";
  std::string effect = "free", sockets = "512", multiplex = "100", not_loaded = "load";
};

std::string host(const std::string& id, const std::string& at, const std::string& health = "active",
                 std::int64_t born_ms = 0) {
  return R"({"host":")" + id + R"(","dial":")" + at + R"(","site":"old","class":"std","block":0,"health":")" +
         health + R"(","share":1,"born_ms":)" + std::to_string(born_ms) + "}";
}

std::string configuration(const Settings& told, const std::string& board, const std::string& hosts) {
  return R"({"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":)" +
         told.sockets + R"(},"board":")" + board +
         R"(","known":{"rev":1,"notices":[{"rev":1,"pool":{"seq":1,"whole":true,"hosts":[)" + hosts +
         R"(]}}]},"settings":{"me":0,"balancers":1,"zone":"old","quantum":4000000,
  "services":[{"name":"date-lookup","promise":)" +
         told.promise + R"(,"deadline":2500000000,"effect":")" + told.effect +
         R"(","worth":1.0}],"tenants":[],
  "obligations":{"drain-grace":2000000000,"fall":1500000000,"fall-multiple":2.0,"cold":16000000000,"cold-share":)" +
         told.cold_share + R"(},
  "permissions":{"cancel":)" +
         told.cancel + R"(,"send-cap":5,"open-cap":20000,"multiplex":)" + told.multiplex +
         R"(,"conn-idle":15000000000,"connect-timeout":)" + told.connect_timeout + R"(},
  "family-info":{"marks-cold":true,"keep":10000000000,"answer-within":2000000000,"placement-calls":)" +
         (told.not_loaded == "miss" ? "true" : "false") + R"(,"not-loaded":")" + told.not_loaded + R"("}}})";
}

std::string notice(int number, const std::string& hosts) {
  return R"({"rev":)" + std::to_string(number) + R"(,"pool":{"seq":)" + std::to_string(number) +
         R"(,"whole":false,"hosts":[)" + hosts + "]}}\n";
}

std::string ask(fastcgi::Number number, const std::string& id) {
  return fastcgi::write_request(number, {.params = {{"SCRIPT_NAME", "/ops/date-lookup"},
                                                    {"HTTP_X_JOB_ID", id},
                                                    {"HTTP_X_ALLOW_MS", "2500"},
                                                    {"HTTP_X_ITEM", "7f3a9c21e0b4d655"},
                                                    {"HTTP_X_FACTS", "memory_mb:512;lanes:2;load_ms:300"},
                                                    {"CONTENT_LENGTH", "3"}},
                                         .body = "ask",
                                         .keep = true});
}
// Standard input for a request that is not open: it is read and passed over.
std::string passed_over(std::size_t bytes) {
  return std::string{
             '\1', '\5', '\0', '\x63', static_cast<char>(bytes >> 8U), static_cast<char>(bytes & 255U),
             '\0', '\0'} +
         std::string(bytes, '.');
}
std::string taken_back(char number) { return std::string{'\1', '\2', '\0', number, '\0', '\0', '\0', '\0'}; }

constexpr const char* first_id = "aaaaaaaaaaaaaaaa";
constexpr const char* second_id = "bbbbbbbbbbbbbbbb";
constexpr const char* third_id = "cccccccccccccccc";
constexpr std::size_t beginning = 16;  // bytes of a request's first record, which leaves it unread
constexpr int too_late = 250;  // milliseconds; an attempt may begin 0.1 s after its client's leaving at most
constexpr int together = 8;    // requests that open connections beside each other
constexpr const char* honoured = " HIT - 2\r\nok\r\n";
constexpr const char* refusal = " SHED - 0\r\n\r\n";
constexpr const char* not_loaded = " NONE - 0\r\n\r\n";
constexpr Time well_after = 23'000;  // tenths of a millisecond; 2 s and more after what should not happen

// A listener whose connections do not come up before it opens: the system's queue is full.
class SlowDoor {
 public:
  SlowDoor() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in at{
        .sin_family = AF_INET, .sin_port = 0, .sin_addr = {htonl(INADDR_LOOPBACK)}, .sin_zero = {}};
    socklen_t size = sizeof at;
    bind(socket_, reinterpret_cast<sockaddr*>(&at), size);
    listen(socket_, 0);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&at), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    filler_ = ::socket(AF_INET, SOCK_STREAM, 0);
    connect(filler_, reinterpret_cast<sockaddr*>(&at), size);
  }
  ~SlowDoor() {
    for (const int one : taken_) close(one);
    close(filler_), close(socket_);
  }
  SlowDoor(const SlowDoor&) = delete;
  SlowDoor& operator=(const SlowDoor&) = delete;

  const std::string& address() const { return address_; }
  // Takes the one that fills the queue, then the next that comes up; the system tries again after 1 s. False:
  // none did.
  bool open(int ms = 10'000) {
    for (int i = 0; i < 2; ++i) {
      pollfd waiting{.fd = socket_, .events = POLLIN, .revents = 0};
      if (poll(&waiting, 1, ms) != 1) return false;
      taken_.push_back(accept(socket_, nullptr, nullptr));
    }
    return true;
  }
  // All that has come on what it took.
  std::string seen() {
    char bytes[4096];
    for (const int one : taken_) {
      for (ssize_t got = 0; (got = recv(one, bytes, sizeof bytes, MSG_DONTWAIT)) > 0;)
        seen_.append(bytes, static_cast<std::size_t>(got));
    }
    return seen_;
  }

 private:
  int socket_, filler_ = -1;
  std::string address_, seen_;
  std::vector<int> taken_;
};

// The loop stands still meanwhile, as a machine does: alarms fall due, bytes arrive.
void stand_still(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

class OwedStory : public testing::Test {
 protected:
  void start(const Settings& settings, const std::string& hosts) {
    router = std::make_unique<Node>(
        reactor, read_configuration(configuration(settings, board.address(), hosts)), silent);
  }
  std::int64_t now_ms() const { return reactor.unix_ns() / 1'000'000; }
  int times_at_servers(const std::string& what) const {
    int times = 0;
    for (const RawServer* server : {&one, &other}) {
      for (const auto& peer : server->peers) {
        for (std::size_t at = 0; (at = peer->seen.find(what, at)) != std::string::npos; ++at) ++times;
      }
    }
    return times;
  }
  bool at_servers(const std::string& what) {
    return pump.until([&] { return times_at_servers(what) > 0; });
  }
  void servers_say(const std::string& id, const std::string& what) const {
    for (const RawServer* server : {&one, &other}) {
      for (const auto& peer : server->peers) {
        if (peer->seen.find(id) != std::string::npos) peer->stream->write(id + what);
      }
    }
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
        servers_say(id, honoured);
      }
      if (!pump.until([&] { return router->gateway().open() == 0; })) return false;
    }
    visitor.seen();  // what it leaves unread would make its close a reset
    return one.peers.size() >= 2 && (!to_other || other.peers.size() >= 2);
  }
  bool watched() {
    return pump.until([&] { return !board.peers.empty() && !board.peers[0]->seen.empty(); });
  }

  transport::Loop reactor;
  Pump pump{reactor};
  Silent silent;
  RawServer one{reactor}, other{reactor}, board{reactor};
  std::unique_ptr<Node> router;
};

// How a client can leave.
enum class Way { takes_back, goes, half_closes, resets };
class LeavingStory : public OwedStory, public testing::WithParamInterface<Way> {
 protected:
  void leave(Visitor& visitor, char number) const {
    if (GetParam() == Way::takes_back) visitor.send(taken_back(number));
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
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().shots == 1; }));
  leave(visitor, 1);
  ASSERT_TRUE(pump.until([&] { return router->gateway().open() == 0; }));
  door.open(2'000);  // it need not come up at all
  pump.pass(well_after);
  EXPECT_EQ(door.seen(), "");
}

TEST_F(OwedStory, WhatWaitedForItsConnectionGoesWhereItsClientStays) {
  SlowDoor door;
  start({}, host("s1", door.address()));
  Visitor visitor(router->address());
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().shots == 1; }));
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
  EXPECT_EQ(router->gateway().tally().taken, 0U);
  EXPECT_EQ(router->gateway().open(), 0U);
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
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().taken == 3; }));
  ASSERT_EQ(router->gateway().tally().shots, 2U) << "the third waits";
  ASSERT_EQ(router->gateway().open(), 3U);
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
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().taken == 3; }));
  ASSERT_EQ(router->gateway().tally().shots, 2U);
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
    servers_say(id, refusal);
    leave(visitor, 1);
    pump.pass(100);
    ASSERT_TRUE(pump.until([&] { return router->gateway().open() == 0; }));
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
      reactor.soon([this] { reactor.every_turn(nullptr); });  // once
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
  servers_say(first_id, honoured);
  servers_say(second_id, honoured);
  pump.pass(5'000);
  third.send(ask(3, third_id));
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().taken == 3; }));
  ASSERT_EQ(router->gateway().tally().shots, 2U) << "the third waits";
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
  servers_say(first_id, refusal);
  stall_among_clients([&] { leave(visitor, 1); });
  turn_on();
  EXPECT_EQ(times_at_servers(first_id), 1);
  EXPECT_EQ(router->gateway().open(), 0U);
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
    servers_say(id, refusal);
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
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().shots == 1; }));
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
  servers_say(first_id, not_loaded);
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
  for (int i = 0; i < 13; ++i) servers_say(id(i), honoured);
  stall_before_alarms([&] { leave(last, 14); });
  turn_on();
  EXPECT_EQ(times_at_servers(third_id), 0);
  EXPECT_GT(router->gateway().tally().shots, 13U);
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
  EXPECT_EQ(router->gateway().open(), 0U);
}

TEST_P(LeavingStory, MuchThatStandsUnreadBeforeALeavingDoesNotHideItFromARefusal) {
  start({}, host("s1", one.address()) + "," + host("s2", other.address()));
  Visitor visitor(router->address());
  ASSERT_TRUE(connected(visitor, true));
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_servers(first_id));
  servers_say(first_id, refusal);
  visitor.send(passed_over(50'000) + passed_over(50'000));
  leave(visitor, 1);
  stand_still(too_late);
  pump.pass(1'000);
  EXPECT_EQ(times_at_servers(first_id), 1);
  EXPECT_EQ(router->gateway().open(), 0U);
}

TEST_P(LeavingStory, HalfARequestBeforeALeavingDoesNotHideItFromARefusal) {
  start({}, host("s1", one.address()) + "," + host("s2", other.address()));
  Visitor visitor(router->address());
  ASSERT_TRUE(connected(visitor, true));
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_servers(first_id));
  servers_say(first_id, refusal);
  visitor.send(ask(2, second_id).substr(0, beginning));
  leave(visitor, 1);
  stand_still(too_late);
  pump.pass(1'000);
  EXPECT_EQ(times_at_servers(first_id), 1);
  EXPECT_EQ(router->gateway().open(), 0U);
}

TEST_F(OwedStory, AShotThatHasNotLeftWhenTheListSaysLeavingGoesElsewhere) {
  SlowDoor door;
  start({}, host("s1", door.address()));
  ASSERT_TRUE(watched());
  Visitor visitor(router->address());
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().shots == 1; }));
  board.peers[0]->stream->write(
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
    router->wind_up([this] {
      ended = true;
      reactor.soon([this] { router.reset(); });
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
  router->wind_up([&] { ended = true, end_seen_before = client->ended; });
  ASSERT_TRUE(pump.until([&] { return ended; }));
  EXPECT_TRUE(end_seen_before) << "closed by us while its client could still write";
}

// `rushhill node` as a process of its own.
class Process {
 public:
  explicit Process(const std::string& told)
      : path_(testing::TempDir() + "owed-" + std::to_string(getpid()) + ".json") {
    std::ofstream(path_) << told;
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    id_ = fork();
    if (id_ == 0) {
      dup2(ends[1], STDERR_FILENO);
      setenv("PROXY_CONFIG", path_.c_str(), 1);
      execl(RUSHHILL_COMMAND, "rushhill", "node", static_cast<char*>(nullptr));
      _exit(91);
    }
    ::close(ends[1]);
    log_ = ends[0];
  }
  ~Process() {
    if (!ended_) ::kill(id_, SIGKILL), wait();
    ::close(log_);
    std::remove(path_.c_str());
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Reads its log up to the line with the word.
  bool says(const std::string& word) {
    const std::size_t from = said_.size();
    for (char byte = 0; said_.find(word, from) == std::string::npos || said_.back() != '\n'; said_ += byte) {
      pollfd waiting{.fd = log_, .events = POLLIN, .revents = 0};
      if (poll(&waiting, 1, 30'000) <= 0 || ::read(log_, &byte, 1) != 1) return false;
    }
    return true;
  }
  transport::Address address() {
    if (!says("serving")) throw std::runtime_error("does not serve: " + said_);
    const std::size_t at = said_.find("127.0.0.1:", said_.rfind("serving"));
    return transport::Address(said_.substr(at, said_.find_first_not_of("0123456789.:", at) - at));
  }
  void signal(int number) const { ::kill(id_, number); }
  int wait() {
    int status = 0;
    waitpid(id_, &status, 0);
    ended_ = true;
    return status;
  }

 private:
  std::string path_, said_;
  pid_t id_ = -1;
  int log_ = -1;
  bool ended_ = false;
};

class ProcessStory : public OwedStory {
 protected:
  std::string told(const Settings& settings = {}) {
    return configuration(settings, board.address(), host("s1", one.address()));
  }
  void answer(const std::string& id) {
    for (const auto& peer : one.peers) {
      if (peer->seen.find(id) != std::string::npos) peer->stream->write(id + " HIT - 2\r\nok\r\n");
    }
  }
};

TEST_F(ProcessStory, ToldToEndTwiceAndToReadAgainBetweenItAnswersWhatIsOutAndEndsWell) {
  Process process(told());
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
  const int status = process.wait();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

TEST_F(ProcessStory, StoppedWhileAClientAsksAndGoesItSendsNothingOfItOnceItGoesOn) {
  Process process(told());
  const transport::Address address = process.address();
  Visitor first(address);
  first.send(ask(1, first_id));
  ASSERT_TRUE(at_servers(first_id));
  process.signal(SIGSTOP);
  Visitor second(address);
  second.send(ask(1, second_id));
  second.leave();
  first.send(ask(2, third_id) + taken_back(2));
  process.signal(SIGCONT);
  pump.pass(well_after);
  EXPECT_EQ(times_at_servers(second_id), 0);
  EXPECT_EQ(times_at_servers(third_id), 0);
}

TEST_F(ProcessStory, KilledWithAnAtMostOnceEventOutItsNextLifeSendsNothingOfIt) {
  Settings strict;
  strict.effect = "single_shot";
  {
    Process process(told(strict));
    Visitor visitor(process.address());
    visitor.send(ask(1, first_id));
    ASSERT_TRUE(at_servers(first_id));
    process.signal(SIGKILL);
    EXPECT_TRUE(WIFSIGNALED(process.wait()));
    ASSERT_TRUE(pump.until([&] { return one.peers[0]->ended; }));
  }
  Process again(told(strict));
  Visitor visitor(again.address());
  visitor.send(ask(1, second_id));
  ASSERT_TRUE(at_servers(second_id));
  pump.pass(5'000);
  EXPECT_EQ(times_at_servers(first_id), 1);
}

}  // namespace
}  // namespace rushhill::node
