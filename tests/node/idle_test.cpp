// Guards against an idle router that uses processor time, datagrams or connections, and against one that then
// uses an outdated endpoint list. The router is a separate process that gets no request for a minute. What it
// sends is counted at the sockets of its peers.
#include "crowd.h"
#include "node_process.h"
#include "platform_fixture.h"

namespace rushhill::node {
namespace {

constexpr int idle_seconds = 60;
constexpr Time second = 10'000;  // tenths of a millisecond
#ifdef __SANITIZE_ADDRESS__
constexpr double sanitizer_slowdown = 10;  // with sanitizers and without optimization
#else
constexpr double sanitizer_slowdown = 1;
#endif
constexpr double max_processor_seconds = 0.001 * idle_seconds * sanitizer_slowdown;  // a thousandth of a core
constexpr int max_datagrams = 2 * idle_seconds;  // to each peer; two a second

class NodeIdleTest : public PlatformTest {
 protected:
  // Discovery sends a heartbeat each second, and halfway through the change of the endpoint list.
  void idle_for_a_minute(const std::string& change) {
    for (int i = 1; i <= idle_seconds; ++i) {
      RawPeer& watch = *discovery.peers.back();
      if (i == idle_seconds / 2) watch.stream->write(change);
      watch.stream->write(std::string(i < idle_seconds / 2 ? "1" : "2") + "\n");
      driver.pass(second);
    }
  }

  int datagrams = 0;
  const std::unique_ptr<transport::BoundSocket> peer = reactor.open_datagrams(
      transport::numeric_address("127.0.0.1:0"), [this](const auto&, std::string_view) { ++datagrams; });
  const ReservedAddress own_peer_address{reactor};
};

TEST_F(NodeIdleTest, MinuteWithoutRequestsCostsAlmostNothingAndTheNextRequestUsesTheCurrentList) {
  Settings settings;
  settings.retry_safety = "single_shot";
  settings.routers = 2;
  settings.peer_listen = own_peer_address.text();
  settings.peers = "\"" + settings.peer_listen + "\",\"" + peer->address().toString() + "\"";
  server1.on_bytes = answer_all_requests;
  NodeProcess process(configuration(settings, discovery.address(), host("s1", server1.address())));
  const transport::Address address = process.address();
  ASSERT_TRUE(discovery_receives(discovery, "watch 1\n"));
  TestClient client_before(address);
  client_before.send(invoke_request(1, request_id(1)));
  ASSERT_TRUE(succeeds(client_before));
  client_before.leave();
  driver.pass(second);
  const std::size_t connections = server1.peers.size();
  const double used_before = process.processor_seconds();
  datagrams = 0;

  idle_for_a_minute(notice(2, host("s1", server1.address(), "left") + "," + host("s2", server2.address())));

  const double used_while_idle = process.processor_seconds() - used_before;
  std::cout << "    one minute without requests: " << used_while_idle << " s of processor time, " << datagrams
            << " datagrams to the router's peer\n";
  EXPECT_LE(used_while_idle, max_processor_seconds);
  EXPECT_LE(datagrams, max_datagrams);
  EXPECT_EQ(discovery.peers.size(), 1U) << "discovery must be watched on one connection";
  EXPECT_EQ(discovery.peers[0]->seen, "watch 1\n") << "nothing more may be sent to discovery";
  EXPECT_EQ(server1.peers.size(), connections) << "no new connection may be opened to a server";
  EXPECT_TRUE(std::ranges::all_of(server1.peers, [](const auto& connection) { return connection->ended; }))
      << "the router must close idle connections before the server would";
  EXPECT_TRUE(server2.peers.empty());

  TestClient client_after(address);
  client_after.send(invoke_request(1, request_id(2)));
  ASSERT_TRUE(server_receives(server2, request_id(2)))
      << "the request must go to the server of the current list";
  send_answer(request_id(2), success_answer);
  EXPECT_TRUE(succeeds(client_after));
  EXPECT_EQ(count_at_server(server1, "invoke ") + count_at_server(server2, "invoke "), 1) << "once";
}

}  // namespace
}  // namespace rushhill::node
