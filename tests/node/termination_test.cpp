// Guards against requests that run twice or stay unanswered when a router is killed (SIGKILL) or shut down
// (SIGTERM). The signal comes before, within or after a request's bytes, or while connections wait in the
// accept queue; then the router is restarted at the same address. A router that is shut down answers all
// requests of the connections that were opened to it.
#include <ostream>

#include "crowd.h"
#include "node_process.h"
#include "platform_fixture.h"

namespace rushhill::node {
namespace {

constexpr Time accept_time = 1'000;        // tenths of a millisecond; for the process to accept and read
constexpr Time draining_time = 3'000;      // less than the time in which requests are accepted after SIGTERM
constexpr Time observation_time = 10'000;  // for an unwanted attempt to show
constexpr int queued_connections = 8;      // connections that the process has not accepted

constexpr const char* request_end = "3\r\nask\r\n";  // the end of a request at a server

enum class Instant { before, within, after };  // of the signal, relative to a request's bytes
std::ostream& operator<<(std::ostream& out, Instant instant) {
  return out << (instant == Instant::before ? "Before" : instant == Instant::within ? "Within" : "After");
}

class TerminationFixture : public PlatformTest {
 protected:
  TerminationFixture() {
    settings.listen = address.text();
    settings.retry_safety = "single_shot";
    server1.on_bytes = [this](RawPeer& peer) {
      if (!answering) return;
      answered_requests += count_in(peer.seen, request_end);
      answer_all_requests(peer);
    };
  }
  std::unique_ptr<NodeProcess> start() {
    auto process = std::make_unique<NodeProcess>(
        configuration(settings, discovery.address(), host("s1", server1.address(), "active", 0, "16")));
    process->address();
    return process;
  }
  // Complete requests that the server has received.
  int received_requests() const { return answered_requests + count_at_server(server1, request_end); }
  std::unique_ptr<Caller> connect_client() const {
    return std::make_unique<Caller>(transport::Address(address.text()));
  }
  bool answered(Caller& client) {
    return driver.until([&] { return client.seen().find("Status: 200") != std::string::npos; }, 50'000);
  }
  // The part of a request that is sent before the signal; the rest is sent later.
  static std::string sent_part(const std::string& request, Instant instant) {
    if (instant == Instant::before) return "";
    return instant == Instant::within ? request.substr(0, request.size() / 2) : request;
  }
  static void expect_nothing_lost(const NodeProcess& process) {
    EXPECT_NE(process.output().find("dropped 0, open 0"), std::string::npos) << process.output();
  }

  const ReservedAddress address{reactor};
  Settings settings;
  bool answering = true;
  int answered_requests = 0;
};

class NodeTerminationTest : public TerminationFixture, public testing::WithParamInterface<Instant> {
 protected:
  using Clients = std::vector<std::unique_ptr<Caller>>;
  // Stops the process and opens connections that stay in its accept queue, each with its part of a request.
  Clients fill_queue(const NodeProcess& process) const {
    process.signal(SIGSTOP);
    Clients clients;
    for (int i = 0; i < queued_connections; ++i) {
      clients.push_back(connect_client());
      clients.back()->send(sent_part(invoke_request(1, request_id(i)), GetParam()));
    }
    return clients;
  }
  static void send_rest(const Clients& clients) {
    for (int i = 0; i < queued_connections; ++i) {
      const std::string request = invoke_request(1, request_id(i));
      clients[static_cast<std::size_t>(i)]->send(request.substr(sent_part(request, GetParam()).size()));
    }
  }
};
INSTANTIATE_TEST_SUITE_P(Instants, NodeTerminationTest,
                         testing::Values(Instant::before, Instant::within, Instant::after),
                         testing::PrintToStringParamName());

TEST_P(NodeTerminationTest, RouterRestartedAfterAKillRunsNothingTwice) {
  answering = false;
  auto process = start();
  const auto client = connect_client();
  client->send(sent_part(invoke_request(1, request_id(1)), GetParam()));
  const int expected_requests = GetParam() == Instant::after ? 1 : 0;
  ASSERT_TRUE(driver.until([&] { return received_requests() == expected_requests; }));
  driver.pass(accept_time);
  process->signal(SIGKILL);
  process->wait();
  EXPECT_TRUE(driver.until([&] { return client->closed(); })) << "the client must see its connection end";
  EXPECT_EQ(client->seen(), "");
  answering = true;
  process = start();
  const auto new_client = connect_client();
  new_client->send(invoke_request(1, request_id(2)));
  EXPECT_TRUE(answered(*new_client));
  driver.pass(observation_time);
  EXPECT_EQ(received_requests(), expected_requests + 1);
}

TEST_P(NodeTerminationTest, ShutdownAnswersRequestsOfAcceptedConnections) {
  auto process = start();
  answering = false;
  const auto client = connect_client();
  const std::string request = invoke_request(1, request_id(1)), first_part = sent_part(request, GetParam());
  client->send(first_part);
  driver.pass(accept_time);
  process->signal(SIGTERM);
  ASSERT_TRUE(process->wait_for_log("winding up"));
  driver.pass(draining_time);
  client->send(request.substr(first_part.size()));
  ASSERT_TRUE(driver.until([&] { return received_requests() == 1; }));
  send_answer(request_id(1), success_answer);
  EXPECT_TRUE(answered(*client));
  EXPECT_TRUE(process->wait_for_log("ended"));
  EXPECT_TRUE(process->exits_successfully());
  expect_nothing_lost(*process);
  EXPECT_EQ(received_requests(), 1);
}

TEST_P(NodeTerminationTest, ShutdownAnswersRequestsOfConnectionsInTheAcceptQueue) {
  auto process = start();
  const auto clients = fill_queue(*process);
  process->signal(SIGTERM);
  process->signal(SIGCONT);
  ASSERT_TRUE(process->wait_for_log("winding up"));
  driver.pass(draining_time);
  send_rest(clients);
  for (const auto& client : clients) EXPECT_TRUE(answered(*client)) << client->seen();
  EXPECT_TRUE(process->wait_for_log("ended"));
  EXPECT_TRUE(process->exits_successfully());
  expect_nothing_lost(*process);
  EXPECT_EQ(received_requests(), queued_connections);
}

TEST_P(NodeTerminationTest, KillRunsNoRequestOfConnectionsInTheAcceptQueue) {
  auto process = start();
  const auto clients = fill_queue(*process);
  process->signal(SIGKILL);
  process->wait();
  for (const auto& client : clients) EXPECT_TRUE(driver.until([&] { return client->closed(); }));
  process = start();
  const auto new_client = connect_client();
  new_client->send(invoke_request(1, request_id(queued_connections)));
  EXPECT_TRUE(answered(*new_client));
  driver.pass(observation_time);
  EXPECT_EQ(received_requests(), 1);
}

// The new process already listens at the address while the old one still has connections in its accept queue.
TEST_P(NodeTerminationTest, ShutdownBesideASuccessorAnswersRequestsOfConnectionsInTheAcceptQueue) {
  auto process = start();
  const auto clients = fill_queue(*process);
  const auto successor = start();
  process->signal(SIGTERM);
  process->signal(SIGCONT);
  ASSERT_TRUE(process->wait_for_log("winding up"));
  send_rest(clients);
  for (const auto& client : clients) EXPECT_TRUE(answered(*client)) << client->seen();
  EXPECT_TRUE(process->wait_for_log("ended"));
  EXPECT_TRUE(process->exits_successfully());
  expect_nothing_lost(*process);
  const auto new_client = connect_client();
  new_client->send(invoke_request(1, request_id(queued_connections)));
  EXPECT_TRUE(answered(*new_client));
  EXPECT_EQ(received_requests(), queued_connections + 1);
}

}  // namespace
}  // namespace rushhill::node
