// Guards against an attempt for a client that has left: its leaving stands behind much else that it sent, and
// a router that reads its clients in turns has not read that far when the next attempt is decided.
#include "node/node.h"
#include "platform_fixture.h"

namespace rushhill::node {
namespace {

constexpr int requests_before_the_abort = 4'000;  // that the router answers by itself, over several turns
constexpr int sending_ms = 50;                    // enough for the system to take them
constexpr Time observation_time = 5'000;          // tenths of a millisecond

std::string requests_of_unknown_class() {
  std::string bytes;
  for (int i = 0; i < requests_before_the_abort; ++i)
    bytes += fastcgi::write_request(static_cast<fastcgi::Number>(2 + i),
                                    {.params = {{"SCRIPT_NAME", "/ops/no-such-class"}}, .keep = true});
  return bytes;
}

class NodeDelayedReadingTest : public PlatformTest {};

TEST_F(NodeDelayedReadingTest, NoFurtherAttemptStartsWhileTheClientsAbortIsUnread) {
  Node router(
      reactor,
      read_configuration(configuration({}, discovery.address(),
                                       host("s1", server1.address()) + "," + host("s2", server2.address()))),
      null_log);
  TestClient client(router.address());
  client.send(invoke_request(1, request_id(1)));
  ASSERT_TRUE(servers_receive(request_id(1)));
  // The loop does not run meanwhile. When it does, the answer lets the policy choose the other server.
  const std::string bytes = requests_of_unknown_class() + abort_request(1);
  std::thread sender([&] { client.send(bytes); });
  stall_loop(sending_ms);
  send_answer(request_id(1), overloaded_answer);
  driver.until([&] { return client.seen(), false; }, observation_time);
  sender.join();
  EXPECT_EQ(count_at_servers("invoke " + request_id(1)), 1);
  EXPECT_EQ(router.gateway().open_requests(), 0U);
}

}  // namespace
}  // namespace rushhill::node
