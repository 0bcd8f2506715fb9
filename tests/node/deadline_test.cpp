// Guards against servers that work on a request for longer than its client waits. The deadline that is sent
// to a server (`max`) may exceed the time that the client has left at that moment by 0.15 s at most: for a
// retry, a hedged request, a request that waited for its connection and one that waited for the event loop.
// The bounds are computed for a moment that is certainly before the bytes were sent.
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <cerrno>
#include <cstddef>

#include "node/node.h"
#include "node_process.h"
#include "platform_fixture.h"
#include "transport/listener.h"

namespace rushhill::node {
namespace {

constexpr int allow_ms = 2'500;          // of the requests, unless stated otherwise
constexpr int slack_ms = 150;            // by which the sent deadline may exceed the remaining time
constexpr int stall_ms = 260;            // clearly longer than the slack
constexpr Time rejection_delay = 4'000;  // tenths of a millisecond until a server rejects the request
constexpr int rounds = 3;                // at different moments of the frontend's sweep period
constexpr Time round_interval = 230;

class NodeDeadlineTest : public PlatformTest {
 protected:
  void start(const Settings& settings, const std::string& hosts) {
    router = std::make_unique<Node>(
        reactor, read_configuration(configuration(settings, discovery.address(), hosts)), null_log);
  }
  static std::optional<int> deadline_in(const std::string& seen, const std::string& id) {
    const std::size_t command = seen.find("invoke " + id);
    if (command == std::string::npos) return std::nullopt;
    return std::atoi(seen.c_str() + seen.find("max=", command) + 4);
  }
  static std::optional<int> sent_deadline(const RawServer& server, const std::string& id) {
    for (const auto& peer : server.peers) {
      if (const auto deadline = deadline_in(peer->seen, id)) return deadline;
    }
    return std::nullopt;
  }
  std::optional<int> sent_deadline(const std::string& id) const {
    const auto at_server1 = sent_deadline(server1, id);
    return at_server1 ? at_server1 : sent_deadline(server2, id);
  }
  // The time that a client which sent its request at `sent` has left at `forwarded`, plus the slack.
  static int max_deadline(Time sent, Time forwarded) {
    return allow_ms - static_cast<int>((forwarded - sent) / 10) + slack_ms;
  }

  std::unique_ptr<Node> router;
};

TEST_F(NodeDeadlineTest, RetrySendsTheRemainingTime) {
  start({}, host("s1", server1.address()) + "," + host("s2", server2.address()));
  TestClient client(router->address());
  const Time sent = reactor.now();
  client.send(invoke_request(1, request_id(1)));
  ASSERT_TRUE(servers_receive(request_id(1)));
  const RawServer& other_server = count_at_server(server1, request_id(1)) > 0 ? server2 : server1;
  driver.pass(rejection_delay);
  const Time rejected = reactor.now();
  send_answer(request_id(1), overloaded_answer);
  ASSERT_TRUE(server_receives(other_server, request_id(1)));
  EXPECT_LE(sent_deadline(other_server, request_id(1)), max_deadline(sent, rejected));
  EXPECT_GT(sent_deadline(other_server, request_id(1)), 0);
}

TEST_F(NodeDeadlineTest, HedgedRequestSendsTheRemainingTime) {
  Settings settings;
  settings.hedging = "true";
  settings.latency_objective = "500000000";
  start(settings, host("s1", server1.address()) + "," + host("s2", server2.address()));
  TestClient client(router->address());
  const Time sent = reactor.now();
  client.send(invoke_request(1, request_id(1)));
  ASSERT_TRUE(servers_receive(request_id(1)));
  const RawServer& other_server = count_at_server(server1, request_id(1)) > 0 ? server2 : server1;
  // Times of the last three checks. The hedged request was sent after the first of them.
  std::array<Time, 3> check_times{sent, sent, sent};
  ASSERT_TRUE(driver.until([&] {
    check_times = {check_times[1], check_times[2], reactor.now()};
    return count_at_server(other_server, request_id(1)) > 0;
  }));
  EXPECT_LE(sent_deadline(other_server, request_id(1)), max_deadline(sent, check_times[0]));
  EXPECT_GT(check_times[0] - sent, slack_ms * 10)
      << "the hedged request must leave later than the slack, or the test shows nothing";
}

TEST_F(NodeDeadlineTest, RequestThatWaitedForItsConnectionSendsTheRemainingTime) {
  SlowListener slow_listener;
  start({}, host("s1", slow_listener.address()));
  TestClient client(router->address());
  const Time sent = reactor.now();
  client.send(invoke_request(1, request_id(1)));
  ASSERT_TRUE(driver.until([&] { return router->gateway().tally().attempts == 1; }));
  ASSERT_TRUE(slow_listener.accept_next());
  const Time established = reactor.now();
  ASSERT_GT(established - sent, slack_ms * 10)
      << "the connection must take longer than the slack, or the test shows nothing";
  ASSERT_TRUE(driver.until([&] { return deadline_in(slow_listener.received(), request_id(1)).has_value(); }));
  EXPECT_LE(deadline_in(slow_listener.received(), request_id(1)), max_deadline(sent, established));
}

// The request's time runs out before its connection is established.
TEST_F(NodeDeadlineTest, RequestThatExpiresBeforeItsConnectionIsEstablishedIsAnsweredAndNotSent) {
  SlowListener slow_listener;
  start({}, host("s1", slow_listener.address()));
  TestClient client(router->address());
  client.send(invoke_request(1, request_id(1), {.allow_ms = 700}));
  ASSERT_TRUE(driver.until([&] { return router->gateway().tally().attempts == 1; }));
  ASSERT_TRUE(slow_listener.accept_next());  // takes a second, during which the loop does not run
  EXPECT_TRUE(driver.until([&] { return count_in(client.seen(), "Status: ") == 1; }));
  driver.pass(1'000);
  EXPECT_EQ(slow_listener.received(), "");
}

// The request waits in the socket's receive buffer while the loop is stalled, at several moments of the sweep
// period.
TEST_F(NodeDeadlineTest, RequestThatWaitedForTheLoopSendsTheTimeLeftWhenItIsRead) {
  start({}, host("s1", server1.address(), "active", 0, "16") + "," +
                host("s2", server2.address(), "active", 0, "16"));
  TestClient client(router->address());
  for (int round = 1; round <= rounds; ++round) {
    driver.pass(round_interval);
    const Time sent = reactor.now();
    client.send(invoke_request(static_cast<fastcgi::Number>(round), request_id(round)));
    stall_loop(stall_ms);
    const Time resumed = reactor.now();
    ASSERT_TRUE(servers_receive(request_id(round)));
    EXPECT_LE(sent_deadline(request_id(round)), max_deadline(sent, resumed)) << round;
    EXPECT_GT(sent_deadline(request_id(round)), allow_ms / 2) << round;
    send_answer(request_id(round), success_answer);
  }
  EXPECT_TRUE(succeeds(client, rounds));
}

// The loop stalls within an iteration, after it has polled its sockets; the request arrives during the stall.
TEST_F(NodeDeadlineTest, RequestThatArrivesDuringALongIterationSendsTheTimeLeftWhenItIsRead) {
  start({}, host("s1", server1.address()));
  TestClient client(router->address());
  Time sent = 0, resumed = 0;
  reactor.set_iteration_hook([&] {
    reactor.post([this] { reactor.set_iteration_hook(nullptr); });  // only once
    sent = reactor.now();
    client.send(invoke_request(1, request_id(1)));
    stall_loop(stall_ms);
    resumed = reactor.now();
  });
  ASSERT_TRUE(servers_receive(request_id(1)));
  EXPECT_LE(sent_deadline(request_id(1)), max_deadline(sent, resumed));
}

// The loop polled clients too long ago to be allowed to send, so the retry waits for the next iteration. The
// loop stalls once more before that.
TEST_F(NodeDeadlineTest, RetryThatWaitsForTheNextIterationSendsTheRemainingTime) {
  start({}, host("s1", server1.address()) + "," + host("s2", server2.address()));
  RawServer stall_server(reactor);
  TestClient stall_trigger(stall_server.listener.address()), client(router->address());
  ASSERT_TRUE(driver.until([&] { return stall_server.peers.size() == 1; }));
  // Several requests at once leave an idle connection to each server, which the retry can use.
  for (int i = 10; i < 18; ++i) client.send(invoke_request(static_cast<fastcgi::Number>(i), request_id(i)));
  for (int i = 10; i < 18; ++i) ASSERT_TRUE(servers_receive(request_id(i)));
  for (int i = 10; i < 18; ++i) send_answer(request_id(i), success_answer);
  ASSERT_TRUE(succeeds(client, 8));
  ASSERT_TRUE(!server1.peers.empty() && !server2.peers.empty());

  const Time sent = reactor.now();
  client.send(invoke_request(1, request_id(1)));
  ASSERT_TRUE(servers_receive(request_id(1)));
  const RawServer& other_server = count_at_server(server1, request_id(1)) > 0 ? server2 : server1;
  Time resumed = 0;
  stall_server.on_bytes = [&](RawPeer&) {
    stall_loop(slack_ms);  // while clients are read, so that nothing more is sent in this iteration
    reactor.set_iteration_hook([&] {
      reactor.post([this] { reactor.set_iteration_hook(nullptr); });  // only once
      stall_loop(stall_ms);
      resumed = reactor.now();
    });
  };
  send_answer(request_id(1), overloaded_answer);
  stall_trigger.send("x");
  ASSERT_TRUE(server_receives(other_server, request_id(1)));
  ASSERT_GT(resumed, 0);
  EXPECT_LE(sent_deadline(other_server, request_id(1)), max_deadline(sent, resumed));
}

// The same for a process that is stopped.
TEST_F(NodeDeadlineTest, RequestThatArrivesWhileTheProcessIsStoppedSendsTheTimeLeftWhenItContinues) {
  NodeProcess process(
      configuration({}, discovery.address(), host("s1", server1.address(), "active", 0, "16")));
  TestClient client(process.address());
  for (int round = 1; round <= rounds; ++round) {
    driver.pass(round_interval);
    process.signal(SIGSTOP);
    const Time sent = reactor.now();
    client.send(invoke_request(static_cast<fastcgi::Number>(round), request_id(round)));
    stall_loop(stall_ms);
    const Time resumed = reactor.now();
    process.signal(SIGCONT);
    ASSERT_TRUE(servers_receive(request_id(round)));
    EXPECT_LE(sent_deadline(request_id(round)), max_deadline(sent, resumed)) << round;
    send_answer(request_id(round), success_answer);
  }
  EXPECT_TRUE(succeeds(client, rounds));
}

// System calls whose TCP_INFO, which holds the age of a connection's last data, can be missing, cut short or
// wrong.
class TcpInfoCalls : public transport::SystemCalls {
 public:
  enum class Mode { unchanged, unavailable, cut_short, one_hour };
  int getsockopt(int descriptor, int level, int name, void* value, socklen_t* length) override {
    if (level != IPPROTO_TCP || name != TCP_INFO)
      return SystemCalls::getsockopt(descriptor, level, name, value, length);
    ++queries;
    if (mode == Mode::unavailable) {
      errno = ENOPROTOOPT;
      return -1;
    }
    const int result = SystemCalls::getsockopt(descriptor, level, name, value, length);
    if (mode == Mode::cut_short) *length = offsetof(tcp_info, tcpi_last_data_recv);
    if (mode == Mode::one_hour) static_cast<tcp_info*>(value)->tcpi_last_data_recv = 3'600'000;
    return result;
  }
  Mode mode = Mode::unchanged;
  int queries = 0;
};

// Stalls a loop while bytes arrive on a connection, and reads the age that the stream states for them.
class NodeUnreadAgeTest : public testing::Test, private transport::StreamHandler {
 protected:
  enum class Connects { before_stall, during_stall };  // the connection, relative to the stall
  Time age_after_stall(Connects connects) {
    started = loop.now();
    driver.pass(settle_time);  // so that the loop has polled before
    std::optional<TestClient> client;
    if (connects == Connects::before_stall) client.emplace(listener.address());
    driver.pass(settle_time);
    // The loop does not run from here on, until the driver runs it again.
    stalled = loop.now();
    if (connects == Connects::during_stall) client.emplace(listener.address());
    client->send("early");
    stall_loop(half_stall_ms);
    before_last_write = loop.now();
    client->send("late");
    after_last_write = loop.now();
    stall_loop(half_stall_ms);
    resumed = loop.now();
    age.reset();
    EXPECT_TRUE(driver.until([&] { return age.has_value(); }));
    stream->close();
    return age.value_or(-1);
  }
  static constexpr int half_stall_ms = 80;
  static constexpr Time settle_time = 200;
  static constexpr Time clock_tolerance = 300;  // the system counts in ticks of 4 or 10 ms, which may be late

  TcpInfoCalls calls;
  transport::Loop loop{calls};
  std::shared_ptr<transport::Stream> stream;
  std::optional<Time> age;
  Time started = 0, stalled = 0, before_last_write = 0, after_last_write = 0, resumed = 0, read_at = 0;

 private:
  void on_data(std::string_view) override {
    age = stream->unread_age();
    read_at = loop.now();
  }
  void on_closed(transport::CloseReason) override {}

 protected:
  transport::Listener listener{loop, transport::numeric_address("127.0.0.1:0"), false,
                               [this](const transport::PendingConnection& pending) {
                                 stream = transport::Stream::adopt(loop, pending, *this);
                               }};
  EventLoopDriver driver{loop};
};

TEST_F(NodeUnreadAgeTest, AgeCountsFromTheLastByteAlsoOnAConnectionFromTheAcceptQueue) {
  for (const Connects connects : {Connects::before_stall, Connects::during_stall}) {
    const Time measured_age = age_after_stall(connects);
    EXPECT_GE(measured_age, resumed - after_last_write - clock_tolerance) << static_cast<int>(connects);
    EXPECT_LE(measured_age, read_at - before_last_write + clock_tolerance) << static_cast<int>(connects);
  }
}

TEST_F(NodeUnreadAgeTest, AgeIsLimitedToTheStallAndZeroWhereTheSystemDoesNotKnowIt) {
  calls.mode = TcpInfoCalls::Mode::one_hour;
  const Time measured_age = age_after_stall(Connects::before_stall);
  EXPECT_GE(measured_age, resumed - stalled);
  EXPECT_LE(measured_age, read_at - started) << "the loop has polled since then";
  calls.mode = TcpInfoCalls::Mode::unavailable;
  EXPECT_EQ(age_after_stall(Connects::before_stall), 0);
  calls.mode = TcpInfoCalls::Mode::cut_short;
  EXPECT_EQ(age_after_stall(Connects::before_stall), 0);
  EXPECT_GE(calls.queries, 3);
}

}  // namespace
}  // namespace rushhill::node
