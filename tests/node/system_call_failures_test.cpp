// Guards against a router that loses requests or spins when system calls fail. A complete router runs on real
// sockets with injected failures: every request that it reads gets exactly one final answer in time. Its
// clients, servers and peers use an event loop of their own, whose calls do not fail.
#include <cstring>

#include "node/node.h"
#include "platform_fixture.h"
#include "simulation/faulty_system_calls.h"
#include "transport/datagram_endpoint.h"

namespace rushhill::node {
namespace {

using simulation::FaultySystemCalls;
using simulation::SystemCall;
using simulation::SystemCallFailure;

constexpr Time step_time = 5;                 // tenths of a millisecond that each loop runs in turn
constexpr Time answer_within = 30'000;        // tenths of a millisecond until each request has its answer
constexpr std::uint64_t calls_per_step = 60;  // average over a test; a router that spins makes many more
constexpr int client_count = 6;

std::string description(const SystemCallFailure& failure) {
  return "call " + std::to_string(static_cast<int>(failure.call)) + ", " +
         (failure.error == 0 ? "short" : strerrorname_np(failure.error));
}

// A router on an event loop of its own, whose system calls can fail.
struct FaultyRouter {
  FaultyRouter(const std::string& text, std::uint64_t seed, const SystemCallFailure* at_start)
      : system(seed) {
    if (at_start != nullptr) system.fail_once(*at_start, 1);
    reactor = std::make_unique<transport::Loop>(system);
    driver = std::make_unique<EventLoopDriver>(*reactor);
    node = std::make_unique<Node>(*reactor, read_configuration(text), null_log);
  }
  FaultySystemCalls system;
  NullEventLog null_log;
  std::unique_ptr<transport::Loop> reactor;
  std::unique_ptr<EventLoopDriver> driver;
  std::unique_ptr<Node> node;
};

class NodeSystemCallFailureTest : public testing::Test {
 protected:
  NodeSystemCallFailureTest() {
    for (RawServer* server : {&server1, &server2}) {
      server->on_bytes = [this](RawPeer& connection) {
        if (std::exchange(close_next_connection, false)) return connection.stream->close();
        answer_all_requests(connection);
      };
    }
  }
  void start(std::uint64_t seed, const SystemCallFailure* at_start = nullptr) {
    clients.clear();
    router.reset();
    Settings settings;
    settings.routers = 2;
    settings.peer_listen = peer_address.text();
    settings.peers = "\"" + peer_address.text() + "\",\"" + peer.address().toString() + "\"";
    router = std::make_unique<FaultyRouter>(
        configuration(settings, discovery.address(),
                      host("s1", server1.address()) + "," + host("s2", server2.address())),
        seed, at_start);
  }
  void step() {
    healthy_driver.pass(step_time);
    router->driver->pass(step_time);
    ++steps;
  }
  bool run_until(const std::function<bool()>& condition) {
    const Time end = healthy_loop.now() + answer_within;
    while (!condition() && healthy_loop.now() < end) step();
    return condition();
  }
  // Sends one request of each client on its connection, or on a new one if `new_connections`.
  void send_requests(bool new_connections) {
    if (new_connections) {
      clients.clear();
      sent_per_client = 0;
      for (int i = 0; i < client_count; ++i)
        clients.push_back(std::make_unique<TestClient>(router->node->address()));
    }
    ++sent_per_client;
    for (const auto& client : clients) client->send(invoke_request(1, request_id(++last_id)));
  }
  bool all_answered() {
    return std::ranges::all_of(
        clients, [&](const auto& client) { return count_in(client->seen(), "Status: ") >= sent_per_client; });
  }
  // The number of answers with this status line that the current clients have received.
  int count_answers(const std::string& status) {
    int found = 0;
    for (const auto& client : clients) found += count_in(client->seen(), status);
    return found;
  }
  std::uint64_t count_outcomes(core::Gateway& gateway, AttemptOutcome outcome) const {
    return gateway.tally().outcomes[static_cast<std::size_t>(outcome)];
  }

  transport::Loop healthy_loop;
  EventLoopDriver healthy_driver{healthy_loop};
  RawServer server1{healthy_loop}, server2{healthy_loop}, discovery{healthy_loop};
  ReservedAddress peer_address{healthy_loop};
  std::vector<std::string> gossip_messages;
  transport::DatagramEndpoint peer{
      healthy_loop, transport::numeric_address("127.0.0.1:0"),
      [this](const transport::Address&, std::string_view bytes) { gossip_messages.emplace_back(bytes); }};
  std::unique_ptr<FaultyRouter> router;
  std::vector<std::unique_ptr<TestClient>> clients;
  int sent_per_client = 0, last_id = 0;
  bool close_next_connection = false;  // the server closes the connection of the next request
  std::uint64_t steps = 0;
};

bool happens_at_start(const SystemCallFailure& failure) {
  using enum SystemCall;
  if (failure.error == EACCES) return false;  // not transient: the router gives the reason and does not start
  return failure.call == epoll_create1 || failure.call == socket || failure.call == bind ||
         failure.call == setsockopt || failure.call == getsockname || failure.call == epoll_ctl;
}
bool happens_later(const SystemCallFailure& failure) {
  using enum SystemCall;
  return failure.call != epoll_create1 && failure.call != bind && failure.call != getsockname;
}

// Every call fails once in every documented way: at the router's start, and at its first and third use after
// that. Meanwhile a connection to a server is lost and a peer sends messages.
TEST_F(NodeSystemCallFailureTest, SingleFailureCostsNoRequestItsAnswer) {
  for (const SystemCallFailure& failure : simulation::documented_failures()) {
    std::uint64_t fired = 0;
    for (const int nth : {0, 1, 3}) {
      const std::string context = description(failure) + " at " + std::to_string(nth);
      if (!(nth == 0 ? happens_at_start(failure) : happens_later(failure))) continue;
      start(1, nth == 0 ? &failure : nullptr);
      steps = 0;
      const std::uint64_t calls_before = router->system.calls();
      if (nth > 0) router->system.fail_once(failure, nth);
      for (int round = 0; round < 2; ++round) {
        close_next_connection = round == 0;
        for (int i = 0; i < 3; ++i) peer.send(transport::numeric_address(peer_address.text()), "s1 u50");
        send_requests(round == 0);
        ASSERT_TRUE(run_until([&] { return all_answered(); })) << context;
      }
      step();
      EXPECT_EQ(count_answers("Status: "), 2 * client_count) << context;
      EXPECT_EQ(count_answers("Status: 200"), 2 * client_count) << context;
      EXPECT_EQ(router->node->gateway().open_requests(), 0U) << context;
      EXPECT_LE(router->system.failures(), 1U) << context;
      fired += router->system.failures();
      EXPECT_LT(router->system.calls() - calls_before, 1'000 + calls_per_step * steps) << context;
    }
    EXPECT_GT(fired, 0U) << description(failure);
  }
}

class NodeRandomSystemCallFailuresTest : public NodeSystemCallFailureTest,
                                         public testing::WithParamInterface<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, NodeRandomSystemCallFailuresTest, testing::Values(1, 2, 3));

// One call in twenty fails.
TEST_P(NodeRandomSystemCallFailuresTest, EveryRequestGetsOneAnswerInTime) {
  constexpr int rounds = 60;
  start(GetParam());
  router->system.fail_all_at_rate(0.05);
  int requests_sent = 0, answered = 0;
  for (int round = 0; round < rounds; ++round) {
    const bool new_connections = round % 5 == 0;
    if (new_connections) answered += clients.empty() ? 0 : count_answers("Status: ");
    send_requests(new_connections);
    requests_sent += client_count;
    ASSERT_TRUE(run_until([&] { return all_answered(); })) << "round " << round;
  }
  step();
  answered += count_answers("Status: ");
  EXPECT_EQ(answered, requests_sent);
  EXPECT_EQ(router->node->gateway().open_requests(), 0U);
  EXPECT_GT(router->system.failures(), 100U);
  EXPECT_LT(router->system.calls(), 1'000 + calls_per_step * steps);
}

// While this machine lacks a resource that connections need, no server is blamed, neither in the attempts'
// outcomes nor in gossip. Requests after that succeed.
TEST_F(NodeSystemCallFailureTest, LackOfALocalResourceIsNotBlamedOnServers) {
  for (const SystemCallFailure& failure : simulation::documented_failures()) {
    const bool connecting = failure.call == SystemCall::socket || failure.call == SystemCall::connect ||
                            failure.call == SystemCall::connect_outcome;
    if (!connecting || failure.accuses_peer || failure.error == EINTR) continue;
    start(1);
    gossip_messages.clear();
    router->system.fail_always(failure);
    steps = 0;
    const std::uint64_t calls_before = router->system.calls();
    send_requests(true);
    ASSERT_TRUE(run_until([&] { return all_answered(); })) << description(failure);
    EXPECT_EQ(count_answers("Status: "), client_count) << description(failure);
    EXPECT_LT(router->system.calls() - calls_before, 1'000 + calls_per_step * steps) << description(failure);
    core::Gateway& gateway = router->node->gateway();
    EXPECT_GT(count_outcomes(gateway, AttemptOutcome::not_sent), 0U) << description(failure);
    EXPECT_EQ(count_outcomes(gateway, AttemptOutcome::connect_failed), 0U) << description(failure);
    EXPECT_EQ(count_outcomes(gateway, AttemptOutcome::connection_lost), 0U) << description(failure);
    router->system.heal();
    send_requests(true);
    ASSERT_TRUE(run_until([&] { return all_answered(); })) << description(failure);
    EXPECT_EQ(count_answers("Status: 200"), client_count) << description(failure);
    for (const std::string& message : gossip_messages)
      EXPECT_NE(message.find(" u"), std::string::npos)
          << "gossip may hold utilization reports only, but a peer was sent: " << message;
  }
}

// The system has established the connections in the accept queue, so a router that shuts down must answer
// them.
TEST_F(NodeSystemCallFailureTest, ShutdownAnswersRequestsInTheAcceptQueueThoughAcceptFails) {
  start(5);
  bool drained = false;
  router->node->start_draining([&] { drained = true; });
  step();
  send_requests(true);
  router->system.fail_at_rate(SystemCall::accept4, 0.8);
  stall_loop(900);  // until no more requests are accepted
  EXPECT_TRUE(run_until([&] { return all_answered(); }));
  EXPECT_EQ(count_answers("Status: 200"), client_count);
  clients.clear();
  EXPECT_TRUE(run_until([&] { return drained; }));
}

}  // namespace
}  // namespace rushhill::node
