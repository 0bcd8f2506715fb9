// Guards against attempts for a client that closed its connection or cancelled more than 0.1 s before. The
// router process is stopped while clients do so, and has a burst of requests to read when it continues. The
// test counts what the servers receive.
#include <set>

#include "node_process.h"
#include "platform_fixture.h"

namespace rushhill::node {
namespace {

constexpr int withdrawing_clients = 8;
constexpr int burst_connections = 4, burst_requests_per_connection = 25;
constexpr int stopped_ms = 250;           // longer than the 0.1 s in which an attempt may still start
constexpr Time observation_time = 3'000;  // tenths of a millisecond; for an unwanted attempt to show
constexpr Time deadline = 30'000;         // of the burst's requests, plus half a second for the final answer
constexpr const char* end_of_request = "\1\3";
constexpr int first_pending_id = 100;  // ids of requests that are at a server when the process is stopped
constexpr int first_unread_id = 200;   // ids of requests that arrive while it is stopped
constexpr int first_burst_id = 300;    // ids of the burst's requests
constexpr int remaining_id = 99;       // id of the request whose client neither closes nor cancels

// How a client withdraws its request.
enum class Withdrawal { cancels, closes, half_closes, resets };

std::ostream& operator<<(std::ostream& out, Withdrawal withdrawal) {
  constexpr const char* names[] = {"Cancels", "Closes", "HalfCloses", "Resets"};
  return out << names[static_cast<int>(withdrawal)];
}

class NodeCancelWhileStoppedTest : public PlatformTest, public testing::WithParamInterface<Withdrawal> {
 protected:
  NodeCancelWhileStoppedTest()
      : process(configuration(settings(), discovery.address(),
                              host("s1", server1.address(), "active", 0, "64") + "," +
                                  host("s2", server2.address(), "active", 0, "64"))),
        address(process.address()) {
    for (RawServer* server : {&server1, &server2})
      server->on_bytes = [this](RawPeer& peer) { answer_burst(peer); };
  }
  static Settings settings() {
    Settings result;
    result.requests_per_connection = "1";
    return result;
  }
  static void withdraw_request(TestClient& client) {
    switch (GetParam()) {
      case Withdrawal::cancels:
        return client.send(abort_request(1));
      case Withdrawal::closes:
        return client.leave();
      case Withdrawal::half_closes:
        return client.half_close();
      case Withdrawal::resets:
        return client.reset();
    }
  }
  // These clients have nothing to read, so that their close does not become a reset.
  std::vector<std::unique_ptr<TestClient>> connect_clients(int first) {
    std::vector<std::unique_ptr<TestClient>> all;
    for (int i = 0; i < withdrawing_clients; ++i) {
      all.push_back(std::make_unique<TestClient>(address));
      all.back()->send(invoke_request(1, request_id(first + i)));
    }
    return all;
  }
  std::vector<std::unique_ptr<TestClient>> send_burst() {
    std::vector<std::unique_ptr<TestClient>> all;
    for (int i = 0; i < burst_connections; ++i) {
      all.push_back(std::make_unique<TestClient>(address));
      for (int j = 0; j < burst_requests_per_connection; ++j)
        all.back()->send(invoke_request(static_cast<fastcgi::Number>(1 + j),
                                        request_id(first_burst_id + i * burst_requests_per_connection + j)));
    }
    return all;
  }
  // Answers the requests of the burst and no others.
  void answer_burst(RawPeer& peer) {
    for (std::size_t at = 0; (at = peer.seen.find("invoke ", at)) != std::string::npos; at += 7) {
      const std::string id = peer.seen.substr(at + 7, 16);
      if (id.size() == 16 && std::stoi(id) >= first_burst_id && answered_ids.insert(id).second)
        peer.stream->write(id + success_answer);
    }
  }

  std::set<std::string> answered_ids;
  NodeProcess process;
  transport::Address address;
};
INSTANTIATE_TEST_SUITE_P(Withdrawals, NodeCancelWhileStoppedTest,
                         testing::Values(Withdrawal::cancels, Withdrawal::closes, Withdrawal::half_closes,
                                         Withdrawal::resets));

TEST_P(NodeCancelWhileStoppedTest, StartsNoAttemptForClientsThatWithdrewWhileTheProcessWasStopped) {
  const auto pending_clients = connect_clients(first_pending_id);
  TestClient remaining_client(address);
  remaining_client.send(invoke_request(1, request_id(remaining_id)));
  for (int i = 0; i < withdrawing_clients; ++i)
    ASSERT_TRUE(servers_receive(request_id(first_pending_id + i)));
  ASSERT_TRUE(servers_receive(request_id(remaining_id)));

  process.signal(SIGSTOP);
  for (int i = 0; i < withdrawing_clients; ++i)
    send_answer(request_id(first_pending_id + i), overloaded_answer);
  send_answer(request_id(remaining_id), overloaded_answer);
  const auto unread_clients = connect_clients(first_unread_id);
  for (const auto& client : pending_clients) withdraw_request(*client);
  for (const auto& client : unread_clients) withdraw_request(*client);
  const auto burst_clients = send_burst();
  stall_loop(stopped_ms);
  process.signal(SIGCONT);

  for (const auto& client : burst_clients)
    EXPECT_TRUE(driver.until(
        [&] { return count_in(client->seen(), end_of_request) == burst_requests_per_connection; }, deadline));
  EXPECT_GT(answered_ids.size(), 0U) << "the router must have had other requests to process";
  driver.pass(observation_time);
  for (int i = 0; i < withdrawing_clients; ++i) {
    EXPECT_EQ(count_at_servers("invoke " + request_id(first_pending_id + i)), 1)
        << "a withdrawn request must not be retried";
    EXPECT_EQ(count_at_servers("invoke " + request_id(first_unread_id + i)), 0)
        << "a request that was withdrawn before it was read must not be sent";
  }
  EXPECT_EQ(count_at_servers("invoke " + request_id(remaining_id)), 2)
      << "a request that was not withdrawn must be retried";
}

}  // namespace
}  // namespace rushhill::node
