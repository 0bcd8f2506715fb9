// The way to the model servers: whatever a server does at any byte, a shot ends exactly once and with the
// ending that is known for certain.
#include "transport/server_pool.h"

#include <Poco/Net/ServerSocket.h>

#include "loopback.h"
#include "transport/loop.h"

namespace rushhill::transport {
namespace {

const std::string answer =
    "HTTP/1.1 200 OK\r\nce-specversion: 1.0\r\nce-id: r\r\nce-source: /s\r\nce-type: t\r\n"
    "rushhill-copy: found\r\ncontent-length: 4\r\n\r\ndata";

struct Ends final : core::UpstreamObserver {
  void attempt_ended(RequestId event, int, core::AttemptResult result) override {
    events.push_back(event);
    shots.push_back(std::move(result));
  }
  void probe_ended(const EndpointId&, AttemptOutcome ending, const LoadReport& told) override {
    probes.push_back(ending);
    report = told;
  }
  void prewarm_ended(const EndpointId&, const FunctionId&, AttemptOutcome ending, int standing) override {
    orders.push_back(ending);
    copies = standing;
  }
  std::vector<RequestId> events;
  std::vector<core::AttemptResult> shots;
  std::vector<AttemptOutcome> probes, orders;
  LoadReport report;
  int copies = 0;
};

class PoolStory : public testing::Test {
 protected:
  PoolStory() {
    pool.report_to(ends);
    pool.set_address("a", server.address());
  }
  void shoot(RequestId event = 1) {
    message.id = std::to_string(event);
    pool.send({event, 0, server_id, one_second, message});
  }
  bool ended(std::size_t count) {
    return pump.until([&] { return ends.shots.size() >= count; });
  }
  AttemptOutcome last() const { return ends.shots.back().outcome; }

  Loop reactor;
  Pump pump{reactor};
  Silent silent;
  RawServer server{reactor};
  Ends ends;
  ServerPool pool{
      reactor, {.connections = 4, .connect_limit = 3'000, .idle = 100'000, .reply = 64 * 1024}, silent};
  const EndpointId server_id = "a";
  events::CloudEvent message{.id = "1", .source = "/c", .type = "t", .data = "hello"};
};

bool whole(const std::string& seen) { return seen.ends_with("hello"); }

TEST_F(PoolStory, AnAnswerCutAtAnyByteIsALostConnectionThatMayHaveRun) {
  for (std::size_t cut = 0; cut <= answer.size(); cut += cut < 60 ? 7 : 1) {
    server.on_bytes = [&](RawPeer& peer) {
      if (!whole(peer.seen)) return;
      peer.stream->write(answer.substr(0, cut));
      peer.stream->shutdown_write();
    };
    const std::size_t before = ends.shots.size();
    shoot();
    ASSERT_TRUE(ended(before + 1)) << cut;
    EXPECT_EQ(last(), cut == answer.size() ? AttemptOutcome::succeeded : AttemptOutcome::connection_lost)
        << cut;
  }
  const std::size_t shots = ends.shots.size();
  pump.pass(500);
  EXPECT_EQ(ends.shots.size(), shots);
}

TEST_F(PoolStory, OneByteAtATimeBothWaysTheExchangeIsTheSame) {
  reactor.most_at_once = 1;
  server.on_bytes = [&](RawPeer& peer) {
    if (whole(peer.seen)) peer.seen.clear(), peer.stream->write(answer);
  };
  for (RequestId event = 1; event <= 3; ++event) {
    shoot(event);
    ASSERT_TRUE(ended(static_cast<std::size_t>(event)));
    EXPECT_EQ(last(), AttemptOutcome::succeeded);
    EXPECT_EQ(ends.shots.back().reply.data, "data");
    EXPECT_EQ(ends.shots.back().copy_state, CopyState::loaded);
  }
  EXPECT_EQ(server.peers.size(), 1U);
}

TEST_F(PoolStory, AKeptConnectionClosedJustAsAShotIsWrittenMayHaveRun) {
  server.on_bytes = [&](RawPeer& peer) {
    if (!whole(peer.seen)) return;
    peer.seen.clear();
    if (ends.shots.empty()) return peer.stream->write(answer);
    peer.stream->close();
  };
  shoot();
  ASSERT_TRUE(ended(1));
  shoot(2);
  ASSERT_TRUE(ended(2));
  EXPECT_EQ(last(), AttemptOutcome::connection_lost);
}

TEST_F(PoolStory, AKeptConnectionSeenClosedIsNotUsed) {
  server.on_bytes = [&](RawPeer& peer) {
    if (whole(peer.seen)) peer.seen.clear(), peer.stream->write(answer);
  };
  shoot();
  ASSERT_TRUE(ended(1));
  server.peers.front()->stream->close();
  shoot(2);  // the end stands to be read, and nobody has read it yet
  ASSERT_TRUE(ended(2));
  EXPECT_EQ(last(), AttemptOutcome::succeeded);
  EXPECT_EQ(server.peers.size(), 2U);
}

TEST_F(PoolStory, TheAnswerOfACalledOffShotReachesNoOtherShot) {
  RawPeer* first = nullptr;
  server.on_bytes = [&](RawPeer& peer) {
    if (!whole(peer.seen)) return;
    if (first == nullptr) first = &peer;
    if (first != &peer) peer.stream->write(answer);
  };
  shoot();
  ASSERT_TRUE(pump.until([&] { return first != nullptr; }));
  pool.cancel(1, 0);
  shoot(2);
  ASSERT_TRUE(ended(1));
  EXPECT_EQ(ends.events, std::vector<RequestId>{2});
  ASSERT_TRUE(pump.until([&] { return first->ended; }));
  pump.pass(300);
  EXPECT_EQ(ends.shots.size(), 1U);
}

TEST_F(PoolStory, ARefusedConnectionProvesThatNothingRan) {
  pool.set_address("a", "127.0.0.1:1");
  shoot();
  ASSERT_TRUE(ended(1));
  EXPECT_EQ(last(), AttemptOutcome::connect_failed);
}

TEST_F(PoolStory, AHandshakeThatNobodyAnswersEndsAfterItsLimit) {
  // A queue of one that is full: the system leaves further handshakes unanswered.
  Poco::Net::ServerSocket deaf;
  deaf.bind(numeric_address("127.0.0.1:0"));
  deaf.listen(0);
  std::vector<std::unique_ptr<RawPeer>> fill;
  for (int i = 0; i < 3; ++i) fill.push_back(std::make_unique<RawPeer>(reactor, deaf.address()));
  pump.pass(200);
  pool.set_address("a", deaf.address().toString());
  shoot();
  ASSERT_TRUE(ended(1));
  EXPECT_EQ(last(), AttemptOutcome::connect_failed);
}

TEST_F(PoolStory, BeyondTheCapAShotIsToldAtOnceAndNeverWaits) {
  server.on_bytes = [](RawPeer&) {};
  for (RequestId event = 1; event <= 5; ++event) shoot(event);
  ASSERT_TRUE(ended(1));
  EXPECT_EQ(ends.events, std::vector<RequestId>{5});
  EXPECT_EQ(last(), AttemptOutcome::connect_failed);
  EXPECT_EQ(pool.connections(), 4U);
}

TEST_F(PoolStory, BeyondWhatAllServersMayHaveTheLongestIdleGoesAndWhereNoneIsAShotIsNotSent) {
  RawServer other(reactor);
  ServerPool two(reactor,
                 {.connections = 4, .total = 2, .connect_limit = 3'000, .idle = 100'000, .reply = 64 * 1024},
                 silent);
  two.report_to(ends);
  two.set_address("a", server.address());
  two.set_address("b", other.address());
  server.on_bytes = [](RawPeer& peer) {
    if (whole(peer.seen)) peer.stream->write(answer);
  };
  two.send({1, 0, "a", one_second, message});
  ASSERT_TRUE(ended(1));
  for (RequestId event = 2; event <= 4; ++event) two.send({event, 0, "b", one_second, message});
  ASSERT_TRUE(ended(2));
  EXPECT_EQ(ends.events.back(), 4);
  EXPECT_EQ(last(), AttemptOutcome::not_sent) << "it says nothing of the server";
  EXPECT_EQ(two.connections(), 2U);
  ASSERT_TRUE(pump.until([&] { return server.peers[0]->ended && other.peers.size() == 2; }));
}

TEST_F(PoolStory, RefusalsAreToldApartAndInDoubtItMayHaveRun) {
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
      {"200 X\r\nrushhill-never-ran: full", AttemptOutcome::error}};  // no event, and a 2xx proves nothing
  for (const auto& [head, ending] : cases) {
    server.on_bytes = [&](RawPeer& peer) {
      if (whole(peer.seen))
        peer.seen.clear(), peer.stream->write("HTTP/1.1 " + head + "\r\ncontent-length: 0\r\n\r\n");
    };
    const std::size_t before = ends.shots.size();
    shoot();
    ASSERT_TRUE(ended(before + 1));
    EXPECT_EQ(last(), ending) << head;
  }
}

TEST_F(PoolStory, GarbageAndAnEndlessAnswerAreErrorsAndTheConnectionGoes) {
  for (const std::string& bytes :
       {std::string("\x16\x03\x01 no http\r\n\r\n"),
        "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n" + std::string(100'000, 'x'),
        "HTTP/1.1 200 OK\r\nx: " + std::string(80'000, 'h') + "\r\n\r\n"}) {
    server.on_bytes = [&](RawPeer& peer) {
      if (whole(peer.seen)) peer.seen.clear(), peer.stream->write(bytes);
    };
    const std::size_t before = ends.shots.size();
    shoot();
    ASSERT_TRUE(ended(before + 1));
    EXPECT_EQ(last(), AttemptOutcome::error);
    EXPECT_EQ(pool.connections(), 0U) << bytes.substr(0, 20);
  }
}

TEST_F(PoolStory, BytesBeyondAnAnswerMakeTheConnectionUnfitForTheNext) {
  server.on_bytes = [&](RawPeer& peer) {
    if (whole(peer.seen)) peer.seen.clear(), peer.stream->write(answer + answer);
  };
  shoot();
  ASSERT_TRUE(ended(1));
  EXPECT_EQ(last(), AttemptOutcome::succeeded);
  EXPECT_EQ(pool.connections(), 0U);
}

TEST_F(PoolStory, AServerThatMovesIsReachedAtItsNewAddressAndTheOldConnectionsGo) {
  RawServer other(reactor);
  const auto reply = [&](RawPeer& peer) {
    if (whole(peer.seen)) peer.seen.clear(), peer.stream->write(answer);
  };
  server.on_bytes = other.on_bytes = reply;
  shoot();
  ASSERT_TRUE(ended(1));
  pool.set_address("a", other.address());
  shoot(2);
  ASSERT_TRUE(ended(2));
  EXPECT_EQ(other.peers.size(), 1U);
  EXPECT_TRUE(pump.until([&] { return server.peers.front()->ended; }));
}

TEST_F(PoolStory, AServerOnNoListIsNotReached) {
  pool.set_address("a", "");
  shoot();
  ASSERT_TRUE(ended(1));
  EXPECT_EQ(last(), AttemptOutcome::connect_failed);
  EXPECT_TRUE(server.peers.empty());
}

TEST_F(PoolStory, ProbesAndOrdersEndOnceAlsoWhereNobodyAnswers) {
  pool.probe("a", Duration{500});
  pool.prewarm("a", "ward/1", 2, Duration{500});
  ASSERT_TRUE(pump.until([&] { return !ends.probes.empty() && !ends.orders.empty(); }));
  EXPECT_EQ(ends.probes, std::vector<AttemptOutcome>{AttemptOutcome::unanswered});
  EXPECT_EQ(ends.orders, std::vector<AttemptOutcome>{AttemptOutcome::unanswered});
  bool named = false;
  for (const auto& peer : server.peers)
    named |= peer->seen.find("/v2/repository/models/ward%2F1/load") != std::string::npos;
  EXPECT_TRUE(named);
}

TEST_F(PoolStory, UnloadingIsSaidAndItsAnswerTellsNobody) {
  server.on_bytes = [&](RawPeer& peer) {
    peer.stream->write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
  };
  pool.evict("a", "f");
  ASSERT_TRUE(pump.until([&] { return !server.peers.empty() && !server.peers.front()->seen.empty(); }));
  EXPECT_TRUE(server.peers.front()->seen.starts_with("POST /v2/repository/models/f/unload "));
  // The connection is idle once the answer has come.
  EXPECT_TRUE(pump.until([&] {
    pool.close_idle("a");
    return pool.connections() == 0;
  }));
  EXPECT_TRUE(ends.orders.empty() && ends.shots.empty());
}

TEST_F(PoolStory, AnEnquiryOrdersNothing) {
  server.on_bytes = [&](RawPeer& peer) {
    peer.stream->write("HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\n[{\"name\":\"f\",\"copies\":2}]");
  };
  pool.prewarm("a", "f", 0, Duration{50'000});
  ASSERT_TRUE(pump.until([&] { return !ends.orders.empty(); }));
  EXPECT_EQ(ends.copies, 2);
  EXPECT_TRUE(server.peers.front()->seen.starts_with("POST /v2/repository/index "));
}

TEST_F(PoolStory, AnOrderTellsTheCopiesThatStand) {
  server.on_bytes = [&](RawPeer& peer) {
    peer.stream->write("HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"copies\":3}");
  };
  pool.prewarm("a", "f", 2, Duration{50'000});
  ASSERT_TRUE(pump.until([&] { return !ends.orders.empty(); }));
  EXPECT_EQ(ends.orders, std::vector<AttemptOutcome>{AttemptOutcome::succeeded});
  EXPECT_EQ(ends.copies, 3);
}

}  // namespace
}  // namespace rushhill::transport
