// Guards against requests that are lost or read wrongly when they arrive in pieces: cut at every byte, a byte
// at a time, two interleaved on one connection, or with a pause between two pieces that is longer than the
// client waits for the answer. A request's time counts from its last byte.
#include "node/node.h"
#include "platform_fixture.h"

namespace rushhill::node {
namespace {

constexpr std::size_t record_header = 8;  // bytes
constexpr Time piece_interval = 18'000;   // tenths of a millisecond; longer than the client waits
constexpr int allow_ms = 1'500;           // how long the client waits
constexpr Time server_delay = 5'000;      // tenths of a millisecond; less than the client waits
constexpr int rounds_interleaved = 20;

// Splits a request's bytes into its records.
std::vector<std::string> records_of(const std::string& request) {
  std::vector<std::string> records;
  for (std::size_t at = 0; at < request.size();) {
    const auto byte = [&](std::size_t offset) {
      return static_cast<std::size_t>(static_cast<unsigned char>(request[at + offset]));
    };
    const std::size_t size = record_header + (byte(4) << 8U) + byte(5) + byte(6);
    records.push_back(request.substr(at, size));
    at += size;
  }
  return records;
}

class NodePartialRequestTest : public PlatformTest {
 protected:
  NodePartialRequestTest() {
    server1.on_bytes = [this](RawPeer& peer) {
      if (!answering) return;
      const std::string end = "3\r\nask\r\n";
      for (std::size_t at = 0; (at = peer.seen.find(end)) != std::string::npos;
           peer.seen.erase(0, at + end.size())) {
        answered_ids.push_back(peer.seen.substr(peer.seen.find("invoke ") + 7, 16));
        peer.stream->write(answered_ids.back() + success_answer);
      }
    };
    router = std::make_unique<Node>(
        reactor,
        read_configuration(
            configuration({}, discovery.address(), host("s1", server1.address(), "active", 0, "16"))),
        null_log);
  }
  const frontends::RequestCounts& counts() const { return router->front().counts(); }

  bool answering = true;
  std::vector<std::string> answered_ids;  // of the requests that the server has answered
  std::unique_ptr<Node> router;
};

TEST_F(NodePartialRequestTest, RequestCutAtAnyByteIsReadOnceAndCompletely) {
  TestClient client(router->address());
  const std::size_t size = invoke_request(1, request_id(0)).size();
  for (std::size_t cut = 1; cut < size; ++cut) {
    const auto number = static_cast<fastcgi::Number>(1 + cut % 30);
    const std::string request = invoke_request(number, request_id(static_cast<int>(cut)));
    client.send(request.substr(0, cut));
    driver.pass(5);
    ASSERT_EQ(counts().taken, cut - 1) << "a part of a request must not count as a request";
    client.send(request.substr(cut));
    ASSERT_TRUE(driver.until([&] { return counts().answered == cut; })) << cut;
    ASSERT_EQ(answered_ids.back(), request_id(static_cast<int>(cut)));
  }
  EXPECT_EQ(answered_ids.size(), size - 1);
  EXPECT_EQ(count_in(client.seen(), "Status: 200"), static_cast<int>(size - 1));
}

TEST_F(NodePartialRequestTest, RequestSentByteByByteIsReadOnceAndCompletely) {
  TestClient client(router->address());
  const std::string request = invoke_request(1, request_id(1));
  for (const char byte : request) {
    client.send(std::string(1, byte));
    driver.pass(5);
  }
  EXPECT_TRUE(succeeds(client));
  EXPECT_EQ(answered_ids, std::vector<std::string>{request_id(1)});
}

TEST_F(NodePartialRequestTest, TwoRequestsInterleavedByRecordsAreBothReadWhereverTheyAreCut) {
  TestClient client(router->address());
  std::size_t cut = 1;
  for (int round = 0; round < rounds_interleaved; ++round) {
    const int first = 2 * round, second = 2 * round + 1;
    const auto records = records_of(invoke_request(1, request_id(first)));
    const auto other_records = records_of(invoke_request(2, request_id(second)));
    std::string bytes;
    for (std::size_t i = 0; i < records.size(); ++i)
      bytes += round % 2 == 0 ? records[i] + other_records[i] : other_records[i] + records[i];
    for (; !bytes.empty(); cut = cut * 7 % 101) {
      client.send(bytes.substr(0, cut));
      bytes.erase(0, cut);
      driver.pass(5);
    }
    ASSERT_TRUE(driver.until([&] { return counts().answered == static_cast<std::uint64_t>(second + 1); }));
  }
  EXPECT_EQ(count_in(client.seen(), "Status: 200"), 2 * rounds_interleaved);
}

TEST_F(NodePartialRequestTest, TimeOfARequestCountsFromItsLastByte) {
  answering = false;
  TestClient client(router->address());
  const std::string request = invoke_request(1, request_id(1), {.allow_ms = allow_ms});
  client.send(request.substr(0, request.size() / 2));
  driver.pass(piece_interval);
  client.send(request.substr(request.size() / 2));
  ASSERT_TRUE(server_receives(server1, request_id(1)));
  const std::string& seen = server1.peers.back()->seen;
  const int max = std::stoi(seen.substr(seen.find("max=") + 4));
  EXPECT_GT(max, allow_ms / 2) << "the server must be sent the time that is left";
  EXPECT_LE(max, allow_ms);
  driver.pass(server_delay);
  send_answer(request_id(1), success_answer);
  EXPECT_TRUE(succeeds(client));
}

TEST_F(NodePartialRequestTest, RequestThatTimesOutIsAnsweredWhileAnotherOnItsConnectionIsIncomplete) {
  answering = false;
  TestClient client(router->address());
  const std::string half = invoke_request(2, request_id(2));
  // An idempotent request is rejected at its deadline (503), not failed.
  client.send(invoke_request(1, request_id(1), {.allow_ms = allow_ms}) + half.substr(0, half.size() / 2));
  ASSERT_TRUE(server_receives(server1, request_id(1)));
  ASSERT_TRUE(driver.until([&] { return count_in(client.seen(), "Status: 503") == 1; }, 2 * allow_ms * 10))
      << client.seen();
  client.send(half.substr(half.size() / 2));
  ASSERT_TRUE(server_receives(server1, request_id(2)));
  send_answer(request_id(2), success_answer);
  EXPECT_TRUE(succeeds(client));
  EXPECT_EQ(counts().dropped, 0U);
}

}  // namespace
}  // namespace rushhill::node
