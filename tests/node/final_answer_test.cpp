// Guards against a request that was read and does not get exactly one final answer: whatever follows it on
// its connection, whatever other clients and the servers do, and with almost no time left.
#include <random>

#include "node/node.h"
#include "node_process.h"
#include "platform_fixture.h"

namespace rushhill::node {
namespace {

constexpr Time second = 10'000;     // tenths of a millisecond
constexpr Time late_span = 5'000;   // how long after a request's deadline its final answer may come
constexpr Time deadline = 25'000;   // as configured
constexpr Time idle_time = 19'500;  // just below the time after which a silent connection is closed
constexpr int stall_ms = 200;
constexpr const char* end_of_request = "\1\3";  // version and type of the record that ends a request

// Counts the records that end a request, whatever its result.
int count_ended(const std::string& seen) { return count_in(seen, end_of_request); }

class NodeFinalAnswerTest : public PlatformTest {
 protected:
  void start(const Settings& settings, const std::string& hosts) {
    router = std::make_unique<Node>(
        reactor, read_configuration(configuration(settings, discovery.address(), hosts)), null_log);
  }
  bool connection_closes(TestClient& client) {
    return driver.until([&] { return client.seen().size() > 0 && client.ended(); });
  }
  std::unique_ptr<Node> router;
};

// Malformed bytes that a client sends after its request.
struct MalformedInput {
  const char* name;
  std::string bytes;
};
std::ostream& operator<<(std::ostream& out, const MalformedInput& kind) { return out << kind.name; }
std::vector<MalformedInput> malformed_inputs() {
  return {{"noise", std::string(20, '\xff')},
          {"a lot of noise", std::string(100'000, '\xff')},
          {"a second request with the same number", invoke_request(1, request_id(2))},
          {"a begin record of the wrong length",
           std::string{'\1', '\1', '\0', '\7', '\0', '\1', '\0', '\0', '\0'}}};
}
class NodeMalformedInputTest : public NodeFinalAnswerTest,
                               public testing::WithParamInterface<MalformedInput> {};
INSTANTIATE_TEST_SUITE_P(Kinds, NodeMalformedInputTest, testing::ValuesIn(malformed_inputs()));

// Two clients for each kind of malformed bytes: one sends them later than its request, the other together
// with it.
TEST_F(NodeFinalAnswerTest, RequestsBeforeMalformedBytesAreAnsweredAndThenTheConnectionCloses) {
  struct Client {
    Client(MalformedInput sent, const transport::Address& to, std::string id_of_later,
           std::string id_of_together)
        : kind(std::move(sent)), later(to), together(to), later_id(std::move(id_of_later)),
          together_id(std::move(id_of_together)) {}
    MalformedInput kind;
    TestClient later, together;
    std::string later_id, together_id;
  };
  start({}, host("s1", server1.address(), "active", 0, "16"));
  std::vector<std::unique_ptr<Client>> clients;
  int ids = 10;
  for (const MalformedInput& kind : malformed_inputs()) {
    const transport::Address address = router->address();
    clients.push_back(std::make_unique<Client>(kind, address, request_id(ids), request_id(ids + 1)));
    ids += 2;
    Client& client = *clients.back();
    client.later.send(invoke_request(1, client.later_id));
    ASSERT_TRUE(servers_receive(client.later_id));
    client.later.send(kind.bytes);
    client.together.send(get_request(3, "/alive") + invoke_request(1, client.together_id) + kind.bytes);
    ASSERT_TRUE(servers_receive(client.together_id));
  }
  driver.pass(3'000);
  for (const auto& client : clients) {
    client->later.send(invoke_request(9, request_id(++ids)));
    send_answer(client->later_id, success_answer);
    send_answer(client->together_id, success_answer);
  }
  for (const auto& client : clients) {
    EXPECT_TRUE(connection_closes(client->later)) << client->kind;
    EXPECT_TRUE(connection_closes(client->together)) << client->kind;
    EXPECT_EQ(count_in(client->later.seen(), "Status: 200"), 1) << client->kind << client->later.seen();
    EXPECT_EQ(count_in(client->together.seen(), "Status: 200"), 2) << client->kind << client->together.seen();
  }
  EXPECT_EQ(count_at_servers("invoke "), 2 * static_cast<int>(clients.size()))
      << "requests after the malformed bytes must not be sent";
  EXPECT_EQ(router->front().counts().dropped, 0U);
}

TEST_P(NodeMalformedInputTest, RequestIsCancelledIfItsClientClosesAfterMalformedBytes) {
  start({}, host("s1", server1.address()) + "," + host("s2", server2.address()));
  TestClient client(router->address());
  client.send(invoke_request(1, request_id(1)));
  ASSERT_TRUE(servers_receive(request_id(1)));
  client.send(GetParam().bytes);
  driver.pass(500);
  client.leave();
  send_answer(request_id(1), overloaded_answer);
  driver.pass(3'000);
  EXPECT_EQ(count_at_servers("invoke "), 1) << "a cancelled request must not be retried";
  EXPECT_EQ(router->gateway().open_requests(), 0U);
}

// The loop stalls while the timeouts of two connections expire. Meanwhile a first request arrives on one and
// the rest of a request on the other, before the router closes them.
TEST_F(NodeFinalAnswerTest, RequestsThatArriveWhileTheirConnectionTimesOutAreAnswered) {
  start({}, host("s1", server1.address(), "active", 0, "16"));
  server1.on_bytes = answer_all_requests;
  TestClient silent_client(router->address()), half_client(router->address());
  const std::string request = invoke_request(1, request_id(1)),
                    partial_request = invoke_request(1, request_id(2));
  half_client.send(partial_request.substr(0, partial_request.size() / 2));
  ASSERT_TRUE(driver.until([&] { return router->front().connections() == 2; }));
  driver.pass(idle_time);
  ASSERT_EQ(router->front().connections(), 2U);
  reactor.set_iteration_hook([&] {
    reactor.post([this] { reactor.set_iteration_hook(nullptr); });  // only once
    silent_client.send(request);
    half_client.send(partial_request.substr(partial_request.size() / 2));
    stall_loop(stall_ms);
  });
  EXPECT_TRUE(succeeds(silent_client));
  EXPECT_TRUE(succeeds(half_client));
}

// Patient clients, which send requests and wait, beside random faults of servers and of other clients.
class NodeRandomFaultsTest : public PlatformTest, public testing::WithParamInterface<unsigned> {
 protected:
  static constexpr int patient_clients = 4, rounds = 15;

  void inject_server_faults() {
    for (RawServer* server : {&server1, &server2}) {
      server->on_bytes = [this](RawPeer& peer) {
        const std::string end = "3\r\nask\r\n";
        for (std::size_t at = 0; (at = peer.seen.find(end)) != std::string::npos;
             peer.seen.erase(0, at + end.size()))
          answer_at_random(peer, peer.seen.substr(peer.seen.find("invoke ") + 7, 16));
      };
    }
  }
  void answer_at_random(RawPeer& peer, const std::string& id) {
    switch (random() % 10) {
      case 0:
        return peer.stream->reset();
      case 1:
        return peer.stream->shutdown_write();
      case 2:
        return peer.stream->write(std::string(20, '\xff'));
      case 3:
        return peer.stream->write(id + overloaded_answer);
      case 4:
        return peer.stream->write(id + " FAULT - 0\r\n\r\n");
      case 5:
        return;  // never answered
      case 6:
        return peer.stream->write(id + success_answer + id + success_answer);
      default:
        return peer.stream->write(id + success_answer);
    }
  }
  void run_faulty_client(const transport::Address& address) {
    TestClient client(address);
    const std::string request = invoke_request(1, request_id(++ids));
    switch (random() % 6) {
      case 0:
        return client.send(request + std::string(50, '\xff'));
      case 1:
        client.send(request);
        return client.reset();
      case 2:
        client.send(request.substr(0, request.size() / 2));
        return client.half_close();
      case 3:
        return client.send(request + abort_request(1));
      case 4:
        return client.send(request + request);
      default:
        return client.send(std::string(70'000, '\1'));
    }
  }

  std::mt19937 random{GetParam()};
  int ids = 0;
};
INSTANTIATE_TEST_SUITE_P(Seeds, NodeRandomFaultsTest, testing::Range(1U, 3U));

TEST_P(NodeRandomFaultsTest, EachRequestOfAPatientClientGetsOneFinalAnswerInTime) {
  Settings settings;
  settings.cancel = "true";
  settings.latency_objective = "500000000";
  inject_server_faults();
  NodeProcess process(configuration(settings, discovery.address(),
                                    host("s1", server1.address(), "active", 0, "16") + "," +
                                        host("s2", server2.address(), "active", 0, "16")));
  const transport::Address address = process.address();
  std::vector<std::unique_ptr<TestClient>> patient;
  for (int i = 0; i < patient_clients; ++i) patient.push_back(std::make_unique<TestClient>(address));
  for (int round = 1; round <= rounds; ++round) {
    for (const auto& client : patient)
      client->send(
          invoke_request(static_cast<fastcgi::Number>(round), request_id(++ids), {.allow_ms = 1'000}));
    run_faulty_client(address);
    run_faulty_client(address);
    driver.pass(30 + static_cast<Time>(random() % 100));
  }
  for (const auto& client : patient) {
    EXPECT_TRUE(driver.until([&] { return count_ended(client->seen()) >= rounds; }, second + late_span))
        << client->seen();
  }
  driver.pass(500);
  for (const auto& client : patient) {
    EXPECT_EQ(count_ended(client->seen()), rounds) << "each request must get exactly one final answer";
    EXPECT_FALSE(client->ended());
  }
  process.signal(SIGTERM);
  EXPECT_TRUE(process.wait_for_log("dropped 0, open 0"));
  EXPECT_TRUE(process.exits_successfully());
}

// Servers may drop requests with almost no time left without an answer. Each of these requests is answered in
// time, and the servers are not considered dead.
TEST_F(NodeFinalAnswerTest, RequestsWithAlmostNoTimeLeftAreAnsweredAndServersStayInUse) {
  start({}, host("s1", server1.address(), "active", 0, "16"));
  TestClient client(router->address());
  const int times[] = {1, 2, 5, 10, 20, 1, 2, 5, 10, 20};
  int requests_sent = 0;
  const Time sent = reactor.now();
  for (const int allow : times) {
    ++requests_sent;
    client.send(invoke_request(static_cast<fastcgi::Number>(requests_sent), request_id(requests_sent),
                               {.allow_ms = allow}));
  }
  EXPECT_TRUE(driver.until([&] { return count_ended(client.seen()) == requests_sent; }, late_span));
  EXPECT_LT(reactor.now() - sent, 200 + late_span);
  for (int i = 1; i <= requests_sent; ++i) {
    for (const auto& peer : server1.peers) {
      const std::size_t command = peer->seen.find("invoke " + request_id(i));
      if (command == std::string::npos) continue;
      EXPECT_LE(std::atoi(peer->seen.c_str() + peer->seen.find("max=", command) + 4), times[i - 1]);
    }
  }
  server1.on_bytes = answer_all_requests;
  for (const auto& peer : server1.peers) peer->seen.clear();
  client.send(invoke_request(30, request_id(30)));
  EXPECT_TRUE(driver.until([&] { return count_in(client.seen(), "Status: 200") == 1; }, second));
  EXPECT_EQ(count_ended(client.seen()), requests_sent + 1);
}

// A server loses a connection while it is idle: it does not close it, and never reads from it again. The next
// request on it gets its final answer in time, and later requests succeed.
TEST_F(NodeFinalAnswerTest, ServerThatLosesAnIdleConnectionCostsNoAnswer) {
  Settings settings;
  settings.cancel = "true";
  settings.latency_objective = "500000000";
  start(settings, host("s1", server1.address(), "active", 0, "16"));
  server1.on_bytes = answer_all_requests;
  TestClient client(router->address());
  client.send(invoke_request(1, request_id(1)));
  ASSERT_TRUE(succeeds(client));
  driver.pass(second);
  for (const auto& peer : server1.peers) peer->stream->set_reading(false);
  const std::size_t connections_before = server1.peers.size();
  client.send(invoke_request(2, request_id(2)));
  EXPECT_TRUE(driver.until([&] { return count_ended(client.seen()) == 2; }, deadline + late_span));
  ASSERT_EQ(server1.peers.size() > connections_before || count_in(client.seen(), "Status: 504") == 1, true);
  client.send(invoke_request(3, request_id(3)));
  EXPECT_TRUE(driver.until([&] { return count_ended(client.seen()) == 3; }, deadline + late_span));
  EXPECT_GE(count_in(client.seen(), "Status: 200"), 2);
}

// One server rejects each request and the others refuse each connection, so that every retry fails at once.
TEST_F(NodeFinalAnswerTest, IfEachRetryFailsAtOnceRequestsAreAnsweredWithinTheAttemptLimit) {
  const ReservedAddress closed_address(reactor), other_closed_address(reactor);
  int attempts = 0;
  server1.on_bytes = [&](RawPeer& peer) {
    const std::string end = "3\r\nask\r\n";
    for (std::size_t at = 0; (at = peer.seen.find(end)) != std::string::npos;
         peer.seen.erase(0, at + end.size())) {
      ++attempts;
      peer.stream->write(peer.seen.substr(peer.seen.find("invoke ") + 7, 16) + overloaded_answer);
    }
  };
  start({}, host("s1", server1.address()) + "," + host("s2", closed_address.text()) + "," +
                host("s3", other_closed_address.text()));
  TestClient client(router->address());
  constexpr int requests = 10, max_attempts = 5;  // of one request, as configured
  for (int i = 1; i <= requests; ++i)
    client.send(invoke_request(static_cast<fastcgi::Number>(i), request_id(i), {.allow_ms = 1'000}));
  EXPECT_TRUE(driver.until([&] { return count_ended(client.seen()) == requests; }, second + late_span));
  EXPECT_EQ(count_in(client.seen(), "Status: 200"), 0);
  EXPECT_LE(router->gateway().tally().attempts, static_cast<std::uint64_t>(requests * max_attempts));
  EXPECT_LE(attempts, requests * max_attempts);
  EXPECT_EQ(router->gateway().open_requests(), 0U);
}

// The configuration is reloaded repeatedly while requests arrive and are at servers. No request is lost, and
// the last configuration takes effect.
TEST_F(NodeFinalAnswerTest, EachRequestIsAnsweredThroughTwentyReloadsInARow) {
  constexpr int reloads = 20;
  server1.on_bytes = answer_all_requests;
  server2.on_bytes = answer_all_requests;
  NodeProcess process(
      configuration({}, discovery.address(), host("s1", server1.address(), "active", 0, "16")));
  const transport::Address process_address = process.address();
  TestClient client(process_address);
  for (int i = 1; i <= reloads; ++i) {
    client.send(invoke_request(static_cast<fastcgi::Number>(i), request_id(i)));
    const bool last = i == reloads;
    process.reload(configuration(
        {}, discovery.address(),
        host(last ? "s2" : "s1", last ? server2.address() : server1.address(), "active", 0, "16"), 1 + i));
    driver.pass(300);
  }
  EXPECT_TRUE(succeeds(client, reloads));
  int last_id = reloads;
  EXPECT_TRUE(driver.until(
      [&] {
        TestClient new_client(process_address);
        new_client.send(invoke_request(1, request_id(++last_id)));
        return succeeds(new_client) && !server2.peers.empty();
      },
      second))
      << "the last configuration must take effect";
  process.signal(SIGTERM);
  EXPECT_TRUE(process.wait_for_log("dropped 0, open 0"));
  EXPECT_TRUE(process.exits_successfully());
}

}  // namespace
}  // namespace rushhill::node
