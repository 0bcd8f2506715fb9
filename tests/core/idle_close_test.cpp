// A server closes an idle connection in the very moment in which an attempt leaves on it: the request stands
// in the server's kernel unread as the close comes, so that the router saw the connection sound when it
// wrote. Over real sockets, with the line protocol and with HTTP; on emulated time where a span must be kept.
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
constexpr Time idle = 15 * second;     // far longer than any of these stories
constexpr const char* data = "payload";

enum class Protocol { lines, http };
// How the server closes: with the request unread (the system answers it by a reset); its side only, so that
// the request goes nowhere; HTTP servers also say first that nothing came in time.
enum class Close { reset, end, timeout_said };

struct Nobody final : PeerMessenger, EndpointListSource {
  void send(int, const std::string&) override {}
  void watch(bool) override {}
  void resync() override {}
};

struct Answers final : Client {
  void succeeded(RequestId, events::CloudEvent) override { all.emplace_back("succeeded"); }
  void rejected(RequestId, Duration) override { all.emplace_back("rejected"); }
  void failed(RequestId) override { all.emplace_back("failed"); }
  std::vector<std::string> all;
};

struct Sockets {
  transport::Loop reactor;
  Pump pump{reactor};
};
struct Emulated {
  struct Moves {
    bool until(const std::function<bool()>& holds, Time most = 300'000) const {
      const Time end = network.now() + most;
      while (!holds() && network.now() < end) pass(10);
      return holds();
    }
    void pass(Time span) const { network.run_until(network.now() + span); }
    emulator::Network& network;
  };
  emulator::Network reactor{2};
  Moves pump{reactor};
};

template <typename World>
class IdleClose : protected World, public testing::TestWithParam<std::pair<Protocol, Close>> {
 protected:
  using World::pump;
  using World::reactor;

  IdleClose() {
    if (lines()) {
      auto pool = std::make_unique<upstream::LinePool>(
          reactor,
          upstream::LineBounds{
              .connections = 8, .connect_limit = connect_limit, .idle = idle, .reports = true},
          silent);
      report = [&pool = *pool](UpstreamObserver& to) { pool.report_to(to); };
      carrier = std::move(pool);
    } else {
      auto pool = std::make_unique<transport::ServerPool>(
          reactor,
          transport::PoolBounds{
              .connections = 8, .connect_limit = connect_limit, .idle = idle, .reply = 64 * 1024},
          silent);
      report = [&pool = *pool](UpstreamObserver& to) { pool.report_to(to); };
      carrier = std::move(pool);
    }
    for (RawServer* server : {&one, &other}) {
      server->on_bytes = [this](RawPeer& peer) { answer(peer); };
    }
  }
  bool lines() const { return GetParam().first == Protocol::lines; }

  // A router that knows one server or two and has an idle connection to each.
  void start(int servers) {
    gateway = std::make_unique<Gateway>(deployment, 7,
                                        Gateway::Ports{reactor, *carrier, nobody, nobody, silent, nullptr});
    report(*gateway);
    source = gateway->add_source(1);
    std::vector<EndpointListEntry> list{{{.id = "one"}, one.address()}};
    if (servers == 2) list.push_back({{.id = "other"}, other.address()});
    gateway->endpoints_updated(EndpointListForm::complete, list);
    for (const EndpointListEntry& entry : list) carrier->probe(entry.endpoint.id, one_second);
    ASSERT_TRUE(pump.until([&] { return answered == servers; }));
    pump.pass(50);
  }

  void answer(RawPeer& peer) {
    std::string& seen = peer.seen;
    if (lines()) {
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
    read += seen.find(data) == std::string::npos ? 0 : 1;
    seen.clear();
    ++answered;
  }
  // The attempt leaves on an idle connection, and every idle one is closed before its server reads.
  void cross(const std::string& type) {
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
      if (GetParam().second == Close::timeout_said)
        peer->stream->write("HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
      if (GetParam().second == Close::end) {
        peer->stream->shutdown_write();
      } else {
        peer->stream->close();
      }
    }
    ASSERT_TRUE(pump.until([&] { return attempts_lost() == 1; }));
    after_loss = gateway->tally().attempts;
  }
  std::uint64_t attempts_lost() const {
    const auto& endings = gateway->tally().outcomes;
    return endings[static_cast<std::size_t>(AttemptOutcome::connection_lost)] +
           endings[static_cast<std::size_t>(AttemptOutcome::unanswered)] +
           endings[static_cast<std::size_t>(AttemptOutcome::error)];
  }
  bool ended() {
    return pump.until([&] { return !client.all.empty() && gateway->open_requests() == 0; });
  }

  RoutingConfiguration deployment = [] {
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
  Silent silent;
  Nobody nobody;
  Answers client;
  RawServer one{reactor}, other{reactor};
  std::unique_ptr<UpstreamTransport> carrier;
  std::function<void(UpstreamObserver&)> report;
  std::unique_ptr<Gateway> gateway;
  admission::Shares::Source source = 0;
  int answered = 0, read = 0;    // by the servers: all, and requests alone
  std::uint64_t after_loss = 0;  // attempts begun by the millisecond in which the first one's loss was told
};

using IdleCloseStory = IdleClose<Sockets>;
using IdleCloseSpan = IdleClose<Emulated>;
const auto closes =
    testing::Values(std::pair(Protocol::lines, Close::reset), std::pair(Protocol::lines, Close::end),
                    std::pair(Protocol::http, Close::reset), std::pair(Protocol::http, Close::end),
                    std::pair(Protocol::http, Close::timeout_said));
INSTANTIATE_TEST_SUITE_P(Closes, IdleCloseStory, closes);
INSTANTIATE_TEST_SUITE_P(Closes, IdleCloseSpan, closes);

TEST_P(IdleCloseStory, AnIdempotentRequestGetsItsSecondAttemptAtOnceAndSucceeds) {
  start(2);
  cross("idempotent");
  EXPECT_EQ(after_loss, 2U);
  ASSERT_TRUE(ended());
  EXPECT_EQ(client.all, std::vector<std::string>{"succeeded"});
  EXPECT_EQ(read, 1);
}

TEST_P(IdleCloseStory, AnAtMostOnceRequestFailsAtOnceAndIsNeverSentAgain) {
  start(2);
  cross("at-most-once");
  ASSERT_TRUE(ended());
  pump.pass(3'000);
  EXPECT_EQ(client.all, std::vector<std::string>{"failed"}) << "it may have run, so it is not rejected";
  EXPECT_EQ(gateway->tally().attempts, 1U);
  EXPECT_EQ(read, 0);
}

TEST_P(IdleCloseStory, AKeyedRequestIsSentAgainUnderItsKey) {
  start(2);
  cross("keyed");
  EXPECT_EQ(after_loss, 2U);
  ASSERT_TRUE(ended());
  EXPECT_EQ(client.all, std::vector<std::string>{"succeeded"});
  EXPECT_EQ(read, 1);
}

// Where there is no other server the second attempt goes to the same one, on a new connection. The server has
// not been heard for longer than a second, as with any connection that is closed as idle; it is not taken for
// dead, and so not for cold, where no event would have room.
TEST_P(IdleCloseSpan, WithOneServerTheSecondAttemptGoesThereAtOnceOnANewConnection) {
  start(1);
  pump.pass(15'000);
  cross("idempotent");
  EXPECT_EQ(after_loss, 2U);
  ASSERT_TRUE(ended());
  EXPECT_EQ(client.all, std::vector<std::string>{"succeeded"});
  EXPECT_EQ(one.peers.size(), 2U);
}

TEST_P(IdleCloseSpan, AnAtMostOnceRequestIsNotSentAgainThereEither) {
  start(1);
  pump.pass(15'000);
  cross("at-most-once");
  ASSERT_TRUE(ended());
  EXPECT_EQ(client.all, std::vector<std::string>{"failed"});
  EXPECT_EQ(gateway->tally().attempts, 1U);
  EXPECT_EQ(read, 0);
}

// What ends a good while after the request left, or a connection just used, may be the server's death.
TEST_P(IdleCloseSpan, AConnectionThatIsLostLaterIsALostConnection) {
  start(1);
  pump.pass(15'000);
  one.on_bytes = nullptr;
  ASSERT_TRUE(gateway->accept(
      source, client,
      {.request_class = "at-most-once", .function = "f", .time_left = to_duration(2 * second)},
      {.id = "call", .source = "/test", .type = "at-most-once", .data = data}));
  pump.pass(600);
  one.peers[0]->stream->close();
  ASSERT_TRUE(ended());
  EXPECT_EQ(gateway->tally().outcomes[static_cast<std::size_t>(AttemptOutcome::connection_lost)], 1U);
}

}  // namespace
}  // namespace rushhill::core
