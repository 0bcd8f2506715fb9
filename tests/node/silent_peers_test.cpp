// Guards against requests that are lost or delayed by a server that stops in the middle of an answer, or by
// another router that is stopped for seconds.
#include "node/node.h"
#include "node_process.h"
#include "platform_fixture.h"

namespace rushhill::node {
namespace {

constexpr Time second = 10'000;    // tenths of a millisecond
constexpr Time deadline = 25'000;  // as configured
constexpr const char* half_answer = " HIT - 2\r\no";
constexpr const char* other_half = "k\r\n";

class NodeSilentServerTest : public PlatformTest, public testing::WithParamInterface<const char*> {
 protected:
  void start(const std::string& hosts) {
    settings.retry_safety = GetParam();
    settings.latency_objective = "500000000";
    settings.cancel = "true";
    router = std::make_unique<Node>(
        reactor, read_configuration(configuration(settings, discovery.address(), hosts)), null_log);
  }
  Settings settings;
  std::unique_ptr<Node> router;
};
INSTANTIATE_TEST_SUITE_P(Effects, NodeSilentServerTest, testing::Values("free", "single_shot"));

TEST_P(NodeSilentServerTest, RequestWithHalfAnAnswerEndsInTimeAndItsConnectionIsNotUsedAgain) {
  const bool repeatable = GetParam() == std::string("free");
  start(host("s1", server1.address()) + "," + host("s2", server2.address()));
  TestClient client(router->address());
  client.send(invoke_request(1, request_id(1)));
  ASSERT_TRUE(servers_receive(request_id(1)));
  const bool at_server1 = count_at_server(server1, request_id(1)) > 0;
  const RawServer& first = at_server1 ? server1 : server2;
  const RawServer& second_server = at_server1 ? server2 : server1;
  RawPeer& connection = *first.peers.back();
  connection.stream->write(request_id(1) + half_answer);
  if (repeatable) {
    ASSERT_TRUE(server_receives(second_server, request_id(1)))
        << "an idempotent request must be retried at the other server";
    for (const auto& peer : second_server.peers) peer->stream->write(request_id(1) + success_answer);
  }
  EXPECT_TRUE(driver.until([&] { return count_in(client.seen(), "Status: ") == 1; }, deadline + second));
  EXPECT_EQ(count_in(client.seen(), repeatable ? "Status: 200" : "Status: 504"), 1);
  EXPECT_EQ(count_at_server(second_server, "invoke "), repeatable ? 1 : 0);
  connection.stream->write(other_half);
  const std::string received_before = connection.seen;
  for (int i = 2; i < 6; ++i) {
    client.send(invoke_request(static_cast<fastcgi::Number>(i), request_id(i)));
    ASSERT_TRUE(servers_receive(request_id(i)));
    send_answer(request_id(i), success_answer);
    ASSERT_TRUE(driver.until([&] { return count_in(client.seen(), "Status: ") == i; }));
  }
  EXPECT_EQ(count_in(connection.seen, "invoke "), count_in(received_before, "invoke "));
  EXPECT_EQ(count_in(client.seen(), "Status: "), 5)
      << "each request must get one answer, without the late half";
}

class NodeStoppedRouterTest : public PlatformTest {};

TEST_F(NodeStoppedRouterTest, StoppedRouterDelaysNoOtherAndServesWhenItContinues) {
  const ReservedAddress first_address(reactor), second_address(reactor);
  Settings settings;
  settings.routers = 2;
  settings.peers = "\"" + first_address.text() + "\",\"" + second_address.text() + "\"";
  settings.peer_listen = first_address.text();
  server1.on_bytes = answer_all_requests;
  const std::string hosts = host("s1", server1.address(), "active", 0, "16");
  NodeProcess first(configuration(settings, discovery.address(), hosts));
  const transport::Address first_router = first.address();
  settings.router_number = 1;
  settings.peer_listen = second_address.text();
  NodeProcess second_process(configuration(settings, discovery.address(), hosts));
  const transport::Address second_router = second_process.address();
  TestClient to_first(first_router), to_second(second_router);
  to_second.send(invoke_request(1, request_id(1)));
  ASSERT_TRUE(succeeds(to_second));
  second_process.signal(SIGSTOP);
  constexpr int rounds = 30;  // a tenth of a second each
  for (int i = 0; i < rounds; ++i) {
    to_first.send(invoke_request(static_cast<fastcgi::Number>(1 + i), request_id(10 + i)));
    driver.pass(second / 10);
    ASSERT_EQ(count_in(to_first.seen(), "Status: 200"), i + 1)
        << "each request must be answered within a tenth of a second";
  }
  second_process.signal(SIGCONT);
  to_second.send(invoke_request(2, request_id(2)));
  EXPECT_TRUE(succeeds(to_second, 2));
}

}  // namespace
}  // namespace rushhill::node
