// Guards against a request that runs twice, since a further attempt that was chosen in time leaves only after
// the servers have forgotten its key: the attempt's connection is established late.
#include "node/node.h"
#include "platform_fixture.h"

namespace rushhill::node {
namespace {

constexpr const char* deduplication_span_ns = "800000000";
constexpr const char* failure_answer = " FAULT - 0\r\n\r\n";
constexpr Time until_the_failure = 2'000;  // tenths of a millisecond from the first attempt on
constexpr Time observation_time = 2'000;   // for an unwanted attempt to show

class NodeDeduplicationSpanTest : public PlatformTest {};

TEST_F(NodeDeduplicationSpanTest, AttemptWhoseConnectionComesUpAfterTheSpanIsNotSent) {
  SlowListener slow_listener;  // its connections come up after a second
  Settings settings;
  settings.retry_safety = "guarded";
  settings.deduplication_span = deduplication_span_ns;
  Node router(reactor,
              read_configuration(configuration(settings, discovery.address(), host("s1", server1.address()))),
              null_log);
  ASSERT_TRUE(discovery_receives(discovery, "watch 1\n"));
  TestClient client(router.address());
  client.send(invoke_request(1, request_id(1), {.key = "key-1"}));
  ASSERT_TRUE(server_receives(server1, request_id(1)));
  // Only the other server may get a further attempt.
  discovery.peers.back()->stream->write(
      notice(2, host("s1", server1.address(), "leaving") + "," + host("s2", slow_listener.address())));
  driver.pass(until_the_failure);
  send_answer(request_id(1), failure_answer);
  ASSERT_TRUE(driver.until([&] { return router.gateway().tally().attempts == 2; }));
  ASSERT_TRUE(slow_listener.accept_next());
  EXPECT_TRUE(driver.until([&] { return count_in(client.seen(), "Status: ") == 1; }));
  driver.pass(observation_time);
  EXPECT_EQ(slow_listener.received(), "");
}

}  // namespace
}  // namespace rushhill::node
