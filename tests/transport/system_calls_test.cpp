// What the event loop makes of system calls that fail, each in every way that Linux documents.
#include <Poco/Net/DatagramSocket.h>

#include <cerrno>
#include <cstring>

#include "loopback.h"
#include "simulation/faulty_system_calls.h"
#include "transport/datagram_endpoint.h"
#include "transport/listener.h"
#include "transport/loop.h"
#include "transport/peer_links.h"

namespace rushhill::transport {
namespace {

using simulation::FaultySystemCalls;
using simulation::SystemCall;
using simulation::SystemCallFailure;

constexpr Time looked_at_for = 1'000;         // tenths of a millisecond
constexpr std::uint64_t calls_at_rest = 200;  // in that time; spinning makes many thousands
constexpr int callers = 20;

std::vector<SystemCallFailure> failures_of(SystemCall call) {
  std::vector<SystemCallFailure> found;
  for (const SystemCallFailure& failure : simulation::documented_failures()) {
    if (failure.call == call) found.push_back(failure);
  }
  return found;
}
std::string named(const SystemCallFailure& failure) {
  return "call " + std::to_string(static_cast<int>(failure.call)) + ", " +
         (failure.error == 0 ? "short" : strerrorname_np(failure.error));
}

struct Recorder final : StreamHandler {
  void on_connected() override { ++times_opened; }
  void on_data(std::string_view bytes) override { seen += bytes; }
  void on_closed(CloseReason why) override { ways.push_back(why); }
  int times_opened = 0;
  std::string seen;
  std::vector<CloseReason> ways;
};

class SystemCallStory : public testing::Test {
 protected:
  std::vector<CloseReason> ways_of_connecting(const SystemCallFailure& failure) {
    Recorder user;
    system.fail_once(failure, 1);
    const auto stream = Stream::connect(reactor, numeric_address(server.address()), user);
    EXPECT_TRUE(user.ways.empty()) << "told from within the call, " << named(failure);
    EXPECT_TRUE(pump.until([&] { return user.times_opened > 0 || !user.ways.empty(); })) << named(failure);
    stream->close();
    return user.ways;
  }

  FaultySystemCalls system{1};
  Loop reactor{system};
  Pump pump{reactor};
  RawServer server{reactor};
};

// At the shutdown, on a listener that no loop turns for.
TEST(TakeAll, NoFailureLeavesConnectionsBehindItInTheQueue) {
  for (const bool asks_for_room : {false, true}) {
    for (const SystemCall call : {SystemCall::accept4, SystemCall::poll}) {
      if (call == SystemCall::poll && !asks_for_room) continue;
      for (const SystemCallFailure& failure : failures_of(call)) {
        FaultySystemCalls system(1);
        Loop reactor(system);
        int came = 0;
        Listener listener(reactor, numeric_address("127.0.0.1:0"), false,
                          [&](const PendingConnection&) { ++came; });
        if (asks_for_room) listener.accept_while([] { return true; });
        std::vector<std::unique_ptr<Visitor>> standing;
        for (int i = 0; i < callers; ++i) standing.push_back(std::make_unique<Visitor>(listener.address()));
        system.fail_once(failure, callers / 2);
        listener.accept_all();
        EXPECT_EQ(came, callers) << named(failure);
      }
    }
  }
}

TEST(TakeAll, ManyFailuresLeaveNoneBehindEither) {
  FaultySystemCalls system(7);
  Loop reactor(system);
  int came = 0;
  Listener listener(reactor, numeric_address("127.0.0.1:0"), false,
                    [&](const PendingConnection&) { ++came; });
  std::vector<std::unique_ptr<Visitor>> standing;
  for (int i = 0; i < callers; ++i) standing.push_back(std::make_unique<Visitor>(listener.address()));
  system.fail_at_rate(SystemCall::accept4, 0.5);
  listener.accept_all();
  EXPECT_EQ(came, callers);
}

TEST(TakeAll, AFailureThatLastsEndsIt) {
  FaultySystemCalls system(1);
  Loop reactor(system);
  Listener listener(reactor, numeric_address("127.0.0.1:0"), false, [](const PendingConnection&) {});
  const Visitor standing(listener.address());
  for (const SystemCallFailure& failure : failures_of(SystemCall::accept4)) {
    system.fail_always(failure);
    listener.accept_all();
  }
}

TEST_F(SystemCallStory, NoLastingFailureOfAcceptSpinsAndTheConnectionIsTakenAfterIt) {
  std::size_t taken = 0;
  for (const SystemCallFailure& failure : failures_of(SystemCall::accept4)) {
    system.fail_always(failure);
    Visitor visitor(numeric_address(server.address()));
    const std::uint64_t before = system.calls();
    pump.pass(looked_at_for / 4);
    EXPECT_LT(system.calls() - before, calls_at_rest * 2) << named(failure);
    EXPECT_EQ(server.peers.size(), taken);
    system.heal();
    EXPECT_TRUE(pump.until([&] { return server.peers.size() == taken + 1; })) << named(failure);
    ++taken;
  }
}

TEST_F(SystemCallStory, AnInterestThatTheSystemRefusesIsTriedAgain) {
  for (const SystemCallFailure& failure : failures_of(SystemCall::epoll_ctl)) {
    system.fail_always(failure);
    RawServer late(reactor);
    int heard = 0;
    DatagramEndpoint datagrams(reactor, numeric_address("127.0.0.1:0"),
                               [&](const Address&, std::string_view) { ++heard; });
    Recorder user;
    const auto stream = Stream::connect(reactor, numeric_address(late.address()), user);
    const std::uint64_t before = system.calls();
    pump.pass(looked_at_for);
    EXPECT_LT(system.calls() - before, 3 * calls_at_rest) << named(failure);
    EXPECT_TRUE(user.ways.empty()) << named(failure);
    system.heal();
    Poco::Net::DatagramSocket sender(numeric_address("127.0.0.1:0"));
    sender.sendTo("x", 1, datagrams.address());
    EXPECT_TRUE(pump.until([&] { return late.peers.size() == 1 && heard == 1 && user.times_opened == 1; }))
        << named(failure);
    stream->close();
  }
}

// Bytes stand on a connection that is not read for now.
TEST_F(SystemCallStory, WhatThePollerCouldNotForgetIsNotSpunOnAndCanBeWaitedForAgain) {
  const Visitor visitor(numeric_address(server.address()));
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == 1; }));
  RawPeer& peer = *server.peers.front();
  const SystemCallFailure refused{.call = SystemCall::epoll_ctl, .error = ENOMEM};

  system.fail_once(refused, 1);
  peer.stream->set_reading(false);
  visitor.send("once");
  std::uint64_t before = system.calls();
  pump.pass(looked_at_for);
  EXPECT_LT(system.calls() - before, calls_at_rest / 4);
  peer.stream->set_reading(true);
  ASSERT_TRUE(pump.until([&] { return peer.seen == "once"; }));

  system.fail_always(refused);
  peer.stream->set_reading(false);
  visitor.send("always");
  before = system.calls();
  pump.pass(looked_at_for);
  EXPECT_LT(system.calls() - before, 2 * calls_at_rest);
  EXPECT_EQ(peer.seen, "once");
  system.heal();
  peer.stream->set_reading(true);
  EXPECT_TRUE(pump.until([&] { return peer.seen == "oncealways"; }));
}

// Each call on the poller fails once while bytes go to and fro.
TEST_F(SystemCallStory, NoSingleRefusalOfAnInterestStopsAConversation) {
  server.on_bytes = [](RawPeer& peer) { peer.stream->write(std::exchange(peer.seen, "")); };
  for (const SystemCallFailure& failure : failures_of(SystemCall::epoll_ctl)) {
    for (int nth = 1; nth <= 6; ++nth) {
      system.fail_once(failure, nth);
      Recorder user;
      const auto stream = Stream::connect(reactor, numeric_address(server.address()), user);
      stream->write("ask");
      EXPECT_TRUE(pump.until([&] { return user.seen == "ask"; })) << named(failure) << " at " << nth;
      stream->close();
      pump.pass(20);
    }
  }
}

TEST_F(SystemCallStory, AFailureOfThisMachineAtConnectingIsNeverBegunAndTheOthersAreThePeers) {
  for (const SystemCall call : {SystemCall::socket, SystemCall::connect, SystemCall::connect_outcome}) {
    for (const SystemCallFailure& failure : failures_of(call)) {
      const std::vector<CloseReason> ways = ways_of_connecting(failure);
      if (failure.error == EINTR) {
        EXPECT_TRUE(ways.empty()) << "a connection goes on being set up, " << named(failure);
      } else {
        EXPECT_EQ(ways,
                  std::vector{failure.accuses_peer ? CloseReason::connect_failed : CloseReason::not_started})
            << named(failure);
      }
    }
  }
  for (const SystemCallFailure& failure : failures_of(SystemCall::getsockopt))
    EXPECT_EQ(ways_of_connecting(failure), std::vector{CloseReason::not_started}) << named(failure);
  for (const SystemCallFailure& failure : failures_of(SystemCall::setsockopt))
    EXPECT_EQ(ways_of_connecting(failure), std::vector<CloseReason>{}) << named(failure);
}

// Whoever hears of it tries again at once, without end.
TEST_F(SystemCallStory, ConnectingAgainAndAgainWithoutADescriptorDoesNotSpin) {
  struct Persistent final : StreamHandler {
    explicit Persistent(Loop& of) : loop(of) { connect(); }
    void connect() { stream = Stream::connect(loop, numeric_address("127.0.0.1:9"), *this); }
    void on_data(std::string_view) override {}
    void on_closed(CloseReason) override {
      loop.post([this] { connect(); });
    }
    Loop& loop;
    std::shared_ptr<Stream> stream;
  };
  system.fail_always({.call = SystemCall::socket, .error = EMFILE});
  Persistent user(reactor);
  const std::uint64_t before = system.calls();
  pump.pass(looked_at_for);
  EXPECT_LT(system.calls() - before, calls_at_rest);
  user.stream->close();
  pump.pass(10);
}

TEST_F(SystemCallStory, ABrokenConnectionIsBrokenHoweverItShows) {
  for (const SystemCall call : {SystemCall::send, SystemCall::recv}) {
    for (const SystemCallFailure& failure : failures_of(call)) {
      if (!failure.breaks_connection) continue;
      Recorder user;
      const auto stream = Stream::connect(reactor, numeric_address(server.address()), user);
      const std::size_t before = server.peers.size();
      ASSERT_TRUE(pump.until([&] { return user.times_opened == 1 && server.peers.size() > before; }));
      system.fail_once(failure, 1);
      stream->write("ask");
      server.peers.back()->stream->write("answer");
      EXPECT_TRUE(pump.until([&] { return !user.ways.empty(); })) << named(failure);
      EXPECT_EQ(user.ways, std::vector{CloseReason::reset}) << named(failure);
      stream->close();
    }
  }
}

TEST_F(SystemCallStory, WhatOnlyFailsForNowOnAnOpenConnectionLosesNothing) {
  std::string sent;
  for (int i = 0; i < 200; ++i) sent += std::to_string(i) + ",";
  server.on_bytes = [](RawPeer& peer) { peer.stream->write(std::exchange(peer.seen, "")); };
  for (const SystemCall call : {SystemCall::send, SystemCall::recv}) {
    for (const SystemCallFailure& failure : failures_of(call)) {
      if (failure.breaks_connection) continue;
      for (int nth = 1; nth <= 3; ++nth) {
        Recorder user;
        const auto stream = Stream::connect(reactor, numeric_address(server.address()), user);
        ASSERT_TRUE(pump.until([&] { return user.times_opened == 1; }));
        system.fail_once(failure, nth);
        stream->write(sent);
        EXPECT_TRUE(pump.until([&] { return user.seen.size() >= sent.size() || !user.ways.empty(); }))
            << named(failure);
        EXPECT_EQ(user.seen, sent) << named(failure);
        EXPECT_TRUE(user.ways.empty()) << named(failure);
        stream->close();
        pump.pass(20);
        system.heal();
      }
    }
  }
}

TEST_F(SystemCallStory, NoLastingFailureOnAnOpenConnectionSpinsAndBytesGoOnAfterIt) {
  for (const SystemCall call : {SystemCall::send, SystemCall::recv}) {
    for (const SystemCallFailure& failure : failures_of(call)) {
      if (failure.error != ENOBUFS && failure.error != ENOMEM) continue;
      Recorder user;
      const auto stream = Stream::connect(reactor, numeric_address(server.address()), user);
      const std::size_t before = server.peers.size();
      ASSERT_TRUE(pump.until([&] { return user.times_opened == 1 && server.peers.size() > before; }));
      system.fail_always(failure);
      const std::uint64_t calls_before = system.calls();
      stream->write("ask");
      pump.pass(looked_at_for);
      EXPECT_LT(system.calls() - calls_before, calls_at_rest) << named(failure);
      EXPECT_TRUE(server.peers.back()->seen.empty());
      system.heal();
      EXPECT_TRUE(pump.until([&] { return server.peers.back()->seen == "ask" || !user.ways.empty(); }))
          << named(failure);
      EXPECT_TRUE(user.ways.empty()) << named(failure);
      stream->close();
    }
  }
}

TEST_F(SystemCallStory, EveryReadAndWriteMayBeShort) {
  server.on_bytes = [](RawPeer& peer) { peer.stream->write(std::exchange(peer.seen, "")); };
  const std::string sent(3'000, 'x');
  for (const SystemCall call : {SystemCall::send, SystemCall::recv}) {
    system.fail_always({.call = call, .error = 0});
    Recorder user;
    const auto stream = Stream::connect(reactor, numeric_address(server.address()), user);
    stream->write(sent);
    EXPECT_TRUE(pump.until([&] { return user.seen.size() >= sent.size() || !user.ways.empty(); }));
    EXPECT_EQ(user.seen, sent);
    stream->close();
  }
}

// Interrupted, nobody knows what stands there: it does not count as nothing.
TEST_F(SystemCallStory, WhatStandsOnAConnectionIsNotTakenForNothing) {
  const Visitor visitor(numeric_address(server.address()));
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == 1; }));
  Stream& stream = *server.peers.front()->stream;
  EXPECT_EQ(stream.peek(), Stream::Peeked::nothing);
  system.fail_once({.call = SystemCall::recv, .error = EINTR}, 1);
  EXPECT_EQ(stream.peek(), Stream::Peeked::nothing);
  visitor.send("x");
  for (const SystemCallFailure& failure : failures_of(SystemCall::recv)) {
    if (failure.breaks_connection) continue;
    system.fail_once(failure, 1);
    EXPECT_EQ(stream.peek(), Stream::Peeked::bytes) << named(failure);
  }
}

TEST_F(SystemCallStory, ADatagramThatFailsLeavesTheRestToBeHeardInTheSameIteration) {
  int turn = 0;
  std::vector<int> heard_in;
  DatagramEndpoint datagrams(reactor, numeric_address("127.0.0.1:0"),
                             [&](const Address&, std::string_view) { heard_in.push_back(turn); });
  reactor.every_turn([&] { ++turn; });
  Poco::Net::DatagramSocket sender(numeric_address("127.0.0.1:0"));
  for (const SystemCallFailure& failure : failures_of(SystemCall::recvfrom)) {
    heard_in.clear();
    system.fail_once(failure, 2);
    for (int i = 0; i < 5; ++i) sender.sendTo("x", 1, datagrams.address());
    EXPECT_TRUE(pump.until([&] { return heard_in.size() == 5; })) << named(failure);
    EXPECT_EQ(heard_in, std::vector<int>(5, heard_in.front())) << named(failure);
  }
}

TEST_F(SystemCallStory, NoLastingFailureOfHearingSpins) {
  int heard = 0;
  DatagramEndpoint datagrams(reactor, numeric_address("127.0.0.1:0"),
                             [&](const Address&, std::string_view) { ++heard; });
  Poco::Net::DatagramSocket sender(numeric_address("127.0.0.1:0"));
  for (const SystemCallFailure& failure : failures_of(SystemCall::recvfrom)) {
    heard = 0;
    system.fail_always(failure);
    sender.sendTo("x", 1, datagrams.address());
    const std::uint64_t before = system.calls();
    pump.pass(looked_at_for);
    EXPECT_LT(system.calls() - before, 2 * calls_at_rest) << named(failure);
    system.heal();
    EXPECT_TRUE(pump.until([&] { return heard == 1; })) << named(failure);
  }
}

TEST_F(SystemCallStory, ADatagramThatCannotBeSentIsDroppedAndCounted) {
  Poco::Net::DatagramSocket socket(numeric_address("127.0.0.1:0"));
  const std::string address = socket.address().toString();
  PeerLinks links(reactor, "127.0.0.1:0", 0, {"", address}, [](int, const std::string&) {});
  std::uint64_t dropped = 0;
  for (const SystemCallFailure& failure : failures_of(SystemCall::sendto)) {
    system.fail_once(failure, 1);
    links.send(1, "box");
    EXPECT_EQ(links.dropped(), ++dropped) << named(failure);
  }
  links.send(1, "box");
  EXPECT_EQ(links.dropped(), dropped);
}

// What came to us is read before the alarm that is due, also where a signal cuts the wait short.
TEST_F(SystemCallStory, AnInterruptedWaitIsNotTakenForNothingToRead) {
  std::string order;
  const Visitor visitor(numeric_address(server.address()));
  server.on_bytes = [&](RawPeer&) { order += 'c'; };
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == 1; }));
  for (int round = 0; round < 5; ++round) {
    order.clear();
    visitor.send("x");
    const Time due = reactor.now() + 1;
    reactor.at(due, [&] { order += 'a'; });
    while (reactor.now() <= due + 10) {}
    system.fail_once({.call = SystemCall::epoll_wait, .error = EINTR}, 1);
    ASSERT_TRUE(pump.until([&] { return order.size() == 2; }));
    EXPECT_EQ(order, "ca");
  }
}

// Half of the waits end halfway.
TEST_F(SystemCallStory, AlarmsRingNoEarlierAndSoonAfterTheirTimeWhereWaitsAreInterrupted) {
  system.fail_at_rate(SystemCall::epoll_wait, 0.5);
  Time rang = 0;
  const Time due = reactor.now() + 1'000;
  reactor.at(due, [&] { rang = reactor.now(); });
  const std::uint64_t before = system.calls();
  ASSERT_TRUE(pump.until([&] { return rang != 0; }));
  EXPECT_GE(rang, due);
  EXPECT_LT(system.calls() - before, 2'000U);
}

// Its only owner is the pause that it waits in.
TEST(Loop, AStreamThatWaitsInAPauseGoesWithTheLoopsAlarms) {
  for (const bool by_word : {true, false}) {
    FaultySystemCalls system(1);
    Recorder user;
    Loop reactor(system);
    system.fail_always({.call = SystemCall::socket, .error = EMFILE});
    Stream::connect(reactor, numeric_address("127.0.0.1:9"), user);
    if (by_word) reactor.forget_all();
  }
}

// At a start, before anything waits.
TEST(Start, WhatTheMachineLacksForAMomentIsWaitedFor) {
  for (const SystemCall call : {SystemCall::epoll_create1, SystemCall::socket, SystemCall::bind,
                                SystemCall::setsockopt, SystemCall::getsockname, SystemCall::epoll_ctl}) {
    for (const SystemCallFailure& failure : failures_of(call)) {
      if (failure.error == EACCES) continue;  // lasts: it ends the start, with its reason
      FaultySystemCalls system(1);
      system.fail_once(failure, 1);
      EXPECT_NO_THROW({
        Loop reactor(system);
        Pump pump(reactor);
        RawServer server(reactor);
        Visitor visitor(numeric_address(server.address()));
        EXPECT_TRUE(pump.until([&] { return server.peers.size() == 1; })) << named(failure);
      }) << named(failure);
    }
  }
}

}  // namespace
}  // namespace rushhill::transport
