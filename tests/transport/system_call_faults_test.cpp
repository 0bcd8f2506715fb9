// Checks that the event loop neither spins, nor loses bytes or connections, nor attributes a local
// fault to a peer, when system calls fail. Each call is made to fail in every way that Linux documents.
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

constexpr Time observation_time = 1'000;  // tenths of a millisecond
// In that time. A spinning loop makes many thousands of calls.
constexpr std::uint64_t max_calls_without_spinning = 200;
constexpr int client_count = 20;

std::vector<SystemCallFailure> failures_of(SystemCall call) {
  std::vector<SystemCallFailure> found;
  for (const SystemCallFailure& failure : simulation::documented_failures()) {
    if (failure.call == call) found.push_back(failure);
  }
  return found;
}
std::string describe(const SystemCallFailure& failure) {
  return "call " + std::to_string(static_cast<int>(failure.call)) + ", " +
         (failure.error == 0 ? "short" : strerrorname_np(failure.error));
}

struct RecordingHandler final : StreamHandler {
  void on_connected() override { ++connected_count; }
  void on_data(std::string_view bytes) override { received += bytes; }
  void on_closed(CloseReason reason) override { close_reasons.push_back(reason); }
  int connected_count = 0;
  std::string received;
  std::vector<CloseReason> close_reasons;
};

class SystemCallFaultTest : public testing::Test {
 protected:
  std::vector<CloseReason> connect_and_get_close_reasons(const SystemCallFailure& failure) {
    RecordingHandler handler;
    system.fail_once(failure, 1);
    const auto stream = Stream::connect(reactor, numeric_address(server.address()), handler);
    EXPECT_TRUE(handler.close_reasons.empty())
        << "the handler was called from within connect(), " << describe(failure);
    EXPECT_TRUE(pump.until([&] { return handler.connected_count > 0 || !handler.close_reasons.empty(); }))
        << describe(failure);
    stream->close();
    return handler.close_reasons;
  }

  FaultySystemCalls system{1};
  Loop reactor{system};
  EventLoopDriver pump{reactor};
  RawServer server{reactor};
};

// As at shutdown, the loop does not run while the listener accepts.
TEST(AcceptAll, AcceptsAllConnectionsDespiteASingleFailure) {
  for (const bool with_predicate : {false, true}) {
    for (const SystemCall call : {SystemCall::accept4, SystemCall::poll}) {
      if (call == SystemCall::poll && !with_predicate) continue;
      for (const SystemCallFailure& failure : failures_of(call)) {
        FaultySystemCalls system(1);
        Loop reactor(system);
        int accepted = 0;
        Listener listener(reactor, numeric_address("127.0.0.1:0"), false,
                          [&](const PendingConnection&) { ++accepted; });
        if (with_predicate) listener.accept_while([] { return true; });
        std::vector<std::unique_ptr<TestClient>> clients;
        for (int i = 0; i < client_count; ++i)
          clients.push_back(std::make_unique<TestClient>(listener.address()));
        system.fail_once(failure, client_count / 2);
        listener.accept_all();
        EXPECT_EQ(accepted, client_count) << describe(failure);
      }
    }
  }
}

TEST(AcceptAll, AcceptsAllConnectionsDespiteManyFailures) {
  FaultySystemCalls system(7);
  Loop reactor(system);
  int accepted = 0;
  Listener listener(reactor, numeric_address("127.0.0.1:0"), false,
                    [&](const PendingConnection&) { ++accepted; });
  std::vector<std::unique_ptr<TestClient>> clients;
  for (int i = 0; i < client_count; ++i) clients.push_back(std::make_unique<TestClient>(listener.address()));
  system.fail_at_rate(SystemCall::accept4, 0.5);
  listener.accept_all();
  EXPECT_EQ(accepted, client_count);
}

TEST(AcceptAll, ReturnsDuringALastingFailure) {
  FaultySystemCalls system(1);
  Loop reactor(system);
  Listener listener(reactor, numeric_address("127.0.0.1:0"), false, [](const PendingConnection&) {});
  const TestClient client(listener.address());
  for (const SystemCallFailure& failure : failures_of(SystemCall::accept4)) {
    system.fail_always(failure);
    listener.accept_all();
  }
}

TEST_F(SystemCallFaultTest, LastingAcceptFailuresDoNotSpinAndAcceptingResumes) {
  std::size_t accepted_count = 0;
  for (const SystemCallFailure& failure : failures_of(SystemCall::accept4)) {
    system.fail_always(failure);
    TestClient client(numeric_address(server.address()));
    const std::uint64_t before = system.calls();
    pump.pass(observation_time / 4);
    EXPECT_LT(system.calls() - before, max_calls_without_spinning * 2) << describe(failure);
    EXPECT_EQ(server.peers.size(), accepted_count);
    system.heal();
    EXPECT_TRUE(pump.until([&] { return server.peers.size() == accepted_count + 1; })) << describe(failure);
    ++accepted_count;
  }
}

TEST_F(SystemCallFaultTest, RetriesRefusedRegistrations) {
  for (const SystemCallFailure& failure : failures_of(SystemCall::epoll_ctl)) {
    system.fail_always(failure);
    RawServer new_server(reactor);
    int received_count = 0;
    DatagramEndpoint datagrams(reactor, numeric_address("127.0.0.1:0"),
                               [&](const Address&, std::string_view) { ++received_count; });
    RecordingHandler handler;
    const auto stream = Stream::connect(reactor, numeric_address(new_server.address()), handler);
    const std::uint64_t before = system.calls();
    pump.pass(observation_time);
    EXPECT_LT(system.calls() - before, 3 * max_calls_without_spinning) << describe(failure);
    EXPECT_TRUE(handler.close_reasons.empty()) << describe(failure);
    system.heal();
    Poco::Net::DatagramSocket sender(numeric_address("127.0.0.1:0"));
    sender.sendTo("x", 1, datagrams.address());
    EXPECT_TRUE(pump.until([&] {
      return new_server.peers.size() == 1 && received_count == 1 && handler.connected_count == 1;
    })) << describe(failure);
    stream->close();
  }
}

// Epoll fails to remove a descriptor for which reading was turned off, although bytes are ready to be read.
TEST_F(SystemCallFaultTest, DescriptorThatCannotBeRemovedDoesNotSpinAndCanBeReadAgain) {
  const TestClient client(numeric_address(server.address()));
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == 1; }));
  RawPeer& peer = *server.peers.front();
  const SystemCallFailure failure{.call = SystemCall::epoll_ctl, .error = ENOMEM};

  system.fail_once(failure, 1);
  peer.stream->set_reading(false);
  client.send("once");
  std::uint64_t before = system.calls();
  pump.pass(observation_time);
  EXPECT_LT(system.calls() - before, max_calls_without_spinning / 4);
  peer.stream->set_reading(true);
  ASSERT_TRUE(pump.until([&] { return peer.seen == "once"; }));

  system.fail_always(failure);
  peer.stream->set_reading(false);
  client.send("always");
  before = system.calls();
  pump.pass(observation_time);
  EXPECT_LT(system.calls() - before, 2 * max_calls_without_spinning);
  EXPECT_EQ(peer.seen, "once");
  system.heal();
  peer.stream->set_reading(true);
  EXPECT_TRUE(pump.until([&] { return peer.seen == "oncealways"; }));
}

// Each of the first six epoll_ctl() calls fails once while bytes are sent back and forth.
TEST_F(SystemCallFaultTest, SingleRegistrationFailuresDoNotStopAnExchange) {
  server.on_bytes = [](RawPeer& peer) { peer.stream->write(std::exchange(peer.seen, "")); };
  for (const SystemCallFailure& failure : failures_of(SystemCall::epoll_ctl)) {
    for (int nth = 1; nth <= 6; ++nth) {
      system.fail_once(failure, nth);
      RecordingHandler handler;
      const auto stream = Stream::connect(reactor, numeric_address(server.address()), handler);
      stream->write("ask");
      EXPECT_TRUE(pump.until([&] { return handler.received == "ask"; }))
          << describe(failure) << " at " << nth;
      stream->close();
      pump.pass(20);
    }
  }
}

TEST_F(SystemCallFaultTest, LocalConnectFailuresEndAsNotStartedAndOthersAsConnectFailed) {
  for (const SystemCall call : {SystemCall::socket, SystemCall::connect, SystemCall::connect_outcome}) {
    for (const SystemCallFailure& failure : failures_of(call)) {
      const std::vector<CloseReason> close_reasons = connect_and_get_close_reasons(failure);
      if (failure.error == EINTR) {
        EXPECT_TRUE(close_reasons.empty())
            << "the system continues to establish the connection, " << describe(failure);
      } else {
        EXPECT_EQ(close_reasons,
                  std::vector{failure.accuses_peer ? CloseReason::connect_failed : CloseReason::not_started})
            << describe(failure);
      }
    }
  }
  for (const SystemCallFailure& failure : failures_of(SystemCall::getsockopt))
    EXPECT_EQ(connect_and_get_close_reasons(failure), std::vector{CloseReason::not_started})
        << describe(failure);
  for (const SystemCallFailure& failure : failures_of(SystemCall::setsockopt))
    EXPECT_EQ(connect_and_get_close_reasons(failure), std::vector<CloseReason>{}) << describe(failure);
}

// The handler retries at once after each failure, without end.
TEST_F(SystemCallFaultTest, RepeatedConnectsWithoutDescriptorsDoNotSpin) {
  struct RetryingHandler final : StreamHandler {
    explicit RetryingHandler(Loop& event_loop) : loop(event_loop) { connect(); }
    void connect() { stream = Stream::connect(loop, numeric_address("127.0.0.1:9"), *this); }
    void on_data(std::string_view) override {}
    void on_closed(CloseReason) override {
      loop.post([this] { connect(); });
    }
    Loop& loop;
    std::shared_ptr<Stream> stream;
  };
  system.fail_always({.call = SystemCall::socket, .error = EMFILE});
  RetryingHandler handler(reactor);
  const std::uint64_t before = system.calls();
  pump.pass(observation_time);
  EXPECT_LT(system.calls() - before, max_calls_without_spinning);
  handler.stream->close();
  pump.pass(10);
}

TEST_F(SystemCallFaultTest, BrokenConnectionsEndAsResetWhicheverCallFails) {
  for (const SystemCall call : {SystemCall::send, SystemCall::recv}) {
    for (const SystemCallFailure& failure : failures_of(call)) {
      if (!failure.breaks_connection) continue;
      RecordingHandler handler;
      const auto stream = Stream::connect(reactor, numeric_address(server.address()), handler);
      const std::size_t before = server.peers.size();
      ASSERT_TRUE(pump.until([&] { return handler.connected_count == 1 && server.peers.size() > before; }));
      system.fail_once(failure, 1);
      stream->write("ask");
      server.peers.back()->stream->write("answer");
      EXPECT_TRUE(pump.until([&] { return !handler.close_reasons.empty(); })) << describe(failure);
      EXPECT_EQ(handler.close_reasons, std::vector{CloseReason::reset}) << describe(failure);
      stream->close();
    }
  }
}

TEST_F(SystemCallFaultTest, TemporaryFailuresOnAnOpenConnectionLoseNoBytes) {
  std::string sent;
  for (int i = 0; i < 200; ++i) sent += std::to_string(i) + ",";
  server.on_bytes = [](RawPeer& peer) { peer.stream->write(std::exchange(peer.seen, "")); };
  for (const SystemCall call : {SystemCall::send, SystemCall::recv}) {
    for (const SystemCallFailure& failure : failures_of(call)) {
      if (failure.breaks_connection) continue;
      for (int nth = 1; nth <= 3; ++nth) {
        RecordingHandler handler;
        const auto stream = Stream::connect(reactor, numeric_address(server.address()), handler);
        ASSERT_TRUE(pump.until([&] { return handler.connected_count == 1; }));
        system.fail_once(failure, nth);
        stream->write(sent);
        EXPECT_TRUE(pump.until([&] {
          return handler.received.size() >= sent.size() || !handler.close_reasons.empty();
        })) << describe(failure);
        EXPECT_EQ(handler.received, sent) << describe(failure);
        EXPECT_TRUE(handler.close_reasons.empty()) << describe(failure);
        stream->close();
        pump.pass(20);
        system.heal();
      }
    }
  }
}

TEST_F(SystemCallFaultTest, LastingFailuresOnAnOpenConnectionDoNotSpinAndTransferResumes) {
  for (const SystemCall call : {SystemCall::send, SystemCall::recv}) {
    for (const SystemCallFailure& failure : failures_of(call)) {
      if (failure.error != ENOBUFS && failure.error != ENOMEM) continue;
      RecordingHandler handler;
      const auto stream = Stream::connect(reactor, numeric_address(server.address()), handler);
      const std::size_t before = server.peers.size();
      ASSERT_TRUE(pump.until([&] { return handler.connected_count == 1 && server.peers.size() > before; }));
      system.fail_always(failure);
      const std::uint64_t calls_before = system.calls();
      stream->write("ask");
      pump.pass(observation_time);
      EXPECT_LT(system.calls() - calls_before, max_calls_without_spinning) << describe(failure);
      EXPECT_TRUE(server.peers.back()->seen.empty());
      system.heal();
      EXPECT_TRUE(pump.until([&] {
        return server.peers.back()->seen == "ask" || !handler.close_reasons.empty();
      })) << describe(failure);
      EXPECT_TRUE(handler.close_reasons.empty()) << describe(failure);
      stream->close();
    }
  }
}

TEST_F(SystemCallFaultTest, TransfersAllBytesDespiteShortReadsAndWrites) {
  server.on_bytes = [](RawPeer& peer) { peer.stream->write(std::exchange(peer.seen, "")); };
  const std::string sent(3'000, 'x');
  for (const SystemCall call : {SystemCall::send, SystemCall::recv}) {
    system.fail_always({.call = call, .error = 0});
    RecordingHandler handler;
    const auto stream = Stream::connect(reactor, numeric_address(server.address()), handler);
    stream->write(sent);
    EXPECT_TRUE(
        pump.until([&] { return handler.received.size() >= sent.size() || !handler.close_reasons.empty(); }));
    EXPECT_EQ(handler.received, sent);
    stream->close();
  }
}

// After an interrupted or failed peek it is unknown whether bytes are ready, so it must not return `nothing`
// if there are any.
TEST_F(SystemCallFaultTest, PeekDoesNotReportNothingAfterATemporaryFailure) {
  const TestClient client(numeric_address(server.address()));
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == 1; }));
  Stream& stream = *server.peers.front()->stream;
  EXPECT_EQ(stream.peek(), Stream::Peeked::nothing);
  system.fail_once({.call = SystemCall::recv, .error = EINTR}, 1);
  EXPECT_EQ(stream.peek(), Stream::Peeked::nothing);
  client.send("x");
  for (const SystemCallFailure& failure : failures_of(SystemCall::recv)) {
    if (failure.breaks_connection) continue;
    system.fail_once(failure, 1);
    EXPECT_EQ(stream.peek(), Stream::Peeked::bytes) << describe(failure);
  }
}

TEST_F(SystemCallFaultTest, FailedDatagramDoesNotDelayTheOthers) {
  int iteration = 0;
  std::vector<int> received_in;
  DatagramEndpoint datagrams(reactor, numeric_address("127.0.0.1:0"),
                             [&](const Address&, std::string_view) { received_in.push_back(iteration); });
  reactor.set_iteration_hook([&] { ++iteration; });
  Poco::Net::DatagramSocket sender(numeric_address("127.0.0.1:0"));
  for (const SystemCallFailure& failure : failures_of(SystemCall::recvfrom)) {
    received_in.clear();
    system.fail_once(failure, 2);
    for (int i = 0; i < 5; ++i) sender.sendTo("x", 1, datagrams.address());
    EXPECT_TRUE(pump.until([&] { return received_in.size() == 5; })) << describe(failure);
    EXPECT_EQ(received_in, std::vector<int>(5, received_in.front())) << describe(failure);
  }
}

TEST_F(SystemCallFaultTest, LastingReceiveFailuresDoNotSpin) {
  int received_count = 0;
  DatagramEndpoint datagrams(reactor, numeric_address("127.0.0.1:0"),
                             [&](const Address&, std::string_view) { ++received_count; });
  Poco::Net::DatagramSocket sender(numeric_address("127.0.0.1:0"));
  for (const SystemCallFailure& failure : failures_of(SystemCall::recvfrom)) {
    received_count = 0;
    system.fail_always(failure);
    sender.sendTo("x", 1, datagrams.address());
    const std::uint64_t before = system.calls();
    pump.pass(observation_time);
    EXPECT_LT(system.calls() - before, 2 * max_calls_without_spinning) << describe(failure);
    system.heal();
    EXPECT_TRUE(pump.until([&] { return received_count == 1; })) << describe(failure);
  }
}

TEST_F(SystemCallFaultTest, DropsAndCountsDatagramsThatCannotBeSent) {
  Poco::Net::DatagramSocket socket(numeric_address("127.0.0.1:0"));
  const std::string address = socket.address().toString();
  PeerLinks links(reactor, "127.0.0.1:0", 0, {"", address}, [](int, const std::string&) {});
  std::uint64_t dropped = 0;
  for (const SystemCallFailure& failure : failures_of(SystemCall::sendto)) {
    system.fail_once(failure, 1);
    links.send(1, "box");
    EXPECT_EQ(links.dropped(), ++dropped) << describe(failure);
  }
  links.send(1, "box");
  EXPECT_EQ(links.dropped(), dropped);
}

// Bytes from a client must be read before a due timer fires, even if a signal interrupts the wait.
TEST_F(SystemCallFaultTest, InterruptedWaitStillReadsClientsBeforeFiringTimers) {
  std::string order;
  const TestClient client(numeric_address(server.address()));
  server.on_bytes = [&](RawPeer&) { order += 'c'; };
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == 1; }));
  for (int round = 0; round < 5; ++round) {
    order.clear();
    client.send("x");
    const Time due = reactor.now() + 1;
    reactor.at(due, [&] { order += 'a'; });
    while (reactor.now() <= due + 10) {}
    system.fail_once({.call = SystemCall::epoll_wait, .error = EINTR}, 1);
    ASSERT_TRUE(pump.until([&] { return order.size() == 2; }));
    EXPECT_EQ(order, "ca");
  }
}

// Half of the waits are interrupted halfway.
TEST_F(SystemCallFaultTest, TimersAreNotEarlyAndDoNotSpinWhenWaitsAreInterrupted) {
  system.fail_at_rate(SystemCall::epoll_wait, 0.5);
  Time fired_at = 0;
  const Time due = reactor.now() + 1'000;
  reactor.at(due, [&] { fired_at = reactor.now(); });
  const std::uint64_t before = system.calls();
  ASSERT_TRUE(pump.until([&] { return fired_at != 0; }));
  EXPECT_GE(fired_at, due);
  EXPECT_LT(system.calls() - before, 2'000U);
}

// The timer of its pause is the only owner of the stream. The stream must be destroyed with the loop's
// timers, whether drop_pending_calls() or the loop's destructor drops them.
TEST(Loop, StreamInAPauseIsDestroyedWithTheLoopsTimers) {
  for (const bool drop_explicitly : {true, false}) {
    FaultySystemCalls system(1);
    RecordingHandler handler;
    Loop reactor(system);
    system.fail_always({.call = SystemCall::socket, .error = EMFILE});
    Stream::connect(reactor, numeric_address("127.0.0.1:9"), handler);
    if (drop_explicitly) reactor.drop_pending_calls();
  }
}

// A short lack of resources during startup, before anything else is waiting, must not end the program.
TEST(Startup, WaitsForTemporarilyMissingResources) {
  for (const SystemCall call : {SystemCall::epoll_create1, SystemCall::socket, SystemCall::bind,
                                SystemCall::setsockopt, SystemCall::getsockname, SystemCall::epoll_ctl}) {
    for (const SystemCallFailure& failure : failures_of(call)) {
      if (failure.error == EACCES) continue;  // a lasting failure, which ends the startup with its reason
      FaultySystemCalls system(1);
      system.fail_once(failure, 1);
      EXPECT_NO_THROW({
        Loop reactor(system);
        EventLoopDriver pump(reactor);
        RawServer server(reactor);
        TestClient client(numeric_address(server.address()));
        EXPECT_TRUE(pump.until([&] { return server.peers.size() == 1; })) << describe(failure);
      }) << describe(failure);
    }
  }
}

}  // namespace
}  // namespace rushhill::transport
