// The way to the model servers over lines: whatever a server sends at any byte, a shot ends exactly once and
// with the ending that is known for certain.
#include "upstream/line_pool.h"

#include "loopback.h"
#include "transport/listener.h"

namespace rushhill::upstream {
namespace {

struct Ends final : core::UpstreamObserver {
  void attempt_ended(RequestId event, int leg, core::AttemptResult result) override {
    shots.push_back({event, leg, result.outcome, result.reply.data});
  }
  void probe_ended(const EndpointId&, AttemptOutcome ending, const LoadReport& told) override {
    probes.push_back(ending);
    report = told;
  }
  void prewarm_ended(const EndpointId&, const FunctionId&, AttemptOutcome ending, int standing) override {
    orders.push_back(ending);
    copies = standing;
  }
  struct Shot {
    RequestId event;
    int leg;
    AttemptOutcome ending;
    std::string data;
  };
  std::vector<Shot> shots;
  std::vector<AttemptOutcome> probes, orders;
  LoadReport report;
  int copies = 0;
};

class LineStory : public testing::Test {
 protected:
  LineStory() {
    pool.report_to(ends);
    pool.set_address("a", server.address());
  }
  void shoot(RequestId event, int leg = 0) {
    events::CloudEvent message{.id = id(event), .type = "t", .data = "in"};
    message.others["function"] = "f";
    const EndpointId to = "a";
    pool.send({event, leg, to, one_second, message});
  }
  static std::string id(RequestId event) { return "id" + std::to_string(event); }
  static std::string hit(RequestId event, const std::string& body) {
    return id(event) + " HIT remark=reused " + std::to_string(body.size()) + "\r\n" + body + "\r\n";
  }
  bool ended(std::size_t count) {
    return pump.until([&] { return ends.shots.size() >= count; });
  }
  bool seen(std::size_t peer, const std::string& what) {
    return pump.until([&] {
      return server.peers.size() > peer && server.peers[peer]->seen.find(what) != std::string::npos;
    });
  }

  transport::Loop reactor;
  Pump pump{reactor};
  Silent silent;
  RawServer server{reactor};
  Ends ends;
  LinePool pool{reactor,
                {.requests_per_connection = 2,
                 .connections = 3,
                 .connect_limit = 3'000,
                 .idle = 100'000,
                 .reports = true},
                silent};
};

TEST_F(LineStory, AnAnswerCutAtAnyByteIsALostConnectionThatMayHaveRun) {
  const std::string whole = hit(1, "data");
  for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
    server.on_bytes = [&](RawPeer& peer) {
      if (peer.seen.find("in\r\n") == std::string::npos) return;
      peer.seen.clear();
      peer.stream->write(whole.substr(0, cut));
      if (cut < whole.size()) peer.stream->shutdown_write();
    };
    const std::size_t before = ends.shots.size();
    shoot(1, static_cast<int>(cut));
    ASSERT_TRUE(ended(before + 1)) << cut;
    EXPECT_EQ(ends.shots.back().ending,
              cut == whole.size() ? AttemptOutcome::succeeded : AttemptOutcome::connection_lost)
        << cut;
  }
}

TEST_F(LineStory, ASpoiltAnswerIsAnErrorAndNothingOfItIsPassedOn) {
  for (const char* bytes :
       {"id1 HIT - \r\n", "id1 HIT - 3000000000\r\n", "id1 HIT - 2\r\nabcd\r\n", "\x01\x02\r\n"}) {
    server.on_bytes = [&](RawPeer& peer) { peer.stream->write(bytes); };
    const std::size_t before = ends.shots.size();
    shoot(1, static_cast<int>(before));
    ASSERT_TRUE(ended(before + 1)) << bytes;
    EXPECT_EQ(ends.shots.back().ending, AttemptOutcome::error) << bytes;
    EXPECT_EQ(ends.shots.back().data, "");
    EXPECT_EQ(pool.connections(), 0U);
  }
}

TEST_F(LineStory, WhatBringsMoreThanBelongsToItIsReadAllTheSame) {
  server.on_bytes = [&](RawPeer& peer) {
    peer.stream->write("stranger HIT - 1\r\nx\r\n" + hit(1, "data") + hit(1, "again"));
  };
  shoot(1);
  ASSERT_TRUE(ended(1));
  pump.pass(300);
  ASSERT_EQ(ends.shots.size(), 1U);
  EXPECT_EQ(ends.shots[0].data, "data");
}

TEST_F(LineStory, TheSameIdNeverGoesTwiceOnOneConnection) {
  shoot(1);
  ASSERT_TRUE(seen(0, "in\r\n"));
  server.peers[0]->stream->write("id1 SHED - 0\r\n\r\n");
  ASSERT_TRUE(ended(1));
  shoot(1, 1);
  ASSERT_TRUE(seen(1, "in\r\n"));
  server.peers[0]->stream->write(hit(1, "a late copy"));
  pump.pass(300);
  EXPECT_EQ(ends.shots.size(), 1U);
  server.peers[1]->stream->write(hit(1, "its own"));
  ASSERT_TRUE(ended(2));
  EXPECT_EQ(ends.shots[1].data, "its own");
}

TEST_F(LineStory, AShotGivenUpIsTakenBackAndItsConnectionTakesNoFurtherOne) {
  shoot(1);
  ASSERT_TRUE(seen(0, "in\r\n"));
  pool.cancel(1, 0);
  EXPECT_EQ(pool.connections(), 0U) << "alone on its connection: the close says so";
  shoot(2);
  ASSERT_TRUE(seen(1, "in\r\n"));
  EXPECT_EQ(pool.connections(), 1U);
}

TEST_F(LineStory, WhereConnectionsRunShortShotsShareAndOneSpoiltAnswerCostsItsNeighbour) {
  for (RequestId event = 1; event <= 4; ++event) shoot(event);
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == 3; }));
  EXPECT_EQ(pool.connections(), 3U);
  RawPeer* both = nullptr;
  ASSERT_TRUE(pump.until([&] {
    for (const auto& peer : server.peers) {
      if (peer->seen.find("id1 ") != std::string::npos && peer->seen.find("id4 ") != std::string::npos)
        both = peer.get();
    }
    return both != nullptr;
  }));
  both->stream->write("id4 HIT nonsense 0\r\n");
  ASSERT_TRUE(ended(2));
  for (const Ends::Shot& shot : ends.shots)
    EXPECT_EQ(shot.ending, shot.event == 4 ? AttemptOutcome::error : AttemptOutcome::connection_lost)
        << shot.event;
}

TEST_F(LineStory, WhereConnectionsAreShortAndAllAreFullAShotIsNotSent) {
  for (RequestId event = 1; event <= 7; ++event) shoot(event);
  ASSERT_TRUE(ended(1));
  EXPECT_EQ(ends.shots[0].event, 7);
  EXPECT_EQ(ends.shots[0].ending, AttemptOutcome::not_sent) << "it says nothing of the server";
}

TEST_F(LineStory, ARefusedConnectionProvesThatNothingRan) {
  pool.set_address("a", "127.0.0.1:1");
  shoot(1);
  ASSERT_TRUE(ended(1));
  EXPECT_EQ(ends.shots[0].ending, AttemptOutcome::connect_failed);
}

// A reset in the very moment of connecting says nothing of the server: no byte had left.
TEST_F(LineStory, AConnectionCutOnItsWayUpIsTriedOnceMore) {
  int arrivals = 0;
  transport::Listener cutting(reactor, transport::numeric_address("127.0.0.1:0"), false,
                              [&](const transport::PendingConnection& arrival) {
                                server.peers.push_back(std::make_unique<RawPeer>(reactor, arrival));
                                if (++arrivals % 2 == 1) server.peers.back()->stream->reset();
                              });
  pool.set_address("a", cutting.address().toString());
  shoot(1);
  ASSERT_TRUE(pump.until([&] { return arrivals >= 1; }));
  ASSERT_TRUE(pump.until([&] { return arrivals == 2 || !ends.shots.empty(); }));
  for (const Ends::Shot& shot : ends.shots)
    EXPECT_EQ(shot.ending, AttemptOutcome::connection_lost) << "a byte had left";
}

TEST_F(LineStory, AConnectionThatEndedWhileIdleCostsNoShot) {
  server.on_bytes = [&](RawPeer& peer) {
    if (peer.seen.find("id1 ") != std::string::npos) peer.stream->write(hit(1, "one"));
    if (peer.seen.find("id2 ") != std::string::npos) peer.stream->write(hit(2, "two"));
  };
  shoot(1);
  ASSERT_TRUE(ended(1));
  server.peers[0]->stream->reset();
  shoot(2);
  ASSERT_TRUE(ended(2));
  EXPECT_EQ(ends.shots[1].ending, AttemptOutcome::succeeded);
}

TEST_F(LineStory, ProbesAndOrdersEndOnceWithWhatTheyBring) {
  server.on_bytes = [&](RawPeer& peer) {
    if (peer.seen.starts_with("gauges p1"))
      peer.stream->write("p1 PONG report=util:0.25;inflight:3 0\r\n\r\n");
    if (peer.seen.find("prewarm o2") != std::string::npos) peer.stream->write("o2 HIT units=2 0\r\n\r\n");
    peer.seen.clear();
  };
  pool.probe("a", Duration{10'000});
  ASSERT_TRUE(pump.until([&] { return ends.probes.size() == 1; }));
  EXPECT_EQ(ends.probes[0], AttemptOutcome::succeeded);
  EXPECT_EQ(ends.report.at("util"), 0.25);
  pool.prewarm("a", "f", 2, Duration{10'000});
  ASSERT_TRUE(pump.until([&] { return ends.orders.size() == 1; }));
  EXPECT_EQ(ends.orders[0], AttemptOutcome::succeeded);
  EXPECT_EQ(ends.copies, 2);
  pool.prewarm("a", "f", 1, Duration{300});
  ASSERT_TRUE(pump.until([&] { return ends.orders.size() == 2; }));
  EXPECT_EQ(ends.orders[1], AttemptOutcome::unanswered);
}

TEST_F(LineStory, AServerThatIsGoneLeavesNothingBehind) {
  shoot(1);
  ASSERT_TRUE(seen(0, "in\r\n"));
  pool.set_address("a", "");
  EXPECT_EQ(pool.servers(), 1U) << "its last shot is still out";
  server.peers[0]->stream->write(hit(1, "late but good"));
  ASSERT_TRUE(ended(1));
  EXPECT_EQ(ends.shots[0].ending, AttemptOutcome::succeeded);
  ASSERT_TRUE(pump.until([&] { return pool.servers() == 0; }));
  EXPECT_EQ(pool.connections(), 0U);
}

TEST_F(LineStory, WhatIsTakenBackBeforeItsConnectionIsUpNeverLeavesAndItsNeighbourDoes) {
  for (RequestId event = 1; event <= 4; ++event) shoot(event);  // the fourth shares a connection
  EXPECT_TRUE(pool.cancel_unsent(4, 0));
  EXPECT_TRUE(pool.cancel_unsent(1, 0));
  EXPECT_FALSE(pool.cancel_unsent(1, 0));
  EXPECT_EQ(pool.connections(), 2U)
      << "what nothing is asked on is no connection held at a server for nothing";
  ASSERT_TRUE(pump.until([&] {
    return std::ranges::count_if(server.peers, [](const auto& peer) { return !peer->seen.empty(); }) == 2;
  }));
  pump.pass(1'000);
  for (const auto& peer : server.peers) {
    EXPECT_EQ(peer->seen.find("id1 "), std::string::npos);
    EXPECT_EQ(peer->seen.find("id4 "), std::string::npos);
    EXPECT_EQ(peer->seen.find("abort"), std::string::npos);
  }
  EXPECT_TRUE(ends.shots.empty());
  EXPECT_FALSE(pool.cancel_unsent(2, 0)) << "it is out";
}

TEST_F(LineStory, WhatHasNotLeftForAServerThatLeavesEndsAsNotSent) {
  shoot(1);
  pool.prewarm("a", "f", 1, Duration{10'000});
  pool.cancel_all_unsent("a");
  ASSERT_TRUE(ended(1));
  ASSERT_TRUE(pump.until([&] { return ends.orders.size() == 1; }));
  EXPECT_EQ(ends.shots[0].ending, AttemptOutcome::not_sent);
  EXPECT_EQ(ends.orders[0], AttemptOutcome::not_sent);
  pump.pass(1'000);
  for (const auto& peer : server.peers) EXPECT_EQ(peer->seen, "");
  EXPECT_EQ(pool.connections(), 0U);
  shoot(2);
  ASSERT_TRUE(pump.until([&] {
    return std::ranges::any_of(server.peers,
                               [](const auto& p) { return p->seen.find("id2 ") != std::string::npos; });
  }));
  pool.cancel_all_unsent("a");
  pump.pass(300);
  EXPECT_EQ(ends.shots.size(), 1U) << "it is out";
}

// The server has answered and reset; both stand unread when the next shot meets the reset.
TEST_F(LineStory, AnAnswerThatStandsUnreadBeforeAResetIsReadAndWhatMetTheResetGoesElsewhere) {
  LinePool narrow(reactor,
                  {.requests_per_connection = 2, .connections = 1, .connect_limit = 3'000, .idle = 100'000},
                  silent);
  narrow.report_to(ends);
  narrow.set_address("a", server.address());
  const auto send = [&](RequestId event) {
    events::CloudEvent message{.id = id(event), .type = "t", .data = "in"};
    message.others["function"] = "f";
    const EndpointId to = "a";
    narrow.send({event, 0, to, one_second, message});
  };
  send(1);
  ASSERT_TRUE(seen(0, "in\r\n"));
  server.peers[0]->stream->write(hit(1, "data"));
  server.peers[0]->stream->reset();
  send(2);
  ASSERT_TRUE(ended(1));
  EXPECT_EQ(ends.shots[0].ending, AttemptOutcome::succeeded);
  EXPECT_EQ(ends.shots[0].data, "data");
  EXPECT_TRUE(seen(1, "id2 "));
}

}  // namespace
}  // namespace rushhill::upstream
