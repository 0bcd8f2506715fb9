// LinePool against a raw server on loopback. The server cuts, garbles, repeats or delays its answers and
// resets or closes connections. Guards against attempts that end twice, never, or with an outcome that claims
// more than is known, such as `not_sent` for an attempt that may have run.
#include "upstream/line_pool.h"

#include "loopback.h"
#include "transport/listener.h"

namespace rushhill::upstream {
namespace {

struct RecordingObserver final : core::UpstreamObserver {
  bool may_start_attempt(RequestId request) const override { return request != held_back; }
  void attempt_ended(RequestId request, int attempt_number, core::AttemptResult result) override {
    attempts.push_back({request, attempt_number, result.outcome, result.reply.data});
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
  struct EndedAttempt {
    RequestId request;
    int attempt_number;
    AttemptOutcome outcome;
    std::string data;
  };
  std::vector<EndedAttempt> attempts;
  RequestId held_back = 0;  // whose attempts may not start
  std::vector<AttemptOutcome> probes, prewarms;
  LoadReport report;
  int copies = 0;
};

class LinePoolTest : public testing::Test {
 protected:
  LinePoolTest() {
    pool.report_to(observer);
    pool.set_address("a", server.address());
  }
  void send_attempt(RequestId request, int attempt_number = 0) {
    events::CloudEvent message{.id = id(request), .type = "t", .data = "in"};
    message.others["function"] = "f";
    const EndpointId to = "a";
    pool.send({request, attempt_number, to, one_second, message});
  }
  static std::string id(RequestId request) { return "id" + std::to_string(request); }
  static std::string hit(RequestId request, const std::string& body) {
    return id(request) + " HIT remark=reused " + std::to_string(body.size()) + "\r\n" + body + "\r\n";
  }
  bool wait_for_attempts(std::size_t count) {
    return driver.until([&] { return observer.attempts.size() >= count; });
  }
  bool has_received_anywhere(const std::string& text) const {
    return std::ranges::any_of(server.peers,
                               [&](const auto& peer) { return peer->seen.find(text) != std::string::npos; });
  }
  bool server_received_anywhere(const std::string& text) {
    return driver.until([&] { return has_received_anywhere(text); });
  }
  bool server_received(std::size_t peer, const std::string& text) {
    return driver.until([&] {
      return server.peers.size() > peer && server.peers[peer]->seen.find(text) != std::string::npos;
    });
  }

  transport::Loop reactor;
  EventLoopDriver driver{reactor};
  NullEventLog event_log;
  RawServer server{reactor};
  RecordingObserver observer;
  LinePool pool{reactor,
                {.requests_per_connection = 2,
                 .connections = 3,
                 .connect_limit = 3'000,
                 .idle = 100'000,
                 .reports = true},
                event_log};
};

TEST_F(LinePoolTest, AnswerCutAtAnyByteEndsAsConnectionLost) {
  const std::string answer = hit(1, "data");
  for (std::size_t cut = 0; cut <= answer.size(); ++cut) {
    server.on_bytes = [&](RawPeer& peer) {
      if (peer.seen.find("in\r\n") == std::string::npos) return;
      peer.seen.clear();
      peer.stream->write(answer.substr(0, cut));
      if (cut < answer.size()) peer.stream->shutdown_write();
    };
    const std::size_t before = observer.attempts.size();
    send_attempt(1, static_cast<int>(cut));
    ASSERT_TRUE(wait_for_attempts(before + 1)) << cut;
    EXPECT_EQ(observer.attempts.back().outcome,
              cut == answer.size() ? AttemptOutcome::succeeded : AttemptOutcome::connection_lost)
        << cut;
  }
}

TEST_F(LinePoolTest, MalformedAnswerEndsAsErrorWithoutData) {
  for (const char* bytes :
       {"id1 HIT - \r\n", "id1 HIT - 3000000000\r\n", "id1 HIT - 2\r\nabcd\r\n", "\x01\x02\r\n"}) {
    server.on_bytes = [&](RawPeer& peer) { peer.stream->write(bytes); };
    const std::size_t before = observer.attempts.size();
    send_attempt(1, static_cast<int>(before));
    ASSERT_TRUE(wait_for_attempts(before + 1)) << bytes;
    EXPECT_EQ(observer.attempts.back().outcome, AttemptOutcome::error) << bytes;
    EXPECT_EQ(observer.attempts.back().data, "");
    EXPECT_EQ(pool.connections(), 0U);
  }
}

TEST_F(LinePoolTest, IgnoresAnswersWithUnknownOrRepeatedIds) {
  server.on_bytes = [&](RawPeer& peer) {
    peer.stream->write("stranger HIT - 1\r\nx\r\n" + hit(1, "data") + hit(1, "again"));
  };
  send_attempt(1);
  ASSERT_TRUE(wait_for_attempts(1));
  driver.pass(300);
  ASSERT_EQ(observer.attempts.size(), 1U);
  EXPECT_EQ(observer.attempts[0].data, "data");
}

TEST_F(LinePoolTest, SendsAnIdOnlyOnceOnOneConnection) {
  send_attempt(1);
  ASSERT_TRUE(server_received(0, "in\r\n"));
  server.peers[0]->stream->write("id1 SHED - 0\r\n\r\n");
  ASSERT_TRUE(wait_for_attempts(1));
  send_attempt(1, 1);
  ASSERT_TRUE(server_received(1, "in\r\n"));
  server.peers[0]->stream->write(hit(1, "a late copy"));
  driver.pass(300);
  EXPECT_EQ(observer.attempts.size(), 1U);
  server.peers[1]->stream->write(hit(1, "its own"));
  ASSERT_TRUE(wait_for_attempts(2));
  EXPECT_EQ(observer.attempts[1].data, "its own");
}

TEST_F(LinePoolTest, CancellingTheOnlyAttemptClosesItsConnection) {
  send_attempt(1);
  ASSERT_TRUE(server_received(0, "in\r\n"));
  pool.cancel(1, 0);
  EXPECT_EQ(pool.connections(), 0U)
      << "an attempt alone on its connection is cancelled by closing the connection";
  send_attempt(2);
  ASSERT_TRUE(server_received(1, "in\r\n"));
  EXPECT_EQ(pool.connections(), 1U);
}

TEST_F(LinePoolTest, AttemptsShareConnectionsAtTheLimitAndAMalformedAnswerFailsBoth) {
  for (RequestId request = 1; request <= 4; ++request) send_attempt(request);
  ASSERT_TRUE(driver.until([&] { return server.peers.size() == 3; }));
  EXPECT_EQ(pool.connections(), 3U);
  RawPeer* shared_peer = nullptr;
  ASSERT_TRUE(driver.until([&] {
    for (const auto& peer : server.peers) {
      if (peer->seen.find("id1 ") != std::string::npos && peer->seen.find("id4 ") != std::string::npos)
        shared_peer = peer.get();
    }
    return shared_peer != nullptr;
  }));
  shared_peer->stream->write("id4 HIT nonsense 0\r\n");
  ASSERT_TRUE(wait_for_attempts(2));
  for (const RecordingObserver::EndedAttempt& attempt : observer.attempts)
    EXPECT_EQ(attempt.outcome, attempt.request == 4 ? AttemptOutcome::error : AttemptOutcome::connection_lost)
        << attempt.request;
}

TEST_F(LinePoolTest, AttemptIsNotSentWhenAllConnectionsAreFull) {
  for (RequestId request = 1; request <= 7; ++request) send_attempt(request);
  ASSERT_TRUE(wait_for_attempts(1));
  EXPECT_EQ(observer.attempts[0].request, 7);
  EXPECT_EQ(observer.attempts[0].outcome, AttemptOutcome::not_sent)
      << "a lack of connections is not a failure of the server";
}

// Guards against attempts for a client whose leaving is not known yet, because what it sent waits to be read.
TEST_F(LinePoolTest, AttemptThatMayNotStartWaitsAndHoldsUpNoOther) {
  observer.held_back = 1;
  send_attempt(1);
  send_attempt(2);
  ASSERT_TRUE(server_received_anywhere("id2"));
  driver.pass(500);
  EXPECT_FALSE(has_received_anywhere("id1"));
  observer.held_back = 0;
  EXPECT_TRUE(server_received_anywhere("id1"));
}

// Guards against a further attempt that leaves after the servers have forgotten its key.
TEST_F(LinePoolTest, AttemptThatHasWaitedTooLongIsNotSent) {
  observer.held_back = 1;
  events::CloudEvent message{.id = id(1), .type = "t", .data = "in"};
  const EndpointId to = "a";
  pool.send({1, 0, to, one_second, message, to_timestamp(reactor.now() + 200)});
  ASSERT_TRUE(wait_for_attempts(1));
  EXPECT_EQ(observer.attempts[0].outcome, AttemptOutcome::not_sent);
  observer.held_back = 0;
  driver.pass(200);
  EXPECT_FALSE(has_received_anywhere("id1"));
}

TEST_F(LinePoolTest, AttemptThatMayNotStartCanBeCancelled) {
  observer.held_back = 1;
  send_attempt(1);
  driver.pass(100);
  EXPECT_TRUE(pool.cancel_unsent(1, 0));
  observer.held_back = 0;
  driver.pass(500);
  EXPECT_FALSE(has_received_anywhere("id1"));
  EXPECT_TRUE(observer.attempts.empty());
}

TEST_F(LinePoolTest, RefusedConnectionEndsAsConnectFailed) {
  pool.set_address("a", "127.0.0.1:1");
  send_attempt(1);
  ASSERT_TRUE(wait_for_attempts(1));
  EXPECT_EQ(observer.attempts[0].outcome, AttemptOutcome::connect_failed);
}

// The server resets the first connection as soon as it accepts it. If no byte of the attempt had been sent,
// the pool connects once more; otherwise the attempt ends as connection lost.
TEST_F(LinePoolTest, ConnectionResetWhileConnectingIsRetriedOnce) {
  int arrivals = 0;
  transport::Listener cutting(reactor, transport::numeric_address("127.0.0.1:0"), false,
                              [&](const transport::PendingConnection& arrival) {
                                server.peers.push_back(std::make_unique<RawPeer>(reactor, arrival));
                                if (++arrivals % 2 == 1) server.peers.back()->stream->reset();
                              });
  pool.set_address("a", cutting.address().toString());
  send_attempt(1);
  ASSERT_TRUE(driver.until([&] { return arrivals >= 1; }));
  ASSERT_TRUE(driver.until([&] { return arrivals == 2 || !observer.attempts.empty(); }));
  for (const RecordingObserver::EndedAttempt& attempt : observer.attempts)
    EXPECT_EQ(attempt.outcome, AttemptOutcome::connection_lost) << "some bytes had been sent";
}

TEST_F(LinePoolTest, ConnectionResetWhileIdleFailsNoAttempt) {
  server.on_bytes = [&](RawPeer& peer) {
    if (peer.seen.find("id1 ") != std::string::npos) peer.stream->write(hit(1, "one"));
    if (peer.seen.find("id2 ") != std::string::npos) peer.stream->write(hit(2, "two"));
  };
  send_attempt(1);
  ASSERT_TRUE(wait_for_attempts(1));
  server.peers[0]->stream->reset();
  send_attempt(2);
  ASSERT_TRUE(wait_for_attempts(2));
  EXPECT_EQ(observer.attempts[1].outcome, AttemptOutcome::succeeded);
}

TEST_F(LinePoolTest, ProbesAndPrewarmsEndWithTheirResults) {
  server.on_bytes = [&](RawPeer& peer) {
    if (peer.seen.starts_with("gauges p1"))
      peer.stream->write("p1 PONG report=util:0.25;inflight:3 0\r\n\r\n");
    if (peer.seen.find("prewarm o2") != std::string::npos) peer.stream->write("o2 HIT units=2 0\r\n\r\n");
    peer.seen.clear();
  };
  pool.probe("a", Duration{10'000});
  ASSERT_TRUE(driver.until([&] { return observer.probes.size() == 1; }));
  EXPECT_EQ(observer.probes[0], AttemptOutcome::succeeded);
  EXPECT_EQ(observer.report.at("util"), 0.25);
  pool.prewarm("a", "f", 2, Duration{10'000});
  ASSERT_TRUE(driver.until([&] { return observer.prewarms.size() == 1; }));
  EXPECT_EQ(observer.prewarms[0], AttemptOutcome::succeeded);
  EXPECT_EQ(observer.copies, 2);
  pool.prewarm("a", "f", 1, Duration{300});
  ASSERT_TRUE(driver.until([&] { return observer.prewarms.size() == 2; }));
  EXPECT_EQ(observer.prewarms[1], AttemptOutcome::unanswered);
}

TEST_F(LinePoolTest, RemovedServerIsDroppedAfterItsLastAttempt) {
  send_attempt(1);
  ASSERT_TRUE(server_received(0, "in\r\n"));
  pool.set_address("a", "");
  EXPECT_EQ(pool.known_endpoints(), 1U) << "its last attempt has not ended";
  server.peers[0]->stream->write(hit(1, "late but good"));
  ASSERT_TRUE(wait_for_attempts(1));
  EXPECT_EQ(observer.attempts[0].outcome, AttemptOutcome::succeeded);
  ASSERT_TRUE(driver.until([&] { return pool.known_endpoints() == 0; }));
  EXPECT_EQ(pool.connections(), 0U);
}

TEST_F(LinePoolTest, AttemptCancelledBeforeItsConnectionIsEstablishedIsNeverSent) {
  for (RequestId request = 1; request <= 4; ++request)
    send_attempt(request);  // The fourth shares a connection.
  EXPECT_TRUE(pool.cancel_unsent(4, 0));
  EXPECT_TRUE(pool.cancel_unsent(1, 0));
  EXPECT_FALSE(pool.cancel_unsent(1, 0));
  EXPECT_EQ(pool.connections(), 2U) << "a connection whose only attempt was cancelled has to be closed";
  ASSERT_TRUE(driver.until([&] {
    return std::ranges::count_if(server.peers, [](const auto& peer) { return !peer->seen.empty(); }) == 2;
  }));
  driver.pass(1'000);
  for (const auto& peer : server.peers) {
    EXPECT_EQ(peer->seen.find("id1 "), std::string::npos);
    EXPECT_EQ(peer->seen.find("id4 "), std::string::npos);
    EXPECT_EQ(peer->seen.find("abort"), std::string::npos);
  }
  EXPECT_TRUE(observer.attempts.empty());
  EXPECT_FALSE(pool.cancel_unsent(2, 0)) << "its bytes have been sent";
}

TEST_F(LinePoolTest, CancelAllUnsentEndsUnsentCallsAsNotSent) {
  send_attempt(1);
  pool.prewarm("a", "f", 1, Duration{10'000});
  pool.cancel_all_unsent("a");
  ASSERT_TRUE(wait_for_attempts(1));
  ASSERT_TRUE(driver.until([&] { return observer.prewarms.size() == 1; }));
  EXPECT_EQ(observer.attempts[0].outcome, AttemptOutcome::not_sent);
  EXPECT_EQ(observer.prewarms[0], AttemptOutcome::not_sent);
  driver.pass(1'000);
  for (const auto& peer : server.peers) EXPECT_EQ(peer->seen, "");
  EXPECT_EQ(pool.connections(), 0U);
  send_attempt(2);
  ASSERT_TRUE(driver.until([&] {
    return std::ranges::any_of(server.peers,
                               [](const auto& p) { return p->seen.find("id2 ") != std::string::npos; });
  }));
  pool.cancel_all_unsent("a");
  driver.pass(300);
  EXPECT_EQ(observer.attempts.size(), 1U) << "an attempt whose bytes have been sent has to stay";
}

// The server answers and resets the connection. Both are still unread when the next attempt is sent on it.
TEST_F(LinePoolTest, AnswerBeforeAResetIsReadAndTheNextAttemptIsSentOnANewConnection) {
  LinePool single_connection_pool(
      reactor, {.requests_per_connection = 2, .connections = 1, .connect_limit = 3'000, .idle = 100'000},
      event_log);
  single_connection_pool.report_to(observer);
  single_connection_pool.set_address("a", server.address());
  const auto send_on_it = [&](RequestId request) {
    events::CloudEvent message{.id = id(request), .type = "t", .data = "in"};
    message.others["function"] = "f";
    const EndpointId to = "a";
    single_connection_pool.send({request, 0, to, one_second, message});
  };
  send_on_it(1);
  ASSERT_TRUE(server_received(0, "in\r\n"));
  server.peers[0]->stream->write(hit(1, "data"));
  server.peers[0]->stream->reset();
  send_on_it(2);
  ASSERT_TRUE(wait_for_attempts(1));
  EXPECT_EQ(observer.attempts[0].outcome, AttemptOutcome::succeeded);
  EXPECT_EQ(observer.attempts[0].data, "data");
  EXPECT_TRUE(server_received(1, "id2 "));
}

}  // namespace
}  // namespace rushhill::upstream
