// Checks that whatever an endpoint does at any byte, each attempt ends exactly once, and with an outcome that
// is certain. A server on a real socket cuts, delays, refuses or garbles its responses.
#include "transport/server_pool.h"

#include <Poco/Net/ServerSocket.h>

#include "loopback.h"
#include "transport/loop.h"

namespace rushhill::transport {
namespace {

const std::string answer =
    "HTTP/1.1 200 OK\r\nce-specversion: 1.0\r\nce-id: r\r\nce-source: /s\r\nce-type: t\r\n"
    "rushhill-copy: found\r\ncontent-length: 4\r\n\r\ndata";

struct RecordingObserver final : core::UpstreamObserver {
  bool may_start_attempt(RequestId request) const override { return request != held_back; }
  void attempt_ended(RequestId request, int, core::AttemptResult result) override {
    requests.push_back(request);
    attempts.push_back(std::move(result));
  }
  void probe_ended(const EndpointId&, AttemptOutcome outcome, const LoadReport& load_report) override {
    probes.push_back(outcome);
    report = load_report;
  }
  void prewarm_ended(const EndpointId&, const FunctionId&, AttemptOutcome outcome,
                     int loaded_copies) override {
    prewarms.push_back(outcome);
    copies = loaded_copies;
  }
  std::vector<RequestId> requests;
  RequestId held_back = 0;  // whose attempts may not start
  std::vector<core::AttemptResult> attempts;
  std::vector<AttemptOutcome> probes, prewarms;
  LoadReport report;
  int copies = 0;
};

class ServerPoolTest : public testing::Test {
 protected:
  ServerPoolTest() {
    pool.report_to(observer);
    pool.set_address("a", server.address());
  }
  void send_attempt(RequestId request = 1) {
    message.id = std::to_string(request);
    pool.send({request, 0, server_id, one_second, message});
  }
  bool wait_for_attempts(std::size_t count) {
    return pump.until([&] { return observer.attempts.size() >= count; });
  }
  AttemptOutcome last_outcome() const { return observer.attempts.back().outcome; }

  Loop reactor;
  EventLoopDriver pump{reactor};
  NullEventLog event_log;
  RawServer server{reactor};
  RecordingObserver observer;
  ServerPool pool{
      reactor, {.connections = 4, .connect_limit = 3'000, .idle = 100'000, .reply = 64 * 1024}, event_log};
  const EndpointId server_id = "a";
  events::CloudEvent message{.id = "1", .source = "/c", .type = "t", .data = "hello"};
};

bool is_complete_request(const std::string& seen) { return seen.ends_with("hello"); }

TEST_F(ServerPoolTest, ResponseCutAtAnyByteEndsAsConnectionLost) {
  for (std::size_t cut = 0; cut <= answer.size(); cut += cut < 60 ? 7 : 1) {
    server.on_bytes = [&](RawPeer& peer) {
      if (!is_complete_request(peer.seen)) return;
      peer.stream->write(answer.substr(0, cut));
      peer.stream->shutdown_write();
    };
    const std::size_t before = observer.attempts.size();
    send_attempt();
    ASSERT_TRUE(wait_for_attempts(before + 1)) << cut;
    EXPECT_EQ(last_outcome(),
              cut == answer.size() ? AttemptOutcome::succeeded : AttemptOutcome::connection_lost)
        << cut;
  }
  const std::size_t attempts = observer.attempts.size();
  pump.pass(500);
  EXPECT_EQ(observer.attempts.size(), attempts);
}

// Guards against a further attempt that leaves after the servers have forgotten its key.
TEST_F(ServerPoolTest, AttemptThatHasWaitedTooLongIsNotSent) {
  observer.held_back = 1;
  pool.send({1, 0, server_id, one_second, message, to_timestamp(reactor.now() + 200)});
  ASSERT_TRUE(wait_for_attempts(1));
  EXPECT_EQ(last_outcome(), AttemptOutcome::not_sent);
  pump.pass(200);
  for (const auto& peer : server.peers) EXPECT_EQ(peer->seen, "");
}

// Guards against attempts for a client whose leaving is not known yet, because what it sent waits to be read.
TEST_F(ServerPoolTest, AttemptThatMayNotStartWaits) {
  observer.held_back = 1;
  send_attempt(1);
  pump.pass(500);
  ASSERT_EQ(server.peers.size(), 1U);
  EXPECT_EQ(server.peers[0]->seen, "");
  observer.held_back = 0;
  EXPECT_TRUE(pump.until([&] { return is_complete_request(server.peers[0]->seen); }));
}

TEST_F(ServerPoolTest, ExchangesSucceedWithOneBytePerReadAndWrite) {
  reactor.max_io_bytes = 1;
  server.on_bytes = [&](RawPeer& peer) {
    if (is_complete_request(peer.seen)) peer.seen.clear(), peer.stream->write(answer);
  };
  for (RequestId request = 1; request <= 3; ++request) {
    send_attempt(request);
    ASSERT_TRUE(wait_for_attempts(static_cast<std::size_t>(request)));
    EXPECT_EQ(last_outcome(), AttemptOutcome::succeeded);
    EXPECT_EQ(observer.attempts.back().reply.data, "data");
    EXPECT_EQ(observer.attempts.back().copy_state, CopyState::loaded);
  }
  EXPECT_EQ(server.peers.size(), 1U);
}

TEST_F(ServerPoolTest, IdleConnectionClosedAfterTheRequestEndsAsConnectionLost) {
  server.on_bytes = [&](RawPeer& peer) {
    if (!is_complete_request(peer.seen)) return;
    peer.seen.clear();
    if (observer.attempts.empty()) return peer.stream->write(answer);
    peer.stream->close();
  };
  send_attempt();
  ASSERT_TRUE(wait_for_attempts(1));
  send_attempt(2);
  ASSERT_TRUE(wait_for_attempts(2));
  EXPECT_EQ(last_outcome(), AttemptOutcome::connection_lost);
}

TEST_F(ServerPoolTest, DoesNotReuseAnIdleConnectionThatThePeerClosed) {
  server.on_bytes = [&](RawPeer& peer) {
    if (is_complete_request(peer.seen)) peer.seen.clear(), peer.stream->write(answer);
  };
  send_attempt();
  ASSERT_TRUE(wait_for_attempts(1));
  server.peers.front()->stream->close();
  send_attempt(2);  // the end of the idle connection can be read, but the loop has not read it yet
  ASSERT_TRUE(wait_for_attempts(2));
  EXPECT_EQ(last_outcome(), AttemptOutcome::succeeded);
  EXPECT_EQ(server.peers.size(), 2U);
}

TEST_F(ServerPoolTest, CancelledAttemptClosesItsConnectionAndReportsNothing) {
  RawPeer* first = nullptr;
  server.on_bytes = [&](RawPeer& peer) {
    if (!is_complete_request(peer.seen)) return;
    if (first == nullptr) first = &peer;
    if (first != &peer) peer.stream->write(answer);
  };
  send_attempt();
  ASSERT_TRUE(pump.until([&] { return first != nullptr; }));
  pool.cancel(1, 0);
  send_attempt(2);
  ASSERT_TRUE(wait_for_attempts(1));
  EXPECT_EQ(observer.requests, std::vector<RequestId>{2});
  ASSERT_TRUE(pump.until([&] { return first->ended; }));
  pump.pass(300);
  EXPECT_EQ(observer.attempts.size(), 1U);
}

TEST_F(ServerPoolTest, RefusedConnectionEndsAsConnectFailed) {
  pool.set_address("a", "127.0.0.1:1");
  send_attempt();
  ASSERT_TRUE(wait_for_attempts(1));
  EXPECT_EQ(last_outcome(), AttemptOutcome::connect_failed);
}

TEST_F(ServerPoolTest, UnansweredHandshakeEndsAfterTheConnectTimeout) {
  // The listener's queue holds one connection. Once it is full, the system leaves further handshakes
  // unanswered.
  Poco::Net::ServerSocket unresponsive;
  unresponsive.bind(numeric_address("127.0.0.1:0"));
  unresponsive.listen(0);
  std::vector<std::unique_ptr<RawPeer>> fillers;
  for (int i = 0; i < 3; ++i) fillers.push_back(std::make_unique<RawPeer>(reactor, unresponsive.address()));
  pump.pass(200);
  pool.set_address("a", unresponsive.address().toString());
  send_attempt();
  ASSERT_TRUE(wait_for_attempts(1));
  EXPECT_EQ(last_outcome(), AttemptOutcome::connect_failed);
}

TEST_F(ServerPoolTest, FailsAtOnceBeyondTheConnectionLimitOfAnEndpoint) {
  server.on_bytes = [](RawPeer&) {};
  for (RequestId request = 1; request <= 5; ++request) send_attempt(request);
  ASSERT_TRUE(wait_for_attempts(1));
  EXPECT_EQ(observer.requests, std::vector<RequestId>{5});
  EXPECT_EQ(last_outcome(), AttemptOutcome::connect_failed);
  EXPECT_EQ(pool.connections(), 4U);
}

TEST_F(ServerPoolTest, TotalLimitClosesTheLongestIdleConnectionOrEndsAsNotSent) {
  RawServer other(reactor);
  ServerPool limited(
      reactor, {.connections = 4, .total = 2, .connect_limit = 3'000, .idle = 100'000, .reply = 64 * 1024},
      event_log);
  limited.report_to(observer);
  limited.set_address("a", server.address());
  limited.set_address("b", other.address());
  server.on_bytes = [](RawPeer& peer) {
    if (is_complete_request(peer.seen)) peer.stream->write(answer);
  };
  limited.send({1, 0, "a", one_second, message});
  ASSERT_TRUE(wait_for_attempts(1));
  for (RequestId request = 2; request <= 4; ++request) limited.send({request, 0, "b", one_second, message});
  ASSERT_TRUE(wait_for_attempts(2));
  EXPECT_EQ(observer.requests.back(), 4);
  EXPECT_EQ(last_outcome(), AttemptOutcome::not_sent) << "the total limit says nothing about the server";
  EXPECT_EQ(limited.connections(), 2U);
  ASSERT_TRUE(pump.until([&] { return server.peers[0]->ended && other.peers.size() == 2; }));
}

TEST_F(ServerPoolTest, DistinguishesRejectionsAndTreatsDoubtAsError) {
  const std::vector<std::pair<std::string, AttemptOutcome>> cases{
      {"503 X\r\nrushhill-never-ran: full", AttemptOutcome::overloaded},
      {"503 X\r\nrushhill-never-ran: draining", AttemptOutcome::overloaded},
      {"404 X\r\nrushhill-never-ran: not-stored", AttemptOutcome::function_missing},
      {"503 X\r\nrushhill-never-ran: load-failed", AttemptOutcome::function_missing},
      {"421 X\r\nrushhill-never-ran: misdirected", AttemptOutcome::connect_failed},
      {"503 X\r\nrushhill-never-ran: who knows", AttemptOutcome::error},
      {"503 X", AttemptOutcome::error},
      {"500 X", AttemptOutcome::error},
      {"302 X\r\nlocation: /", AttemptOutcome::error},
      {"200 X\r\nrushhill-never-ran: full",
       AttemptOutcome::error}};  // not a CloudEvent, and a 2xx status proves nothing
  for (const auto& [head, outcome] : cases) {
    server.on_bytes = [&](RawPeer& peer) {
      if (is_complete_request(peer.seen))
        peer.seen.clear(), peer.stream->write("HTTP/1.1 " + head + "\r\ncontent-length: 0\r\n\r\n");
    };
    const std::size_t before = observer.attempts.size();
    send_attempt();
    ASSERT_TRUE(wait_for_attempts(before + 1));
    EXPECT_EQ(last_outcome(), outcome) << head;
  }
}

TEST_F(ServerPoolTest, MalformedAndOversizedResponsesAreErrorsAndCloseTheConnection) {
  for (const std::string& bytes :
       {std::string("\x16\x03\x01 no http\r\n\r\n"),
        "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n" + std::string(100'000, 'x'),
        "HTTP/1.1 200 OK\r\nx: " + std::string(80'000, 'h') + "\r\n\r\n"}) {
    server.on_bytes = [&](RawPeer& peer) {
      if (is_complete_request(peer.seen)) peer.seen.clear(), peer.stream->write(bytes);
    };
    const std::size_t before = observer.attempts.size();
    send_attempt();
    ASSERT_TRUE(wait_for_attempts(before + 1));
    EXPECT_EQ(last_outcome(), AttemptOutcome::error);
    EXPECT_EQ(pool.connections(), 0U) << bytes.substr(0, 20);
  }
}

TEST_F(ServerPoolTest, ExtraBytesAfterAResponseCloseTheConnection) {
  server.on_bytes = [&](RawPeer& peer) {
    if (is_complete_request(peer.seen)) peer.seen.clear(), peer.stream->write(answer + answer);
  };
  send_attempt();
  ASSERT_TRUE(wait_for_attempts(1));
  EXPECT_EQ(last_outcome(), AttemptOutcome::succeeded);
  EXPECT_EQ(pool.connections(), 0U);
}

TEST_F(ServerPoolTest, UsesANewAddressAndClosesConnectionsToTheOldOne) {
  RawServer other(reactor);
  const auto answer_all = [&](RawPeer& peer) {
    if (is_complete_request(peer.seen)) peer.seen.clear(), peer.stream->write(answer);
  };
  server.on_bytes = other.on_bytes = answer_all;
  send_attempt();
  ASSERT_TRUE(wait_for_attempts(1));
  pool.set_address("a", other.address());
  send_attempt(2);
  ASSERT_TRUE(wait_for_attempts(2));
  EXPECT_EQ(other.peers.size(), 1U);
  EXPECT_TRUE(pump.until([&] { return server.peers.front()->ended; }));
}

TEST_F(ServerPoolTest, EndpointWithoutAddressIsNotReached) {
  pool.set_address("a", "");
  send_attempt();
  ASSERT_TRUE(wait_for_attempts(1));
  EXPECT_EQ(last_outcome(), AttemptOutcome::connect_failed);
  EXPECT_TRUE(server.peers.empty());
}

TEST_F(ServerPoolTest, UnansweredProbesAndPrewarmsEndOnce) {
  pool.probe("a", Duration{500});
  pool.prewarm("a", "ward/1", 2, Duration{500});
  ASSERT_TRUE(pump.until([&] { return !observer.probes.empty() && !observer.prewarms.empty(); }));
  EXPECT_EQ(observer.probes, std::vector<AttemptOutcome>{AttemptOutcome::unanswered});
  EXPECT_EQ(observer.prewarms, std::vector<AttemptOutcome>{AttemptOutcome::unanswered});
  bool function_in_path = false;
  for (const auto& peer : server.peers)
    function_in_path |= peer->seen.find("/v2/repository/models/ward%2F1/load") != std::string::npos;
  EXPECT_TRUE(function_in_path);
}

TEST_F(ServerPoolTest, SendsEvictionsWithoutReportingTheirEnd) {
  server.on_bytes = [&](RawPeer& peer) {
    peer.stream->write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
  };
  pool.evict("a", "f");
  ASSERT_TRUE(pump.until([&] { return !server.peers.empty() && !server.peers.front()->seen.empty(); }));
  EXPECT_TRUE(server.peers.front()->seen.starts_with("POST /v2/repository/models/f/unload "));
  // The connection is idle once the response has arrived.
  EXPECT_TRUE(pump.until([&] {
    pool.close_idle_connections("a");
    return pool.connections() == 0;
  }));
  EXPECT_TRUE(observer.prewarms.empty() && observer.attempts.empty());
}

TEST_F(ServerPoolTest, PrewarmOfZeroCopiesQueriesTheIndex) {
  server.on_bytes = [&](RawPeer& peer) {
    peer.stream->write("HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\n[{\"name\":\"f\",\"copies\":2}]");
  };
  pool.prewarm("a", "f", 0, Duration{50'000});
  ASSERT_TRUE(pump.until([&] { return !observer.prewarms.empty(); }));
  EXPECT_EQ(observer.copies, 2);
  EXPECT_TRUE(server.peers.front()->seen.starts_with("POST /v2/repository/index "));
}

TEST_F(ServerPoolTest, PrewarmReportsTheLoadedCopies) {
  server.on_bytes = [&](RawPeer& peer) {
    peer.stream->write("HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"copies\":3}");
  };
  pool.prewarm("a", "f", 2, Duration{50'000});
  ASSERT_TRUE(pump.until([&] { return !observer.prewarms.empty(); }));
  EXPECT_EQ(observer.prewarms, std::vector<AttemptOutcome>{AttemptOutcome::succeeded});
  EXPECT_EQ(observer.copies, 3);
}

}  // namespace
}  // namespace rushhill::transport
