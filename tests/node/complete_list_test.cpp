// Guards against errors when discovery sends the complete list where changes were expected: servers missing
// from it are removed and drain from then on, servers with another start time are cold, and everything else
// stays as it was.
#include "node/node.h"
#include "platform_fixture.h"

namespace rushhill::node {
namespace {

constexpr const char* first_id = "aaaaaaaaaaaaaaaa";
constexpr Time observation_time = 5'000;  // tenths of a millisecond; for an unwanted request to show
constexpr Time drain_grace = 20'000;      // as configured
constexpr int requests_at_once = 6;       // more than a cold server gets, fewer than a warm one can take
constexpr int max_at_cold_server = 3;     // of them, at the rating 1

class NodeCompleteListTest : public PlatformTest {
 protected:
  void start(const std::string& hosts) {
    router = std::make_unique<Node>(
        reactor, read_configuration(configuration(settings, discovery.address(), hosts)), null_log);
    ASSERT_TRUE(discovery_receives(discovery, "watch 1\n"));
  }
  void send_list(const std::string& message) {
    discovery.peers.back()->stream->write(message);
    driver.pass(100);
  }
  void send_requests(TestClient& client, int count) {
    for (int i = 0; i < count; ++i) {
      ++sent;
      client.send(invoke_request(static_cast<fastcgi::Number>(sent), request_id(sent)));
    }
  }
  // Answers all requests that are unanswered at either server.
  void answer_open_requests() {
    for (RawServer* server : {&server1, &server2}) {
      for (const auto& peer : server->peers) answer_all_requests(*peer);
    }
  }

  Settings settings;
  int sent = 0;
  std::unique_ptr<Node> router;
};

TEST_F(NodeCompleteListTest, MissingServerIsRemovedAndItsRequestsAreAnsweredWithinTheDrainGrace) {
  start(host("s1", server1.address()));
  TestClient client(router->address());
  client.send(invoke_request(100, first_id));
  ASSERT_TRUE(server_receives(server1, first_id));
  send_list(whole_list(2, host("s2", server2.address())));
  send_requests(client, requests_at_once);
  ASSERT_TRUE(driver.until([&] { return count_at_server(server2, "invoke ") == requests_at_once; }));
  driver.pass(drain_grace / 2);
  answer_open_requests();
  EXPECT_TRUE(succeeds(client, requests_at_once + 1));
  driver.pass(drain_grace);
  send_requests(client, requests_at_once);
  ASSERT_TRUE(driver.until([&] { return count_at_server(server2, "invoke ") == requests_at_once; }));
  EXPECT_EQ(count_at_server(server1, "invoke "), 0)
      << "the removed server must get no request after those it answered";
}

TEST_F(NodeCompleteListTest, ServerWithANewStartTimeIsColdAndOneWithTheSameStartTimeIsNot) {
  start(host("s1", server1.address()));
  TestClient client(router->address());
  send_requests(client, requests_at_once);
  ASSERT_TRUE(driver.until([&] { return count_at_server(server1, "invoke ") == requests_at_once; }))
      << "warm";
  answer_open_requests();
  ASSERT_TRUE(succeeds(client, requests_at_once));
  send_list(whole_list(2, host("s1", server1.address())));
  send_requests(client, requests_at_once);
  ASSERT_TRUE(driver.until([&] { return count_at_server(server1, "invoke ") == requests_at_once; }))
      << "the server must still be warm";
  answer_open_requests();
  ASSERT_TRUE(succeeds(client, 2 * requests_at_once));
  send_list(whole_list(3, host("s1", server1.address(), "active", unix_time_ms())));
  send_requests(client, requests_at_once);
  driver.pass(observation_time);
  EXPECT_GE(count_at_server(server1, "invoke "), 1);
  EXPECT_LE(count_at_server(server1, "invoke "), max_at_cold_server);
}

TEST_F(NodeCompleteListTest, NumbersMaySkipToACompleteListAndContinueFromThere) {
  start(host("s1", server1.address()));
  send_list(whole_list(9, host("s2", server2.address())));
  send_list(notice(10, host("s3", server1.address())));
  driver.pass(observation_time);
  EXPECT_EQ(discovery.peers.size(), 1U) << "discovery must not be watched anew without a gap";
  send_list(notice(12, host("s4", server1.address())));
  EXPECT_TRUE(discovery_receives(discovery, "watch 10\n")) << "a gap between changes must cause a new watch";
}

TEST_F(NodeCompleteListTest, EmptyListRemovesAllServersAndTheNextListRestoresThem) {
  start(host("s1", server1.address()));
  TestClient client(router->address());
  send_list(whole_list(2, ""));
  send_requests(client, 1);
  EXPECT_TRUE(driver.until([&] { return count_in(client.seen(), "Status: 50") == 1; }, 30'000));
  EXPECT_EQ(count_at_server(server1, "invoke "), 0);
  send_list(whole_list(3, host("s1", server1.address())));
  send_requests(client, 1);
  ASSERT_TRUE(server_receives(server1, request_id(sent)));
  answer_open_requests();
  EXPECT_TRUE(succeeds(client));
}

TEST_F(NodeCompleteListTest, RepeatedListChangesNothing) {
  start(host("s1", server1.address()));
  TestClient client(router->address());
  send_requests(client, requests_at_once);
  ASSERT_TRUE(driver.until([&] { return count_at_server(server1, "invoke ") == requests_at_once; }));
  const std::size_t connections = server1.peers.size();
  send_list(whole_list(2, host("s1", server1.address())));
  send_list(whole_list(2, host("s1", server1.address())));
  send_list(whole_list(3, host("s1", server1.address())));
  driver.pass(observation_time);
  answer_open_requests();
  EXPECT_TRUE(succeeds(client, requests_at_once))
      << "each request must be answered on the connection that it was sent on";
  send_requests(client, requests_at_once);
  ASSERT_TRUE(driver.until([&] { return count_at_server(server1, "invoke ") == requests_at_once; }))
      << "the server must not be cold";
  EXPECT_EQ(server1.peers.size(), connections) << "requests must use the existing connections";
  EXPECT_EQ(discovery.peers.size(), 1U);
}

}  // namespace
}  // namespace rushhill::node
