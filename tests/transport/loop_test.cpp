// Checks the order in which the loop serves what is ready: connections that peers opened, connections that we
// opened, then timers.
#include "transport/loop.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <thread>
#include <utility>

#include "loopback.h"

namespace rushhill::transport {
namespace {

// Before the iteration starts, bytes are ready on connections that peers opened ('c') and on connections that
// we opened ('o'), and a timer is due ('a'). There are eight connections of each kind, so that a wrong order
// does not pass by chance.
TEST(EventLoopIteration, ReadsPeerOpenedConnectionsThenOursThenFiresTimers) {
  Loop reactor;
  EventLoopDriver pump(reactor);
  RawServer server(reactor);
  std::string order;
  Poco::Net::ServerSocket remote_listener(numeric_address("127.0.0.1:0"));
  std::vector<Poco::Net::StreamSocket> clients, accepted;
  std::vector<std::unique_ptr<RawPeer>> opened;
  for (int i = 0; i < 8; ++i) {
    opened.push_back(std::make_unique<RawPeer>(reactor, remote_listener.address()));
    opened.back()->on_bytes = [&] { order += 'o'; };
    accepted.push_back(remote_listener.acceptConnection());
    clients.emplace_back(numeric_address(server.address()));
  }
  server.on_bytes = [&](RawPeer&) { order += 'c'; };
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == 8; }));
  pump.pass(200);
  for (int i = 0; i < 8; ++i) {
    accepted[static_cast<std::size_t>(i)].sendBytes("x", 1);
    clients[static_cast<std::size_t>(i)].sendBytes("x", 1);
  }
  // The paused iteration fires only timers that were due when it began to, so the next one fires this timer.
  const Time due = reactor.now() + 1;
  reactor.at(due, [&] { order += 'a'; });
  while (reactor.now() <= due + 10) {}
  ASSERT_TRUE(pump.until([&] { return order.size() == 17; }));
  EXPECT_EQ(order, "ccccccccooooooooa");
}

// More connections are readable than the system reports in one wait.
TEST(EventLoopIteration, ReadsAllPeerOpenedConnectionsBeforeOurs) {
  constexpr int client_count = 1'500;  // the system reports at most 1,024
  Loop reactor;
  EventLoopDriver pump(reactor);
  RawServer server(reactor);
  std::string order;
  Poco::Net::ServerSocket remote_listener(numeric_address("127.0.0.1:0"));
  std::vector<std::unique_ptr<TestClient>> clients;
  RawPeer opened(reactor, remote_listener.address());
  opened.on_bytes = [&] { order += 'o'; };
  Poco::Net::StreamSocket accepted = remote_listener.acceptConnection();
  for (int i = 0; i < client_count; ++i)
    clients.push_back(std::make_unique<TestClient>(numeric_address(server.address())));
  server.on_bytes = [&](RawPeer&) { order += 'c'; };
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == client_count; }));
  pump.pass(200);
  accepted.sendBytes("x", 1);
  for (const auto& client : clients) client->send("x");
  ASSERT_TRUE(pump.until([&] { return order.size() == client_count + 1; }));
  EXPECT_EQ(order.find('o'), static_cast<std::size_t>(client_count));
}

// Guards against a timeout that fires although the answer lies in the socket: the bytes arrive, and after
// them the timer becomes due, while one iteration of the loop is held up.
TEST(EventLoopIteration, ReadsWhatArrivedBeforeATimerWasDueBeforeFiringIt) {
  Loop reactor;
  EventLoopDriver pump(reactor);
  RawServer server(reactor);
  std::string order;
  Poco::Net::ServerSocket remote_listener(numeric_address("127.0.0.1:0"));
  RawPeer opened(reactor, remote_listener.address());
  opened.on_bytes = [&] { order += 'o'; };
  Poco::Net::StreamSocket accepted = remote_listener.acceptConnection();
  const TestClient client(numeric_address(server.address()));
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == 1; }));
  server.on_bytes = [&](RawPeer&) {
    const Time due = reactor.now() + 100;
    reactor.at(due, [&] { order += 'a'; });
    accepted.sendBytes("x", 1);
    while (reactor.now() <= due) {}
  };
  client.send("x");
  ASSERT_TRUE(pump.until([&] { return order.size() == 2; }));
  EXPECT_EQ(order, "oa");
}

// What is posted by a call runs in the next iteration, but urgent calls run after the call that posts them,
// before the next timer too.
TEST(EventLoopIteration, RunsUrgentCallsBeforeOthersThatArePosted) {
  Loop reactor;
  EventLoopDriver pump(reactor);
  std::string order;
  reactor.at(reactor.now(), [&] {
    for (const char name : {'a', 'b'}) {
      reactor.post([&, name] {
        order += name;
        reactor.post([&] { order += 'n'; });
        reactor.post_urgent([&] { order += 'U'; });
      });
    }
    reactor.post_urgent([&] { order += 'F'; });
  });
  reactor.at(reactor.now(), [&] { order += 't'; });
  ASSERT_TRUE(pump.until([&] { return order.size() == 8; }));
  EXPECT_EQ(order, "FtaUbUnn");
}

// Guards against simulated clients that are late to send: after a long iteration what they write waits for
// the next poll, which is meant for a router, whose clients may have left meanwhile.
TEST(EventLoopIteration, SendsAtOnceAfterALongIterationIfItNeedNotReadPeersBefore) {
  for (const bool reads_before : {true, false}) {
    Loop reactor;
    reactor.reads_peers_before_sending = reads_before;
    EventLoopDriver pump(reactor);
    Poco::Net::ServerSocket remote_listener(numeric_address("127.0.0.1:0"));
    RawPeer opened(reactor, remote_listener.address());
    Poco::Net::StreamSocket accepted = remote_listener.acceptConnection();
    pump.pass(200);
    bool arrived_at_once = false;
    bool done = false;
    reactor.at(reactor.now(), [&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(80));
      opened.stream->write("x");
      arrived_at_once = accepted.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ);
      done = true;
    });
    ASSERT_TRUE(pump.until([&] { return done; }));
    EXPECT_EQ(arrived_at_once, !reads_before);
  }
}

// Guards against a router that sends nothing as long as a crowd keeps it reading: in every iteration it takes
// longer to read the connections that peers opened than may have passed since the poll when something is
// sent.
TEST(EventLoopIteration, SendsAlthoughReadingPeersTakesLongInEveryIteration) {
  constexpr int crowd_size = 8;
  Loop reactor;
  EventLoopDriver pump(reactor);
  RawServer server(reactor);
  Poco::Net::ServerSocket remote_listener(numeric_address("127.0.0.1:0"));
  RawPeer opened(reactor, remote_listener.address());
  Poco::Net::StreamSocket accepted = remote_listener.acceptConnection();
  std::vector<std::unique_ptr<TestClient>> crowd;
  for (int i = 0; i < crowd_size; ++i)
    crowd.push_back(std::make_unique<TestClient>(numeric_address(server.address())));
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == crowd_size; }));
  bool written = false;
  server.on_bytes = [&](RawPeer&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    if (!std::exchange(written, true)) opened.stream->write("x");
  };
  std::function<void()> step = [&] {
    for (const auto& client : crowd) client->send("x");
    reactor.post(step);
  };
  reactor.post(step);
  EXPECT_TRUE(
      pump.until([&] { return accepted.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ); }, 10'000));
}

// Guards against a loop that reads all that busy peers have sent before it does anything else: each of them
// has sent far more than it is read in one turn, and reading a turn's bytes takes a millisecond.
TEST(EventLoopIteration, FiresTimersAndReadsOthersWhileBusyPeersHaveMoreToRead) {
  constexpr int busy_count = 8;
  constexpr Time max_delay = 1'000;  // tenths of a millisecond; all that is sent takes far more
  const std::string many_bytes(512 * 1024, 'b');
  Loop reactor;
  EventLoopDriver pump(reactor);
  RawServer server(reactor);
  std::vector<std::unique_ptr<TestClient>> busy;
  for (int i = 0; i < busy_count; ++i) {
    busy.push_back(std::make_unique<TestClient>(numeric_address(server.address())));
  }
  const TestClient usual(numeric_address(server.address()));
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == busy_count + 1; }));
  std::size_t busy_bytes = 0;
  Time usual_read_at = 0;
  server.on_bytes = [&](RawPeer& peer) {
    if (&peer == server.peers.back().get()) {
      usual_read_at = reactor.now();
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    busy_bytes += std::exchange(peer.seen, {}).size();
  };
  std::vector<std::thread> senders;
  for (const auto& client : busy) senders.emplace_back([&] { client->send(many_bytes); });
  pump.pass(100);
  usual.send("x");
  const Time sent = reactor.now();
  Time fired = 0;
  reactor.at(sent + 1, [&] { fired = reactor.now(); });
  EXPECT_TRUE(pump.until([&] { return fired != 0 && usual_read_at != 0; }));
  EXPECT_LT(fired - sent, max_delay);
  EXPECT_LT(usual_read_at - sent, max_delay);
  EXPECT_TRUE(pump.until([&] { return busy_bytes == busy_count * many_bytes.size(); })) << "all is read";
  for (std::thread& sender : senders) sender.join();
}

TEST(EventLoopDriver, StopsALoopThatHasNeverRun) {
  Loop reactor;
  const EventLoopDriver pump{reactor};
}

}  // namespace
}  // namespace rushhill::transport
