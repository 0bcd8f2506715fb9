// Guards against wrong retries when a server closes an idle connection while a request is being sent on it.
// The tests stop the server from reading, let the router send an attempt on the idle connection, and then
// close the connection with the request unread; the last test closes it later. The tests use the line
// protocol and HTTP, over real sockets, or over an emulated network where they depend on exact times.
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/gateway.h"
#include "emulator/network.h"
#include "loopback.h"
#include "transport/server_pool.h"
#include "upstream/line_pool.h"

namespace rushhill::core {
namespace {

constexpr Time second = 10'000;
constexpr Time connect_limit = 3'000;  // tenths of a millisecond
constexpr Time idle = 15 * second;     // the router's own idle timeout; longer than any of these tests
constexpr const char* data = "payload";

enum class Protocol { lines, http };
// How the server closes the connection: completely, so that the operating system resets it because of the
// unread request; only its sending direction, so that the request is never answered; or completely after a
// 408 response, as HTTP servers do.
enum class Close { reset, half_close, timeout_response };

struct NullPeersAndDiscovery final : PeerMessenger, EndpointListSource {
  void send(int, const std::string&) override {}
  void watch(bool) override {}
  void resync() override {}
};

struct RecordingClient final : Client {
  void succeeded(RequestId, events::CloudEvent) override { answers.emplace_back("succeeded"); }
  void rejected(RequestId, Duration) override { answers.emplace_back("rejected"); }
  void failed(RequestId) override { answers.emplace_back("failed"); }
  std::vector<std::string> answers;
};

struct SocketNetwork {
  transport::Loop reactor;
  EventLoopDriver driver{reactor};
};
struct EmulatedNetwork {
  struct EmulatedDriver {
    bool until(const std::function<bool()>& condition, Time max_span = 300'000) const {
      const Time end = network.now() + max_span;
      while (!condition() && network.now() < end) pass(10);
      return condition();
    }
    void pass(Time span) const { network.run_until(network.now() + span); }
    emulator::Network& network;
  };
  emulator::Network reactor{2};
  EmulatedDriver driver{reactor};
};

template <typename NetworkType>
class IdleCloseTest : protected NetworkType, public testing::TestWithParam<std::pair<Protocol, Close>> {
 protected:
  using NetworkType::driver;
  using NetworkType::reactor;

  IdleCloseTest() {
    if (uses_line_protocol()) {
      auto pool = std::make_unique<upstream::LinePool>(
          reactor,
          upstream::LinePoolLimits{
              .connections = 8, .connect_limit = connect_limit, .idle = idle, .reports = true},
          event_log);
      set_observer = [&pool = *pool](UpstreamObserver& to) { pool.report_to(to); };
      upstream_pool = std::move(pool);
    } else {
      auto pool = std::make_unique<transport::ServerPool>(
          reactor,
          transport::ServerPoolLimits{
              .connections = 8, .connect_limit = connect_limit, .idle = idle, .reply = 64 * 1024},
          event_log);
      set_observer = [&pool = *pool](UpstreamObserver& to) { pool.report_to(to); };
      upstream_pool = std::move(pool);
    }
    for (RawServer* server : {&one, &other}) {
      server->on_bytes = [this](RawPeer& peer) { answer(peer); };
    }
  }
  bool uses_line_protocol() const { return GetParam().first == Protocol::lines; }

  // Starts a router with one or two servers and an idle connection to each.
  void start(int servers) {
    gateway = std::make_unique<Gateway>(configuration, 7,
                                        Gateway::Ports{reactor, *upstream_pool, peers_and_discovery,
                                                       peers_and_discovery, event_log, nullptr});
    set_observer(*gateway);
    source = gateway->add_source(1);
    std::vector<EndpointListEntry> list{{{.id = "one"}, one.address()}};
    if (servers == 2) list.push_back({{.id = "other"}, other.address()});
    gateway->endpoints_updated(EndpointListForm::complete, list);
    for (const EndpointListEntry& entry : list) upstream_pool->probe(entry.endpoint.id, one_second);
    ASSERT_TRUE(driver.until([&] { return answers_sent == servers; }));
    driver.pass(50);
  }

  void answer(RawPeer& peer) {
    std::string& seen = peer.seen;
    if (uses_line_protocol()) {
      if (!seen.ends_with("\r\n")) return;
      const bool probe = seen.starts_with("gauges ");
      if (!probe && seen.find(data) == std::string::npos) return;
      const std::size_t from = seen.find(' ') + 1;
      const std::string id = seen.substr(from, seen.find_first_of(" \r", from) - from);
      peer.stream->write(id + (probe ? " PONG - 0\r\n\r\n" : " HIT remark=reused 2\r\nok\r\n"));
    } else {
      const bool probe = seen.starts_with("GET ") && seen.ends_with("\r\n\r\n");
      if (!probe && !seen.ends_with(data)) return;
      peer.stream->write(probe ? "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                               : "HTTP/1.1 200 OK\r\nce-specversion: 1.0\r\nce-id: r\r\nce-source: /s\r\n"
                                 "ce-type: t\r\nrushhill-copy: found\r\ncontent-length: 2\r\n\r\nok");
    }
    requests_read += seen.find(data) == std::string::npos ? 0 : 1;
    seen.clear();
    ++answers_sent;
  }
  // Sends an attempt on an idle connection, and closes every idle connection before its server reads.
  void send_while_idle_connections_close(const std::string& type) {
    std::vector<RawPeer*> idle_ones;
    for (RawServer* server : {&one, &other}) {
      for (const auto& peer : server->peers)
        idle_ones.push_back(peer.get()), peer->stream->set_reading(false);
    }
    const auto id = gateway->accept(
        source, client, {.request_class = type, .function = "f", .time_left = to_duration(2 * second)},
        {.id = "call", .source = "/test", .type = type, .data = data});
    ASSERT_TRUE(id.has_value());
    ASSERT_EQ(gateway->tally().attempts, 1U);
    for (RawPeer* peer : idle_ones) {
      if (GetParam().second == Close::timeout_response)
        peer->stream->write("HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
      if (GetParam().second == Close::half_close) {
        peer->stream->shutdown_write();
      } else {
        peer->stream->close();
      }
    }
    ASSERT_TRUE(driver.until([&] { return attempts_lost() == 1; }));
    attempts_after_loss = gateway->tally().attempts;
  }
  std::uint64_t attempts_lost() const {
    const auto& endings = gateway->tally().outcomes;
    return endings[static_cast<std::size_t>(AttemptOutcome::connection_lost)] +
           endings[static_cast<std::size_t>(AttemptOutcome::unanswered)] +
           endings[static_cast<std::size_t>(AttemptOutcome::error)];
  }
  bool request_ended() {
    return driver.until([&] { return !client.answers.empty() && gateway->open_requests() == 0; });
  }

  RoutingConfiguration configuration = [] {
    RoutingConfiguration d;
    d.tick = to_duration(100);
    d.request_classes = {{.name = "idempotent",
                          .latency_objective = to_duration(second),
                          .deadline_span = to_duration(2 * second)},
                         {.name = "at-most-once",
                          .latency_objective = to_duration(second),
                          .deadline_span = to_duration(2 * second),
                          .retry_safety = RetrySafety::at_most_once},
                         {.name = "keyed",
                          .latency_objective = to_duration(second),
                          .deadline_span = to_duration(2 * second),
                          .retry_safety = RetrySafety::keyed,
                          .deduplication_span = to_duration(5 * second)}};
    d.retries.attempt_limit = 4;
    d.open_request_limit = 100;
    d.copies.state_is_reported = true;
    d.copies.keep_alive = to_duration(10 * second);
    d.slow_start.budget_multiple = 2;
    d.slow_start.budget_span = to_duration(second);
    d.slow_start.initial_capacity = 0.2;
    d.slow_start.warm_up_span = to_duration(10 * second);
    d.connect_timeout = to_duration(connect_limit);
    return d;
  }();
  NullEventLog event_log;
  NullPeersAndDiscovery peers_and_discovery;
  RecordingClient client;
  RawServer one{reactor}, other{reactor};
  std::unique_ptr<UpstreamTransport> upstream_pool;
  std::function<void(UpstreamObserver&)> set_observer;
  std::unique_ptr<Gateway> gateway;
  admission::SourceQuotas::Source source = 0;
  int answers_sent = 0, requests_read = 0;  // by the servers; probes count only as answers
  std::uint64_t attempts_after_loss = 0;  // attempts sent by the time the loss of the first one was reported
};

using IdleCloseSocketTest = IdleCloseTest<SocketNetwork>;
using IdleCloseEmulatedTest = IdleCloseTest<EmulatedNetwork>;
const auto close_cases =
    testing::Values(std::pair(Protocol::lines, Close::reset), std::pair(Protocol::lines, Close::half_close),
                    std::pair(Protocol::http, Close::reset), std::pair(Protocol::http, Close::half_close),
                    std::pair(Protocol::http, Close::timeout_response));
INSTANTIATE_TEST_SUITE_P(Closes, IdleCloseSocketTest, close_cases);
INSTANTIATE_TEST_SUITE_P(Closes, IdleCloseEmulatedTest, close_cases);

TEST_P(IdleCloseSocketTest, AnIdempotentRequestIsRetriedAtOnceAndSucceeds) {
  start(2);
  send_while_idle_connections_close("idempotent");
  EXPECT_EQ(attempts_after_loss, 2U);
  ASSERT_TRUE(request_ended());
  EXPECT_EQ(client.answers, std::vector<std::string>{"succeeded"});
  EXPECT_EQ(requests_read, 1);
}

TEST_P(IdleCloseSocketTest, AnAtMostOnceRequestFailsWithoutARetry) {
  start(2);
  send_while_idle_connections_close("at-most-once");
  ASSERT_TRUE(request_ended());
  driver.pass(3'000);
  EXPECT_EQ(client.answers, std::vector<std::string>{"failed"}) << "it may have run, so it is not rejected";
  EXPECT_EQ(gateway->tally().attempts, 1U);
  EXPECT_EQ(requests_read, 0);
}

TEST_P(IdleCloseSocketTest, AKeyedRequestIsRetriedAtOnceAndSucceeds) {
  start(2);
  send_while_idle_connections_close("keyed");
  EXPECT_EQ(attempts_after_loss, 2U);
  ASSERT_TRUE(request_ended());
  EXPECT_EQ(client.answers, std::vector<std::string>{"succeeded"});
  EXPECT_EQ(requests_read, 1);
}

// If there is no other server, the retry goes to the same one on a new connection. The server has not sent
// anything for more than a second, as with any connection that is closed as idle. The router must not
// conclude that it has restarted: it would treat the server as cold, and slow start would leave no capacity
// for the retry.
TEST_P(IdleCloseEmulatedTest, WithOneServerTheRetryUsesANewConnectionToIt) {
  start(1);
  driver.pass(15'000);
  send_while_idle_connections_close("idempotent");
  EXPECT_EQ(attempts_after_loss, 2U);
  ASSERT_TRUE(request_ended());
  EXPECT_EQ(client.answers, std::vector<std::string>{"succeeded"});
  EXPECT_EQ(one.peers.size(), 2U);
}

TEST_P(IdleCloseEmulatedTest, WithOneServerAnAtMostOnceRequestIsNotRetried) {
  start(1);
  driver.pass(15'000);
  send_while_idle_connections_close("at-most-once");
  ASSERT_TRUE(request_ended());
  EXPECT_EQ(client.answers, std::vector<std::string>{"failed"});
  EXPECT_EQ(gateway->tally().attempts, 1U);
  EXPECT_EQ(requests_read, 0);
}

// A close long after the request was sent, or on a recently used connection, may mean that the server has
// stopped. Here the server closes 60 ms after the request was sent.
TEST_P(IdleCloseEmulatedTest, ALaterCloseCountsAsALostConnection) {
  start(1);
  driver.pass(15'000);
  one.on_bytes = nullptr;
  ASSERT_TRUE(gateway->accept(
      source, client,
      {.request_class = "at-most-once", .function = "f", .time_left = to_duration(2 * second)},
      {.id = "call", .source = "/test", .type = "at-most-once", .data = data}));
  driver.pass(600);
  one.peers[0]->stream->close();
  ASSERT_TRUE(request_ended());
  EXPECT_EQ(gateway->tally().outcomes[static_cast<std::size_t>(AttemptOutcome::connection_lost)], 1U);
}

}  // namespace
}  // namespace rushhill::core
