// The deadline that a server is told (`max`) is what the request's client has left as the bytes leave, with
// 0.15 s of slack: for a retry, a hedged request, one that waited for its connection and one that waited for
// the loop. Bounds are counted to a moment that is certainly before the bytes left.
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <cerrno>
#include <cstddef>

#include "node/node.h"
#include "node_process.h"
#include "platform_story.h"
#include "transport/listener.h"

namespace rushhill::node {
namespace {

constexpr int allow_ms = 2'500;        // as the requests say
constexpr int slack_ms = 150;          // of the deadline that is told
constexpr int stall_ms = 260;          // well beyond the slack
constexpr Time refused_after = 4'000;  // tenths of a millisecond; a server takes so long to refuse
constexpr int rounds = 3;              // at different moments between two sweeps of the frontend
constexpr Time between_rounds = 230;

class DeadlineStory : public PlatformStory {
 protected:
  void start(const Settings& settings, const std::string& hosts) {
    router = std::make_unique<Node>(
        reactor, read_configuration(configuration(settings, discovery.address(), hosts)), silent);
  }
  static std::optional<int> told_in(const std::string& seen, const std::string& id) {
    const std::size_t command = seen.find("invoke " + id);
    if (command == std::string::npos) return std::nullopt;
    return std::atoi(seen.c_str() + seen.find("max=", command) + 4);
  }
  static std::optional<int> told(const RawServer& server, const std::string& id) {
    for (const auto& peer : server.peers) {
      if (const auto deadline = told_in(peer->seen, id)) return deadline;
    }
    return std::nullopt;
  }
  std::optional<int> told(const std::string& id) const {
    const auto at_one = told(one, id);
    return at_one ? at_one : told(other, id);
  }
  // What the client of a request that was sent at one moment has left at another, and the slack.
  static int most(Time sent, Time leaves) {
    return allow_ms - static_cast<int>((leaves - sent) / 10) + slack_ms;
  }

  std::unique_ptr<Node> router;
};

TEST_F(DeadlineStory, ARetryTellsWhatIsLeftThen) {
  start({}, host("s1", one.address()) + "," + host("s2", other.address()));
  Visitor visitor(router->address());
  const Time sent = reactor.now();
  visitor.send(ask(1, id_of(1)));
  ASSERT_TRUE(at_servers(id_of(1)));
  const RawServer& second = times_at(one, id_of(1)) > 0 ? other : one;
  pump.pass(refused_after);
  const Time refused = reactor.now();
  servers_say(id_of(1), overloaded);
  ASSERT_TRUE(at_server(second, id_of(1)));
  EXPECT_LE(told(second, id_of(1)), most(sent, refused));
  EXPECT_GT(told(second, id_of(1)), 0);
}

TEST_F(DeadlineStory, AHedgedRequestTellsWhatIsLeftThen) {
  Settings settings;
  settings.second_copies = "true";
  settings.promise = "500000000";
  start(settings, host("s1", one.address()) + "," + host("s2", other.address()));
  Visitor visitor(router->address());
  const Time sent = reactor.now();
  visitor.send(ask(1, id_of(1)));
  ASSERT_TRUE(at_servers(id_of(1)));
  const RawServer& second = times_at(one, id_of(1)) > 0 ? other : one;
  // The turns of the loop before the one that shows it: it had not left before the first of them.
  std::array<Time, 3> turns{sent, sent, sent};
  ASSERT_TRUE(pump.until([&] {
    turns = {turns[1], turns[2], reactor.now()};
    return times_at(second, id_of(1)) > 0;
  }));
  EXPECT_LE(told(second, id_of(1)), most(sent, turns[0]));
  EXPECT_GT(turns[0] - sent, slack_ms * 10) << "else nothing was shown";
}

TEST_F(DeadlineStory, OneThatWaitedForItsConnectionTellsWhatIsLeftAsItComesUp) {
  SlowDoor door;
  start({}, host("s1", door.address()));
  Visitor visitor(router->address());
  const Time sent = reactor.now();
  visitor.send(ask(1, id_of(1)));
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().attempts == 1; }));
  ASSERT_TRUE(door.open());
  const Time up = reactor.now();
  ASSERT_GT(up - sent, slack_ms * 10) << "else nothing is shown";
  ASSERT_TRUE(pump.until([&] { return told_in(door.seen(), id_of(1)).has_value(); }));
  EXPECT_LE(told_in(door.seen(), id_of(1)), most(sent, up));
}

// Its time is over before its connection is up: it does not leave at all, and its client has its answer.
TEST_F(DeadlineStory, OneWhoseTimeEndsBeforeItsConnectionIsUpNeverLeaves) {
  SlowDoor door;
  start({}, host("s1", door.address()));
  Visitor visitor(router->address());
  visitor.send(ask(1, id_of(1), {.allow_ms = 700}));
  ASSERT_TRUE(pump.until([&] { return router->gateway().tally().attempts == 1; }));
  ASSERT_TRUE(door.open());  // after a second, in which the loop stands still
  EXPECT_TRUE(pump.until([&] { return times_in(visitor.seen(), "Status: ") == 1; }));
  pump.pass(1'000);
  EXPECT_EQ(door.seen(), "");
}

// The request stands in the system while the loop does not turn, wherever that is between two sweeps.
TEST_F(DeadlineStory, OneThatWaitedForTheLoopTellsWhatIsLeftAsItIsRead) {
  start({},
        host("s1", one.address(), "active", 0, "16") + "," + host("s2", other.address(), "active", 0, "16"));
  Visitor visitor(router->address());
  for (int round = 1; round <= rounds; ++round) {
    pump.pass(between_rounds);
    const Time sent = reactor.now();
    visitor.send(ask(static_cast<fastcgi::Number>(round), id_of(round)));
    stand_still(stall_ms);
    const Time goes_on = reactor.now();
    ASSERT_TRUE(at_servers(id_of(round)));
    EXPECT_LE(told(id_of(round)), most(sent, goes_on)) << round;
    EXPECT_GT(told(id_of(round)), allow_ms / 2) << round;
    servers_say(id_of(round), succeeded);
  }
  EXPECT_TRUE(succeeds(visitor, rounds));
}

// The loop stands still in its turn, after it has looked for what can be read: the request comes meanwhile.
TEST_F(DeadlineStory, OneThatCameWithinALongTurnTellsWhatIsLeftAsItIsRead) {
  start({}, host("s1", one.address()));
  Visitor visitor(router->address());
  Time sent = 0, goes_on = 0;
  reactor.every_turn([&] {
    reactor.post([this] { reactor.every_turn(nullptr); });  // once
    sent = reactor.now();
    visitor.send(ask(1, id_of(1)));
    stand_still(stall_ms);
    goes_on = reactor.now();
  });
  ASSERT_TRUE(at_servers(id_of(1)));
  EXPECT_LE(told(id_of(1)), most(sent, goes_on));
}

// Clients have not been looked at for longer than anything may leave, so the retry waits for the next turn;
// the loop stands still once more before that.
TEST_F(DeadlineStory, ARetryThatWaitsForTheNextTurnTellsWhatIsLeftThen) {
  start({}, host("s1", one.address()) + "," + host("s2", other.address()));
  RawServer aside(reactor);
  Visitor poke(aside.listener.address()), visitor(router->address());
  ASSERT_TRUE(pump.until([&] { return aside.peers.size() == 1; }));
  // So that the retry finds an idle connection to either server.
  for (int i = 10; i < 18; ++i) visitor.send(ask(static_cast<fastcgi::Number>(i), id_of(i)));
  for (int i = 10; i < 18; ++i) ASSERT_TRUE(at_servers(id_of(i)));
  for (int i = 10; i < 18; ++i) servers_say(id_of(i), succeeded);
  ASSERT_TRUE(succeeds(visitor, 8));
  ASSERT_TRUE(!one.peers.empty() && !other.peers.empty());

  const Time sent = reactor.now();
  visitor.send(ask(1, id_of(1)));
  ASSERT_TRUE(at_servers(id_of(1)));
  const RawServer& second = times_at(one, id_of(1)) > 0 ? other : one;
  Time goes_on = 0;
  aside.on_bytes = [&](RawPeer&) {
    stand_still(slack_ms);  // among the clients: nothing leaves in this turn any more
    reactor.every_turn([&] {
      reactor.post([this] { reactor.every_turn(nullptr); });  // once
      stand_still(stall_ms);
      goes_on = reactor.now();
    });
  };
  servers_say(id_of(1), overloaded);
  poke.send("x");
  ASSERT_TRUE(at_server(second, id_of(1)));
  ASSERT_GT(goes_on, 0);
  EXPECT_LE(told(second, id_of(1)), most(sent, goes_on));
}

// The same of a process that is stopped.
TEST_F(DeadlineStory, OneThatCameWhileTheProcessWasStoppedTellsWhatIsLeftAsItGoesOn) {
  NodeProcess process(configuration({}, discovery.address(), host("s1", one.address(), "active", 0, "16")));
  Visitor visitor(process.address());
  for (int round = 1; round <= rounds; ++round) {
    pump.pass(between_rounds);
    process.signal(SIGSTOP);
    const Time sent = reactor.now();
    visitor.send(ask(static_cast<fastcgi::Number>(round), id_of(round)));
    stand_still(stall_ms);
    const Time goes_on = reactor.now();
    process.signal(SIGCONT);
    ASSERT_TRUE(at_servers(id_of(round)));
    EXPECT_LE(told(id_of(round)), most(sent, goes_on)) << round;
    servers_say(id_of(round), succeeded);
  }
  EXPECT_TRUE(succeeds(visitor, rounds));
}

// What the system says of the age of a connection's last data: as it is, or wrong.
class AgeCalls : public transport::SystemCalls {
 public:
  enum class Says { truth, nothing, half, an_hour };
  int getsockopt(int descriptor, int level, int name, void* value, socklen_t* length) override {
    if (level != IPPROTO_TCP || name != TCP_INFO)
      return SystemCalls::getsockopt(descriptor, level, name, value, length);
    ++asked;
    if (says == Says::nothing) {
      errno = ENOPROTOOPT;
      return -1;
    }
    const int result = SystemCalls::getsockopt(descriptor, level, name, value, length);
    if (says == Says::half) *length = offsetof(tcp_info, tcpi_last_data_recv);
    if (says == Says::an_hour) static_cast<tcp_info*>(value)->tcpi_last_data_recv = 3'600'000;
    return result;
  }
  Says says = Says::truth;
  int asked = 0;
};

// A loop that turns, stands still while bytes come, and is asked how long they had been there.
class UnreadStory : public testing::Test, private transport::StreamHandler {
 protected:
  enum class Comes { before, meanwhile };  // the connection
  Time age_after_standing_still(Comes comes) {
    begun = loop.now();
    pump.pass(settled);  // before its first turn a loop knows nothing
    std::optional<Visitor> visitor;
    if (comes == Comes::before) visitor.emplace(listener.address());
    pump.pass(settled);
    // From here on the loop is parked.
    stands_still = loop.now();
    if (comes == Comes::meanwhile) visitor.emplace(listener.address());
    visitor->send("early");
    stand_still(each_ms);
    before_last = loop.now();
    visitor->send("late");
    after_last = loop.now();
    stand_still(each_ms);
    goes_on = loop.now();
    age.reset();
    EXPECT_TRUE(pump.until([&] { return age.has_value(); }));
    stream->close();
    return age.value_or(-1);
  }
  static constexpr int each_ms = 80;
  static constexpr Time settled = 200;
  static constexpr Time coarse = 300;  // the system counts in ticks of 4 or 10 ms, which may be late

  AgeCalls calls;
  transport::Loop loop{calls};
  std::shared_ptr<transport::Stream> stream;
  std::optional<Time> age;
  Time begun = 0, stands_still = 0, before_last = 0, after_last = 0, goes_on = 0, read_at = 0;

 private:
  void on_data(std::string_view) override {
    age = stream->unread_age();
    read_at = loop.now();
  }
  void on_closed(transport::CloseReason) override {}

 protected:
  transport::Listener listener{loop, transport::numeric_address("127.0.0.1:0"), false,
                               [this](const transport::PendingConnection& arrival) {
                                 stream = transport::Stream::adopt(loop, arrival, *this);
                               }};
  Pump pump{loop};
};

TEST_F(UnreadStory, CountsFromTheLastByteAlsoOnAConnectionThatStoodInTheQueue) {
  for (const Comes comes : {Comes::before, Comes::meanwhile}) {
    const Time counted = age_after_standing_still(comes);
    EXPECT_GE(counted, goes_on - after_last - coarse) << static_cast<int>(comes);
    EXPECT_LE(counted, read_at - before_last + coarse) << static_cast<int>(comes);
  }
}

TEST_F(UnreadStory, IsNoMoreThanTheLoopStoodStillAndNothingWhereTheSystemCannotTell) {
  calls.says = AgeCalls::Says::an_hour;
  const Time counted = age_after_standing_still(Comes::before);
  EXPECT_GE(counted, goes_on - stands_still);
  EXPECT_LE(counted, read_at - begun) << "it has looked since then";
  calls.says = AgeCalls::Says::nothing;
  EXPECT_EQ(age_after_standing_still(Comes::before), 0);
  calls.says = AgeCalls::Says::half;
  EXPECT_EQ(age_after_standing_still(Comes::before), 0);
  EXPECT_GE(calls.asked, 3);
}

}  // namespace
}  // namespace rushhill::node
