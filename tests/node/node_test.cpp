// End-to-end tests of a complete router on loopback sockets: FastCGI clients, servers of the line protocol,
// and a service discovery whose messages the tests write themselves.
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

std::string configuration(const std::string& discovery, const std::string& server,
                          int descriptor_limit = 256) {
  return R"({"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":)" +
         std::to_string(descriptor_limit) + R"(},"board":")" + discovery +
         R"(","known":{"rev":1,"notices":[{"rev":1,"pool":{"seq":1,"whole":true,"hosts":[{"host":"s1","dial":")" +
         server +
         R"(","site":"old","class":"std","block":0,"health":"active","share":1,"born_ms":0}]}}]},"settings":)" +
         settings + "}";
}

class NodeTest : public testing::Test {
 protected:
  std::unique_ptr<RawPeer> client() { return std::make_unique<RawPeer>(reactor, router.address()); }
  static fastcgi::Request invoke_request(const std::string& id = "9b1f03aa5c7e2d41") {
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
  bool receives(const RawPeer& peer, const std::string& what) {
    return driver.until([&] { return peer.seen.find(what) != std::string::npos; });
  }
  bool server_receives(const std::string& what) {
    return driver.until([&] {
      return std::ranges::any_of(server.peers,
                                 [&](const auto& p) { return p->seen.find(what) != std::string::npos; });
    });
  }

  transport::Loop reactor;
  EventLoopDriver driver{reactor};
  NullEventLog null_log;
  RawServer server{reactor}, discovery{reactor};
  Node router{reactor, read_configuration(configuration(discovery.address(), server.address())), null_log};
};

TEST_F(NodeTest, RequestReachesItsServerUnchangedAndTheAnswerItsClient) {
  server.on_bytes = [](RawPeer& peer) {
    if (peer.seen.ends_with("b\r\n\xff\r\n"))
      peer.stream->write("9b1f03aa5c7e2d41 HIT remark=init 6\r\n\r\n\x01ok\n\r\n");
  };
  const auto fastcgi_client = client();
  fastcgi_client->stream->write(fastcgi::write_request(7, invoke_request()));
  ASSERT_TRUE(receives(*fastcgi_client, std::string("\x01ok\n", 4)));
  EXPECT_TRUE(server_receives("invoke 9b1f03aa5c7e2d41 profile=date-lookup,thing=7f3a9c21e0b4d655,max=2"));
  EXPECT_NE(fastcgi_client->seen.find("Status: 200"), std::string::npos);
  EXPECT_TRUE(fastcgi_client->seen.ends_with(fastcgi::end_request(7, fastcgi::Ended::complete, 0)));
  EXPECT_EQ(router.gateway().tally().succeeded, 1U);
}

TEST_F(NodeTest, HealthCheckIsAnsweredAndNotAcceptedAsARequest) {
  const auto fastcgi_client = client();
  fastcgi_client->stream->write(
      fastcgi::write_request(1, {.params = {{"SCRIPT_NAME", "/alive"}}, .keep = true}));
  ASSERT_TRUE(receives(*fastcgi_client, "Status: 200"));
  EXPECT_EQ(router.gateway().tally().accepted, 0U);
}

TEST_F(NodeTest, CancelledRequestCancelsItsAttempt) {
  const auto fastcgi_client = client();
  fastcgi_client->stream->write(fastcgi::write_request(7, invoke_request()));
  ASSERT_TRUE(server_receives("invoke"));
  fastcgi_client->stream->write(std::string("\1\2\0\7\0\0\0\0", 8));
  ASSERT_TRUE(receives(*fastcgi_client, fastcgi::end_request(7, fastcgi::Ended::complete, 1)));
  ASSERT_TRUE(driver.until([&] { return server.peers[0]->ended; }));
  EXPECT_EQ(router.gateway().open_requests(), 0U);
  fastcgi_client->stream->write(fastcgi::write_request(7, invoke_request()));
  EXPECT_TRUE(driver.until([&] { return router.gateway().tally().accepted == 2; }))
      << "the number and id of the cancelled request must be free again";
}

TEST_F(NodeTest, ClientThatClosesLeavesNoOpenRequest) {
  auto fastcgi_client = client();
  fastcgi_client->stream->write(fastcgi::write_request(7, invoke_request()));
  ASSERT_TRUE(server_receives("invoke"));
  fastcgi_client.reset();
  EXPECT_TRUE(driver.until([&] { return router.gateway().open_requests() == 0; }));
}

TEST_F(NodeTest, RequestWithTheIdOfAnOpenRequestIsRefused) {
  const auto first_client = client(), second_client = client();
  first_client->stream->write(fastcgi::write_request(1, invoke_request()));
  ASSERT_TRUE(server_receives("invoke"));
  second_client->stream->write(fastcgi::write_request(1, invoke_request()));
  EXPECT_TRUE(receives(*second_client, "Status: 409"));
  EXPECT_EQ(router.gateway().tally().accepted, 1U);
}

TEST_F(NodeTest, InvalidRequestIsAnsweredWithTheReason) {
  const std::vector<std::tuple<std::string, std::string, std::string>> invalid_parameters{
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
  const auto fastcgi_client = client();
  for (const auto& [name, value, reason] : invalid_parameters) {
    fastcgi::Request request = invoke_request();
    for (auto& [key, old] : request.params) {
      if (key == name) old = value;
    }
    fastcgi_client->seen.clear();
    fastcgi_client->stream->write(fastcgi::write_request(9, request));
    ASSERT_TRUE(receives(*fastcgi_client, fastcgi::end_request(9, fastcgi::Ended::complete, 0))) << value;
    EXPECT_NE(fastcgi_client->seen.find(reason), std::string::npos) << value;
    EXPECT_EQ(fastcgi_client->seen.find("Status: 4"), 8U) << value;
  }
  EXPECT_EQ(router.gateway().tally().accepted, 0U);
}

// Every attempt of a request with an idempotency key carries the key, by which servers run it only once.
TEST_F(NodeTest, EveryAttemptCarriesTheIdempotencyKeyAndARequestWithoutAValidKeyIsRefused) {
  const auto keyed_request = [](const char* key) {
    fastcgi::Request request = invoke_request();
    request.params[0].second = "/ops/seat.hold";
    if (key != nullptr) request.params.emplace_back("HTTP_X_UNIQUE", key);
    return request;
  };
  server.on_bytes = [](RawPeer& peer) {
    if (peer.seen.ends_with("b\r\n\xff\r\n")) peer.stream->write("9b1f03aa5c7e2d41 SHED - 0\r\n\r\n");
  };
  const auto fastcgi_client = client();
  fastcgi_client->stream->write(fastcgi::write_request(7, keyed_request("26a4287fdb59d37c05b5da70ad251bf7")));
  ASSERT_TRUE(driver.until([&] { return server.peers.size() >= 2; }));
  for (const auto& peer : server.peers) {
    ASSERT_TRUE(driver.until([&] { return peer->seen.ends_with("b\r\n\xff\r\n"); }));
    EXPECT_NE(peer->seen.find(",replay=26a4287fdb59d37c05b5da70ad251bf7 4\r\n"), std::string::npos)
        << peer->seen;
  }
  ASSERT_TRUE(driver.until([&] { return router.gateway().open_requests() == 0; }));
  const auto accepted_before = router.gateway().tally().accepted;
  for (const char* key :
       {static_cast<const char*>(nullptr), "", "two words", "a,b", "a=b", "line\r\nabort x"}) {
    fastcgi_client->seen.clear();
    fastcgi_client->stream->write(fastcgi::write_request(9, keyed_request(key)));
    ASSERT_TRUE(receives(*fastcgi_client, fastcgi::end_request(9, fastcgi::Ended::complete, 0)));
    EXPECT_NE(fastcgi_client->seen.find("X-Unique"), std::string::npos);
  }
  EXPECT_EQ(router.gateway().tally().accepted, accepted_before);
}

// The request that was read before the error still gets its final answer; nothing after the error is read,
// and the connection closes.
TEST_F(NodeTest, ConnectionWithAProtocolErrorGetsTheAnswerOfItsRequestAndIsClosed) {
  const auto fastcgi_client = client();
  fastcgi_client->stream->write(fastcgi::write_request(1, invoke_request()));
  ASSERT_TRUE(server_receives("invoke"));
  fastcgi_client->stream->write(fastcgi::write_request(1, invoke_request("aaaaaaaaaaaaaaaa")));
  driver.pass(1'000);
  EXPECT_EQ(fastcgi_client->seen, "");
  EXPECT_EQ(router.gateway().open_requests(), 1U);
  for (const auto& peer : server.peers)
    peer->stream->write(invoke_request().params[1].second + " HIT - 2\r\nok\r\n");
  EXPECT_TRUE(driver.until([&] { return fastcgi_client->ended && router.gateway().open_requests() == 0; }));
  EXPECT_NE(fastcgi_client->seen.find("Status: 200"), std::string::npos);
  EXPECT_NE(fastcgi_client->seen.find(fastcgi::end_request(1, fastcgi::Ended::complete, 0)),
            std::string::npos);
  EXPECT_EQ(router.gateway().tally().accepted, 1U);
}

TEST_F(NodeTest, ConnectionsWithoutACompleteRequestAreClosedAndIdleOnesStay) {
  const auto silent = client(), half = client(), ordinary = client();
  half->stream->write(fastcgi::write_request(1, invoke_request()).substr(0, 40));
  ordinary->stream->write(fastcgi::write_request(1, {.params = {{"SCRIPT_NAME", "/alive"}}, .keep = true}));
  EXPECT_TRUE(driver.until([&] { return silent->ended && half->ended; }));
  EXPECT_FALSE(ordinary->ended);
}

TEST_F(NodeTest, DrainingRouterStillAcceptsAndAnswersRequests) {
  server.on_bytes = [this](RawPeer& peer) {
    const bool second = peer.seen.find("bbbbbbbbbbbbbbbb") != std::string::npos;
    if (second) peer.stream->write("bbbbbbbbbbbbbbbb HIT - 2\r\nok\r\n");
  };
  bool ended = false;
  router.start_draining([&] { ended = true; });
  const auto fastcgi_client = client();
  fastcgi_client->stream->write(fastcgi::write_request(2, invoke_request("bbbbbbbbbbbbbbbb")));
  ASSERT_TRUE(receives(*fastcgi_client, "Status: 200"));
  EXPECT_FALSE(ended);
  EXPECT_TRUE(driver.until([&] { return ended; }));
}

TEST_F(NodeTest, DiscoveryIsFollowedToANewAddress) {
  RawServer moved_discovery(reactor);
  router.reconfigure(read_configuration(configuration(moved_discovery.address(), server.address())));
  EXPECT_TRUE(driver.until(
      [&] { return !moved_discovery.peers.empty() && moved_discovery.peers[0]->seen == "watch 1\n"; }));
}

TEST(NodeConfigurationTest, ErrorNamesTheMissingOrInvalidField) {
  const auto error_after = [](std::string text, const std::string& from,
                              const std::string& to) -> std::string {
    text.replace(text.find(from), from.size(), to);
    try {
      read_configuration(text);
    } catch (const settings::BadField& wrong) {
      return wrong.what();
    }
    return "";
  };
  const std::string good = configuration("127.0.0.1:1", "127.0.0.1:2");
  EXPECT_EQ(error_after(good, "name", "name"), "");
  EXPECT_EQ(error_after(good, "\"seed\"", "\"sead\""), "missing field 'seed'");
  EXPECT_EQ(error_after(good, "8c1f30d27a5be964", "xyz"), "field 'seed' is not a number in hex digits");
  EXPECT_EQ(error_after(good, "\"sockets\":256", "\"sockets\":3"), "field 'limits.sockets' is below 32");
  EXPECT_EQ(error_after(good, "\"settings\"", "\"sittings\""), "missing field 'settings'");
  EXPECT_NE(error_after(good, "127.0.0.1:0", "localhost:0").find("field 'listen'"), std::string::npos);
  EXPECT_EQ(error_after(good, "{", "["), "not JSON");
}

// Service discovery is down for ten minutes of emulated time. Meanwhile one server dies, which only shows in
// failed connections. When discovery returns it reports that the other server is draining.
TEST(NodeDiscoveryOutageTest, LastListStaysInUseWithoutTheDeadServerAndChangesApplyOnReturn) {
  constexpr Time second = 10'000;
  emulator::Network network{2};
  NullEventLog null_log;
  const auto answer_requests = [](RawPeer& peer) {
    for (std::size_t at = 0; (at = peer.seen.find("invoke ", at)) != std::string::npos; at += 7)
      peer.stream->write(peer.seen.substr(at + 7, 16) + " HIT remark=reused 2\r\nok\r\n");
    peer.seen.clear();
  };
  auto dying_server = std::make_unique<RawServer>(network), discovery = std::make_unique<RawServer>(network);
  RawServer remaining_server(network), new_server(network);
  int requests_at_remaining = 0, requests_at_new = 0;
  dying_server->on_bytes = answer_requests;
  remaining_server.on_bytes = [&](RawPeer& peer) { ++requests_at_remaining, answer_requests(peer); };
  new_server.on_bytes = [&](RawPeer& peer) { ++requests_at_new, answer_requests(peer); };
  const auto host = [](const std::string& id, const std::string& dial, const std::string& health) {
    return R"({"host":")" + id + R"(","dial":")" + dial +
           R"(","site":"old","class":"std","block":0,"health":")" + health + R"(","share":1,"born_ms":0})";
  };
  const transport::Address discovery_address = transport::numeric_address(discovery->address());
  std::string configuration_text = configuration(discovery->address(), remaining_server.address());
  const std::size_t hosts = configuration_text.find(R"("hosts":[)") + 9;
  configuration_text.insert(hosts, host("doomed", dying_server->address(), "active") + ",");
  Node router{network, read_configuration(configuration_text), null_log};
  RawPeer fastcgi_client(network, router.address());
  int sent = 0;
  const auto send_request = [&] {
    const std::string number = std::to_string(1'000'000 + sent++);
    fastcgi_client.stream->write(
        fastcgi::write_request(static_cast<fastcgi::Number>(1 + sent % 9),
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
  while (sent < 20) send_request();
  discovery.reset();
  while (sent < 240) send_request();
  EXPECT_GT(requests_at_remaining, 20);
  EXPECT_LT(requests_at_remaining, 220) << "both servers of the last list must be used";
  dying_server.reset();
  while (sent < 1'220) send_request();
  EXPECT_EQ(tally.succeeded, static_cast<std::uint64_t>(sent));
  const auto connect_failures = tally.outcomes[static_cast<std::size_t>(AttemptOutcome::connect_failed)];
  EXPECT_GT(connect_failures, 0U);
  EXPECT_LT(connect_failures, 150U) << "most of about 500 requests must avoid the dead server";
  const Time returned_at = network.now();
  std::vector<std::unique_ptr<RawPeer>> watches;
  const transport::Listener returned_discovery(
      network, discovery_address, true, [&](const transport::PendingConnection& arrival) {
        watches.push_back(std::make_unique<RawPeer>(network, arrival));
      });
  while (watches.empty() && network.now() < returned_at + 10 * second) network.run_until(network.now() + 10);
  ASSERT_FALSE(watches.empty());
  EXPECT_LT(network.now() - returned_at, second);
  watches[0]->stream->write(R"({"rev":2,"pool":{"seq":2,"whole":false,"hosts":[)" +
                            host("s1", remaining_server.address(), "leaving") + "," +
                            host("doomed", "127.0.0.1:1", "left") + "," +
                            host("fresh", new_server.address(), "active") + "]}}\n");
  network.run_until(network.now() + 20);
  const int requests_before = requests_at_remaining;
  for (int i = 0; i < 40; ++i) send_request();
  EXPECT_EQ(requests_at_remaining, requests_before);
  EXPECT_EQ(requests_at_new, 40);
  EXPECT_EQ(tally.succeeded, static_cast<std::uint64_t>(sent));
}

}  // namespace
}  // namespace rushhill::node
