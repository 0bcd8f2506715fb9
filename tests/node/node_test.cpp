// A whole router on the platform, on loopback: FastCGI in, lines out, a notice board by hand.
#include "node/node.h"

#include "emulator/network.h"
#include "loopback.h"
#include "transport/listener.h"

namespace rushhill::node {
namespace {

const std::string settings = R"({"me":0,"balancers":1,"zone":"old","quantum":4000000,
  "services":[{"name":"date-lookup","promise":750000000,"deadline":2500000000,"effect":"free","worth":1.0},
    {"name":"seat.hold","promise":750000000,"deadline":2500000000,"effect":"guarded","group":"all","memory-span":5000000000}],
  "tenants":[{"name":"acme","quota-per-s":0,"share":1.0}],
  "obligations":{"drain-grace":2000000000,"fall":1500000000,"fall-multiple":2.0,"cold":16000000000,"cold-share":0.16},
  "permissions":{"cancel":true,"send-cap":5,"open-cap":20000,"retry-after":true,"max-retry-after":500000000,
    "multiplex":100,"conn-idle":15000000000,"connect-timeout":250000000},
  "family-info":{"marks-cold":true,"keep":10000000000,"not-loaded":"load"}})";

std::string configuration(const std::string& board, const std::string& server, int sockets = 256) {
  return R"({"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":)" +
         std::to_string(sockets) + R"(},"board":")" + board +
         R"(","known":{"rev":1,"notices":[{"rev":1,"pool":{"seq":1,"whole":true,"hosts":[{"host":"s1","dial":")" +
         server +
         R"(","site":"old","class":"std","block":0,"health":"active","share":1,"born_ms":0}]}}]},"settings":)" +
         settings + "}";
}

class NodeStory : public testing::Test {
 protected:
  std::unique_ptr<RawPeer> client() { return std::make_unique<RawPeer>(reactor, router.address()); }
  static fastcgi::Request ask(const std::string& id = "9b1f03aa5c7e2d41") {
    return {.params = {{"SCRIPT_NAME", "/ops/date-lookup"},
                       {"HTTP_X_JOB_ID", id},
                       {"HTTP_X_ALLOW_MS", "2500"},
                       {"HTTP_X_TEAM", "acme"},
                       {"HTTP_X_ITEM", "7f3a9c21e0b4d655"},
                       {"HTTP_X_FACTS", "memory_mb:512;lanes:2;load_ms:300"},
                       {"CONTENT_LENGTH", "4"}},
            .body = "b\r\n\xff",
            .keep = true};
  }
  bool seen(const RawPeer& peer, const std::string& what) {
    return pump.until([&] { return peer.seen.find(what) != std::string::npos; });
  }
  bool at_server(const std::string& what) {
    return pump.until([&] {
      return std::ranges::any_of(server.peers,
                                 [&](const auto& p) { return p->seen.find(what) != std::string::npos; });
    });
  }

  transport::Loop reactor;
  Pump pump{reactor};
  Silent silent;
  RawServer server{reactor}, board{reactor};
  Node router{reactor, read_configuration(configuration(board.address(), server.address())), silent};
};

TEST_F(NodeStory, AnEventGoesOutUnchangedAndItsAnswerComesBackUnchanged) {
  server.on_bytes = [](RawPeer& peer) {
    if (peer.seen.ends_with("b\r\n\xff\r\n"))
      peer.stream->write("9b1f03aa5c7e2d41 HIT remark=init 6\r\n\r\n\x01ok\n\r\n");
  };
  const auto front = client();
  front->stream->write(fastcgi::write_request(7, ask()));
  ASSERT_TRUE(seen(*front, std::string("\x01ok\n", 4)));
  EXPECT_TRUE(at_server("invoke 9b1f03aa5c7e2d41 profile=date-lookup,thing=7f3a9c21e0b4d655,max=2"));
  EXPECT_NE(front->seen.find("Status: 200"), std::string::npos);
  EXPECT_TRUE(front->seen.ends_with(fastcgi::end_request(7, fastcgi::Ended::complete, 0)));
  EXPECT_EQ(router.gateway().tally().succeeded, 1U);
}

TEST_F(NodeStory, AliveIsAnsweredAtOnce) {
  const auto front = client();
  front->stream->write(fastcgi::write_request(1, {.params = {{"SCRIPT_NAME", "/alive"}}, .keep = true}));
  ASSERT_TRUE(seen(*front, "Status: 200"));
  EXPECT_EQ(router.gateway().tally().accepted, 0U);
}

TEST_F(NodeStory, TakenBackByItsClientTheShotIsTakenBackToo) {
  const auto front = client();
  front->stream->write(fastcgi::write_request(7, ask()));
  ASSERT_TRUE(at_server("invoke"));
  front->stream->write(std::string("\1\2\0\7\0\0\0\0", 8));
  ASSERT_TRUE(seen(*front, fastcgi::end_request(7, fastcgi::Ended::complete, 1)));
  ASSERT_TRUE(pump.until([&] { return server.peers[0]->ended; }));
  EXPECT_EQ(router.gateway().open_requests(), 0U);
  front->stream->write(fastcgi::write_request(7, ask()));
  EXPECT_TRUE(pump.until([&] { return router.gateway().tally().accepted == 2; }))
      << "number and id are free again";
}

TEST_F(NodeStory, AClientThatGoesAwayLeavesNothingOpen) {
  auto front = client();
  front->stream->write(fastcgi::write_request(7, ask()));
  ASSERT_TRUE(at_server("invoke"));
  front.reset();
  EXPECT_TRUE(pump.until([&] { return router.gateway().open_requests() == 0; }));
}

TEST_F(NodeStory, AnIdThatIsOpenIsNotTakenAgain) {
  const auto one = client(), other = client();
  one->stream->write(fastcgi::write_request(1, ask()));
  ASSERT_TRUE(at_server("invoke"));
  other->stream->write(fastcgi::write_request(1, ask()));
  EXPECT_TRUE(seen(*other, "Status: 409"));
  EXPECT_EQ(router.gateway().tally().accepted, 1U);
}

TEST_F(NodeStory, WhatIsNoRequestGetsAnAnswerThatSaysWhy) {
  const std::vector<std::tuple<std::string, std::string, std::string>> faults{
      {"SCRIPT_NAME", "/ops/unknown", "unknown class"},
      {"SCRIPT_NAME", "/elsewhere", "no such place"},
      {"HTTP_X_JOB_ID", "9b1f", "X-Job-Id"},
      {"HTTP_X_ITEM", "7f3a9c21e0b4d65z", "X-Item"},
      {"HTTP_X_ALLOW_MS", "-5", "X-Allow-Ms"},
      {"HTTP_X_ALLOW_MS", "nan", "X-Allow-Ms"},
      {"HTTP_X_ALLOW_MS", "2502", "beyond"},
      {"HTTP_X_ALLOW_MS", "9223372036854775807", "beyond"},
      {"HTTP_X_TEAM", "nobody", "X-Team"},
      {"HTTP_X_FACTS", "memory_mb:inf", "X-Facts"},
      {"HTTP_X_FACTS", "lanes:0", "X-Facts"},
      {"HTTP_X_FACTS", "memory_mb", "X-Facts"},
      {"CONTENT_LENGTH", "3", "CONTENT_LENGTH"}};
  const auto front = client();
  for (const auto& [name, value, reason] : faults) {
    fastcgi::Request request = ask();
    for (auto& [key, old] : request.params) {
      if (key == name) old = value;
    }
    front->seen.clear();
    front->stream->write(fastcgi::write_request(9, request));
    ASSERT_TRUE(seen(*front, fastcgi::end_request(9, fastcgi::Ended::complete, 0))) << value;
    EXPECT_NE(front->seen.find(reason), std::string::npos) << value;
    EXPECT_EQ(front->seen.find("Status: 4"), 8U) << value;
  }
  EXPECT_EQ(router.gateway().tally().accepted, 0U);
}

// A numbered event's own number goes on to every server that it is sent to: by it the event runs once there.
TEST_F(NodeStory, ANumberedEventGoesOnWithItsNumberAtEveryShotAndIsNotTakenWithoutOne) {
  const auto numbered = [](const char* number) {
    fastcgi::Request request = ask();
    request.params[0].second = "/ops/seat.hold";
    if (number != nullptr) request.params.emplace_back("HTTP_X_UNIQUE", number);
    return request;
  };
  server.on_bytes = [](RawPeer& peer) {
    if (peer.seen.ends_with("b\r\n\xff\r\n")) peer.stream->write("9b1f03aa5c7e2d41 SHED - 0\r\n\r\n");
  };
  const auto front = client();
  front->stream->write(fastcgi::write_request(7, numbered("26a4287fdb59d37c05b5da70ad251bf7")));
  ASSERT_TRUE(pump.until([&] { return server.peers.size() >= 2; }));
  for (const auto& peer : server.peers) {
    ASSERT_TRUE(pump.until([&] { return peer->seen.ends_with("b\r\n\xff\r\n"); }));
    EXPECT_NE(peer->seen.find(",replay=26a4287fdb59d37c05b5da70ad251bf7 4\r\n"), std::string::npos)
        << peer->seen;
  }
  ASSERT_TRUE(pump.until([&] { return router.gateway().open_requests() == 0; }));
  const auto taken = router.gateway().tally().accepted;
  for (const char* number :
       {static_cast<const char*>(nullptr), "", "two words", "a,b", "a=b", "line\r\nabort x"}) {
    front->seen.clear();
    front->stream->write(fastcgi::write_request(9, numbered(number)));
    ASSERT_TRUE(seen(*front, fastcgi::end_request(9, fastcgi::Ended::complete, 0)));
    EXPECT_NE(front->seen.find("X-Unique"), std::string::npos);
  }
  EXPECT_EQ(router.gateway().tally().accepted, taken);
}

// What was read before is owed its final answer; nothing after it is read, and the connection ends.
TEST_F(NodeStory, AConnectionThatShowsItselfBrokenGetsTheAnswerThatItsRequestIsOwedAndIsClosed) {
  const auto front = client();
  front->stream->write(fastcgi::write_request(1, ask()));
  ASSERT_TRUE(at_server("invoke"));
  front->stream->write(fastcgi::write_request(1, ask("aaaaaaaaaaaaaaaa")));
  pump.pass(1'000);
  EXPECT_EQ(front->seen, "");
  EXPECT_EQ(router.gateway().open_requests(), 1U);
  for (const auto& peer : server.peers) peer->stream->write(ask().params[1].second + " HIT - 2\r\nok\r\n");
  EXPECT_TRUE(pump.until([&] { return front->ended && router.gateway().open_requests() == 0; }));
  EXPECT_NE(front->seen.find("Status: 200"), std::string::npos);
  EXPECT_NE(front->seen.find(fastcgi::end_request(1, fastcgi::Ended::complete, 0)), std::string::npos);
  EXPECT_EQ(router.gateway().tally().accepted, 1U);
}

TEST_F(NodeStory, SilenceAndHalfARequestAreClosedWhileAnOrdinaryIdleConnectionStays) {
  const auto silent_one = client(), half = client(), ordinary = client();
  half->stream->write(fastcgi::write_request(1, ask()).substr(0, 40));
  ordinary->stream->write(fastcgi::write_request(1, {.params = {{"SCRIPT_NAME", "/alive"}}, .keep = true}));
  EXPECT_TRUE(pump.until([&] { return silent_one->ended && half->ended; }));
  EXPECT_FALSE(ordinary->ended);
}

TEST_F(NodeStory, ToldToEndItGoesOnTakingAndAnswersAllItTook) {
  server.on_bytes = [this](RawPeer& peer) {
    const bool second = peer.seen.find("bbbbbbbbbbbbbbbb") != std::string::npos;
    if (second) peer.stream->write("bbbbbbbbbbbbbbbb HIT - 2\r\nok\r\n");
  };
  bool ended = false;
  router.start_draining([&] { ended = true; });
  const auto front = client();
  front->stream->write(fastcgi::write_request(2, ask("bbbbbbbbbbbbbbbb")));
  ASSERT_TRUE(seen(*front, "Status: 200"));
  EXPECT_FALSE(ended);
  EXPECT_TRUE(pump.until([&] { return ended; }));
}

TEST_F(NodeStory, WithTheBoardElsewhereItIsFollowedThere) {
  RawServer other(reactor);
  router.reconfigure(read_configuration(configuration(other.address(), server.address())));
  EXPECT_TRUE(pump.until([&] { return !other.peers.empty() && other.peers[0]->seen == "watch 1\n"; }));
}

TEST(ConfigurationStory, WhatIsMissingOrWrongIsNamed) {
  const auto fault = [](std::string text, const std::string& from, const std::string& to) -> std::string {
    text.replace(text.find(from), from.size(), to);
    try {
      read_configuration(text);
    } catch (const settings::BadField& wrong) {
      return wrong.what();
    }
    return "";
  };
  const std::string good = configuration("127.0.0.1:1", "127.0.0.1:2");
  EXPECT_EQ(fault(good, "name", "name"), "");
  EXPECT_EQ(fault(good, "\"seed\"", "\"sead\""), "missing field 'seed'");
  EXPECT_EQ(fault(good, "8c1f30d27a5be964", "xyz"), "field 'seed' is not a number in hex digits");
  EXPECT_EQ(fault(good, "\"sockets\":256", "\"sockets\":3"), "field 'limits.sockets' is below 32");
  EXPECT_EQ(fault(good, "\"settings\"", "\"sittings\""), "missing field 'settings'");
  EXPECT_NE(fault(good, "127.0.0.1:0", "localhost:0").find("field 'listen'"), std::string::npos);
  EXPECT_EQ(fault(good, "{", "["), "not JSON");
}

// The notice board is away for ten minutes of emulated time. Meanwhile one server dies, which only
// connections tell; as the board returns it says that the other one leaves.
TEST(UnreachableBoard, TheLastListStandsADeadServerIsLeftAloneAndItsReturnIsObeyedAtOnce) {
  constexpr Time second = 10'000;
  emulator::Network network{2};
  Silent silent;
  const auto serve = [](RawPeer& peer) {
    for (std::size_t at = 0; (at = peer.seen.find("invoke ", at)) != std::string::npos; at += 7)
      peer.stream->write(peer.seen.substr(at + 7, 16) + " HIT remark=reused 2\r\nok\r\n");
    peer.seen.clear();
  };
  auto doomed = std::make_unique<RawServer>(network), board = std::make_unique<RawServer>(network);
  RawServer staying(network), fresh(network);
  int at_staying = 0, at_fresh = 0;
  doomed->on_bytes = serve;
  staying.on_bytes = [&](RawPeer& peer) { ++at_staying, serve(peer); };
  fresh.on_bytes = [&](RawPeer& peer) { ++at_fresh, serve(peer); };
  const auto host = [](const std::string& id, const std::string& dial, const std::string& health) {
    return R"({"host":")" + id + R"(","dial":")" + dial +
           R"(","site":"old","class":"std","block":0,"health":")" + health + R"(","share":1,"born_ms":0})";
  };
  const transport::Address board_at = transport::numeric_address(board->address());
  std::string told = configuration(board->address(), staying.address());
  const std::size_t hosts = told.find(R"("hosts":[)") + 9;
  told.insert(hosts, host("doomed", doomed->address(), "active") + ",");
  Node router{network, read_configuration(told), silent};
  RawPeer front(network, router.address());
  int asked = 0;
  const auto ask_one = [&] {
    const std::string number = std::to_string(1'000'000 + asked++);
    front.stream->write(
        fastcgi::write_request(static_cast<fastcgi::Number>(1 + asked % 9),
                               {.params = {{"SCRIPT_NAME", "/ops/date-lookup"},
                                           {"HTTP_X_JOB_ID", "9b1f03aa5" + number},
                                           {"HTTP_X_ALLOW_MS", "2500"},
                                           {"HTTP_X_TEAM", "acme"},
                                           {"HTTP_X_ITEM", "7f3a9c21e" + number},
                                           {"HTTP_X_FACTS", "memory_mb:512;lanes:2;load_ms:300"},
                                           {"CONTENT_LENGTH", "0"}},
                                .body = "",
                                .keep = true}));
    network.run_until(network.now() + second / 2);
  };
  const auto& tally = router.gateway().tally();
  while (asked < 20) ask_one();
  board.reset();
  while (asked < 240) ask_one();
  EXPECT_GT(at_staying, 20);
  EXPECT_LT(at_staying, 220) << "the last list stands, with both";
  doomed.reset();
  while (asked < 1'220) ask_one();
  EXPECT_EQ(tally.succeeded, static_cast<std::uint64_t>(asked));
  const auto refused = tally.outcomes[static_cast<std::size_t>(AttemptOutcome::connect_failed)];
  EXPECT_GT(refused, 0U);
  EXPECT_LT(refused, 150U) << "of some 500 that would have gone there";
  const Time back = network.now();
  std::vector<std::unique_ptr<RawPeer>> watches;
  const transport::Listener returned(network, board_at, true,
                                     [&](const transport::PendingConnection& arrival) {
                                       watches.push_back(std::make_unique<RawPeer>(network, arrival));
                                     });
  while (watches.empty() && network.now() < back + 10 * second) network.run_until(network.now() + 10);
  ASSERT_FALSE(watches.empty());
  EXPECT_LT(network.now() - back, second);
  watches[0]->stream->write(
      R"({"rev":2,"pool":{"seq":2,"whole":false,"hosts":[)" + host("s1", staying.address(), "leaving") + "," +
      host("doomed", "127.0.0.1:1", "left") + "," + host("fresh", fresh.address(), "active") + "]}}\n");
  network.run_until(network.now() + 20);
  const int last = at_staying;
  for (int i = 0; i < 40; ++i) ask_one();
  EXPECT_EQ(at_staying, last);
  EXPECT_EQ(at_fresh, 40);
  EXPECT_EQ(tally.succeeded, static_cast<std::uint64_t>(asked));
}

}  // namespace
}  // namespace rushhill::node
