// Guards against requests that are lost, or sent to the wrong server, when the configuration is reloaded
// (SIGHUP). The new one drains a server, drops another and moves discovery, while requests wait for capacity,
// for a prewarm or for a connection, or are at the server that drains. The router is a separate process; the
// tests check what its servers and clients receive.
#include "node_process.h"
#include "platform_fixture.h"

namespace rushhill::node {
namespace {

constexpr const char* first_id = "aaaaaaaaaaaaaaaa";
constexpr const char* second_id = "bbbbbbbbbbbbbbbb";
constexpr const char* third_id = "cccccccccccccccc";
constexpr Time observation_time = 5'000;  // tenths of a millisecond; for an unwanted message to show
constexpr Time follow_within = 12'000;    // less than the silence after which a watch is replaced anyway
constexpr Time drain_grace = 20'000;      // as configured
constexpr int half_written_ms = 300;      // how long the file stays half written
constexpr const char* reloaded_log = "configuration read again";

class NodeReloadTest : public PlatformTest {
 protected:
  void start(const std::string& hosts) {
    process = std::make_unique<NodeProcess>(configuration(settings, discovery.address(), hosts));
    address = std::make_unique<transport::Address>(process->address());
    ASSERT_TRUE(discovery_receives(discovery, "watch 1\n"));
  }
  // The first server drains, the third is removed, the second is available; discovery has moved.
  std::string drained_configuration(const std::string& draining) {
    return configuration(settings, moved_discovery.address(),
                         host("s1", draining, "leaving") + "," + host("s2", server2.address()), 2);
  }
  bool reload_succeeds(const std::string& text) {
    process->reload(text);
    return process->wait_for_log(reloaded_log);
  }

  Settings settings;
  RawServer moved_discovery{reactor}, third_server{reactor};
  std::unique_ptr<transport::Address> address;
  std::unique_ptr<NodeProcess> process;
};

TEST_F(NodeReloadTest, RequestsAtADrainingServerAreAnsweredAndPendingOnesMoveToAnother) {
  start(host("s1", server1.address(), "active", unix_time_ms()));
  TestClient client(*address), pending_client(*address);
  client.send(invoke_request(1, first_id) + invoke_request(2, second_id));
  ASSERT_TRUE(server_receives(server1, first_id) && server_receives(server1, second_id));
  pending_client.send(invoke_request(3, third_id));
  driver.pass(observation_time);
  ASSERT_EQ(count_at_server(server1, third_id), 0) << "the third request must be pending";
  ASSERT_TRUE(reload_succeeds(drained_configuration(server1.address())));
  EXPECT_TRUE(server_receives(server2, third_id));
  EXPECT_TRUE(discovery_receives(moved_discovery, "watch 2\n"));
  send_answer(first_id, success_answer);
  send_answer(second_id, success_answer);
  send_answer(third_id, success_answer);
  EXPECT_TRUE(succeeds(client, 2) && succeeds(pending_client));
  EXPECT_EQ(count_at_server(server1, third_id), 0);
}

TEST_F(NodeReloadTest, RequestThatWaitsForAPrewarmMovesToAnotherServer) {
  settings.not_loaded_policy = "miss";
  start(host("s1", server1.address()));
  TestClient client(*address);
  client.send(invoke_request(1, first_id));
  ASSERT_TRUE(server_receives(server1, first_id));
  send_answer(first_id, not_loaded_answer);
  ASSERT_TRUE(server_receives(server1, "prewarm "));
  ASSERT_TRUE(reload_succeeds(drained_configuration(server1.address())));
  ASSERT_TRUE(driver.until([&] {
    return count_at_server(server2, "invoke " + std::string(first_id)) +
               count_at_server(server2, "prewarm ") >
           0;
  }));
  for (const auto& peer : server2.peers) {
    const std::size_t prewarm_begin = peer->seen.find("prewarm ");
    if (prewarm_begin == std::string::npos) continue;
    const std::size_t tag = prewarm_begin + 8;
    peer->stream->write(peer->seen.substr(tag, peer->seen.find(' ', tag) - tag) + " HIT units=1 0\r\n\r\n");
  }
  ASSERT_TRUE(server_receives(server2, first_id));
  send_answer(first_id, success_answer);
  EXPECT_TRUE(succeeds(client));
  EXPECT_EQ(count_at_server(server1, "invoke "), 1);
}

TEST_F(NodeReloadTest, RequestThatWaitsForAConnectionMovesToAnotherServer) {
  SlowListener slow_listener;
  start(host("s1", slow_listener.address()));
  TestClient client(*address);
  client.send(invoke_request(1, first_id));
  driver.pass(observation_time);
  ASSERT_TRUE(reload_succeeds(drained_configuration(slow_listener.address())));
  ASSERT_TRUE(server_receives(server2, first_id));
  send_answer(first_id, success_answer);
  EXPECT_TRUE(succeeds(client));
  slow_listener.accept_next(2'000);
  driver.pass(observation_time);
  EXPECT_EQ(slow_listener.received(), "");
}

TEST_F(NodeReloadTest, NewRequestsAvoidServersThatDrainOrAreMissingFromTheNewList) {
  start(host("s1", server1.address()) + "," + host("s3", third_server.address()));
  TestClient client(*address);
  ASSERT_TRUE(reload_succeeds(drained_configuration(server1.address())));
  ASSERT_TRUE(discovery_receives(moved_discovery, "watch 2\n"));
  for (int i = 0; i < 30; ++i) {
    const std::string id = "aaaaaaaaaaaaaa" + std::to_string(10 + i);
    client.send(invoke_request(static_cast<fastcgi::Number>(1 + i), id));
    ASSERT_TRUE(server_receives(server2, id));
    send_answer(id, success_answer);
  }
  EXPECT_TRUE(succeeds(client, 30));
  EXPECT_EQ(count_at_server(server1, "invoke "), 0);
  EXPECT_EQ(count_at_server(third_server, "invoke "), 0);
}

TEST_F(NodeReloadTest, LastOfTwoQuickReloadsTakesEffect) {
  RawServer last_discovery(reactor);
  start(host("s1", server1.address()));
  process->reload(drained_configuration(server1.address()));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  process->reload(configuration(settings, last_discovery.address(), host("s3", third_server.address()), 3));
  ASSERT_TRUE(driver.until([&] { return !last_discovery.peers.empty(); }, follow_within))
      << "discovery must be followed before a silent watch would be replaced";
  ASSERT_TRUE(discovery_receives(last_discovery, "watch 3\n"));
  TestClient client(*address);
  client.send(invoke_request(1, first_id));
  ASSERT_TRUE(server_receives(third_server, first_id));
  send_answer(first_id, success_answer);
  last_discovery.peers.back()->stream->write(notice(4, host("s4", server2.address())));
  const auto still_watched = [&] {
    return std::ranges::any_of(moved_discovery.peers, [](const auto& peer) { return !peer->ended; });
  };
  EXPECT_TRUE(driver.until([&] { return !still_watched(); }));
  driver.pass(observation_time);
  EXPECT_FALSE(still_watched());
  EXPECT_EQ(count_at_server(server1, "invoke ") + count_at_server(server2, "invoke "), 0);
}

TEST_F(NodeReloadTest, HalfWrittenFileTakesEffectOnlyWhenItIsComplete) {
  start(host("s1", server1.address()));
  const std::string text = drained_configuration(server1.address());
  process->reload(text.substr(0, text.size() / 2));
  stall_loop(half_written_ms);
  TestClient client(*address);
  client.send(invoke_request(1, first_id));
  ASSERT_TRUE(server_receives(server1, first_id)) << "the old configuration must stay in effect meanwhile";
  EXPECT_TRUE(moved_discovery.peers.empty());
  process->write_configuration(text);
  ASSERT_TRUE(process->wait_for_log(reloaded_log));
  EXPECT_TRUE(discovery_receives(moved_discovery, "watch 2\n"));
  client.send(invoke_request(2, second_id));
  EXPECT_TRUE(server_receives(server2, second_id));
  send_answer(first_id, success_answer);
  send_answer(second_id, success_answer);
  EXPECT_TRUE(succeeds(client, 2));
}

TEST_F(NodeReloadTest, FileThatStaysHalfWrittenIsLoggedAndTheNextOneTakesEffect) {
  start(host("s1", server1.address()));
  const std::string text = drained_configuration(server1.address());
  process->reload(text.substr(0, text.size() / 2));
  ASSERT_TRUE(process->wait_for_log("configuration not read: the old one stays"));
  EXPECT_NE(process->output().find("not JSON"), std::string::npos) << process->output();
  TestClient client(*address);
  client.send(invoke_request(1, first_id));
  ASSERT_TRUE(server_receives(server1, first_id));
  send_answer(first_id, success_answer);
  EXPECT_TRUE(succeeds(client));
  ASSERT_TRUE(reload_succeeds(text));
  client.send(invoke_request(2, second_id));
  EXPECT_TRUE(server_receives(server2, second_id));
}

TEST_F(NodeReloadTest, ReloadWhileDrainingTakesEffectAndOpenRequestsAreAnswered) {
  start(host("s1", server1.address()));
  TestClient client(*address);
  client.send(invoke_request(1, first_id));
  ASSERT_TRUE(server_receives(server1, first_id));
  process->signal(SIGTERM);
  ASSERT_TRUE(process->wait_for_log("winding up"));
  ASSERT_TRUE(reload_succeeds(drained_configuration(server1.address())));
  client.send(invoke_request(2, second_id));
  ASSERT_TRUE(server_receives(server2, second_id));
  send_answer(first_id, success_answer);
  send_answer(second_id, success_answer);
  EXPECT_TRUE(succeeds(client, 2));
  EXPECT_TRUE(process->exits_successfully());
  EXPECT_EQ(count_at_server(server1, "invoke "), 1);
}

// Limits change only at a restart, and the log says so. Open requests keep theirs too.
TEST_F(NodeReloadTest, ChangedLimitsAreLoggedAndDoNotTakeEffect) {
  start(host("s1", server1.address()));
  TestClient client(*address);
  client.send(invoke_request(1, first_id) + invoke_request(2, second_id));
  ASSERT_TRUE(server_receives(server1, first_id) && server_receives(server1, second_id));
  settings.attempt_limit = "1";
  settings.descriptor_limit = "32";
  process->reload(configuration(settings, discovery.address(), host("s1", server1.address())));
  ASSERT_TRUE(process->wait_for_log("take effect at a restart"));
  send_answer(first_id, overloaded_answer);
  ASSERT_TRUE(driver.until([&] { return count_at_server(server1, "invoke " + std::string(first_id)) >= 2; }))
      << "a second attempt must follow, as the first configuration allows";
  send_answer(first_id, success_answer);
  send_answer(second_id, success_answer);
  EXPECT_TRUE(succeeds(client, 2));
}

// The connections to a server that is missing from the new list are closed after the drain grace. A request
// that was there still ends with an answer in time.
TEST_F(NodeReloadTest, RequestAtAServerMissingFromTheNewListEndsInTime) {
  start(host("s3", third_server.address()));
  TestClient client(*address);
  client.send(invoke_request(1, first_id));
  ASSERT_TRUE(server_receives(third_server, first_id));
  ASSERT_TRUE(reload_succeeds(drained_configuration(server1.address())));
  EXPECT_TRUE(driver.until([&] { return count_in(client.seen(), "Status: ") == 1; }, drain_grace + 10'000));
  EXPECT_EQ(count_at_server(third_server, "invoke "), 1);
}

}  // namespace
}  // namespace rushhill::node
