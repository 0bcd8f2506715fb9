// Guards against a router that cannot work any more once its file descriptors are used up. Runs `rushhill
// serve` with a low descriptor limit while idle and slow clients occupy every connection, on the HTTP port
// and on the port for other routers, and service discovery, the broker and the other router cannot be
// reached. The router has to reconnect to all three when they return, to serve new clients throughout, and to
// save the endpoint list at the end.
#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <ostream>

#include "crowd.h"
#include "loopback.h"
#include "process.h"

namespace rushhill::router {
namespace {

constexpr Time discovery_reconnect_timeout = 20'000;  // tenths of a millisecond, from the return of discovery
constexpr Time peer_reconnect_timeout =
    90'000;  // for the broker, and for the other router, whose longest backoff is 8 s
constexpr Time service_timeout = 10'000;  // from the connection of a new client to its answer
constexpr Time occupation_span = 8'000;   // for the clients to occupy all connections
constexpr Time idle_span =
    5'000;  // without clients that connect or leave, to measure the router's own processor use
constexpr double max_idle_core_share = 0.25;  // a busy loop uses a whole core
constexpr double shutdown_timeout = 2.5;  // seconds from SIGTERM; 1 s of it to drain, the rest for sanitizers
constexpr std::size_t large_body = 100 * 1024;  // bytes; small enough for the system's socket buffers and for
                                                // the servers to answer other requests too
constexpr std::size_t server_count = 4;  // with one server the router would reject requests while it is slow

std::string request(const std::string& id) {
  return "POST / HTTP/1.1\r\nhost: x\r\nce-specversion: 1.0\r\nce-source: /c\r\nce-type: org.lookup\r\n"
         "ce-function: f\r\nce-id: " +
         id + "\r\ncontent-length: 0\r\n\r\n";
}
const std::string liveness_check = "GET /health/live HTTP/1.1\r\nhost: x\r\n\r\n";
// First letter of a request id: the server sends a large answer, or delays its answer.
constexpr char large = 'b', delayed = 'c';

std::string reply(const std::string& id) {
  const std::string body(id[0] == large ? large_body : 2, 'x');
  return "HTTP/1.1 200 OK\r\nce-specversion: 1.0\r\nce-id: r\r\nce-source: /s\r\nce-type: t\r\n"
         "content-type: text/plain\r\ncontent-length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

class FirstBytes {
 public:
  std::string operator()(ClientBehavior habit) {
    switch (habit) {
      case ClientBehavior::silent:
        return "";
      case ClientBehavior::idle:
        return liveness_check;
      case ClientBehavior::half_request:
        return request("a").substr(0, 60);
      case ClientBehavior::slow_reader:
        return request(large + std::to_string(++last_id_));
    }
    return "";
  }

 private:
  int last_id_ = 0;
};

struct LimitCase {
  std::string name{};
  std::size_t limit = 0;  // file descriptors that the system allows the process
  int inherited = 0;      // descriptors open at its start beyond the three standard ones
  std::vector<ClientBehavior> habits{ClientBehavior::idle, ClientBehavior::half_request,
                                     ClientBehavior::slow_reader};
};
std::ostream& operator<<(std::ostream& out, const LimitCase& limit_case) { return out << limit_case.name; }

class DescriptorExhaustionTest : public testing::TestWithParam<LimitCase> {
 protected:
  DescriptorExhaustionTest() {
    raise_descriptors();
    for (std::size_t i = 0; i < server_count; ++i) {
      servers.push_back(std::make_unique<RawServer>(reactor));
      servers.back()->on_bytes = [this](RawPeer& peer) { answer(peer); };
    }
    discovery = std::make_unique<RawServer>(reactor, address_of(0));
    broker = std::make_unique<RawServer>(reactor, address_of(1));
    peer_router = std::make_unique<RawServer>(reactor, address_of(2));
    const std::string own_address = address_of(3);
    replica_address = transport::Address(own_address);
    std::ofstream(path) << "[router]\nnumber = 0\nrouters = 2\ntick = 50ms\n"
                           "[http]\nlisten = 127.0.0.1:0\nwind-up = 1s\n[roster]\naddress = "
                        << discovery->address() << "\nremembered = " << list_path
                        << "\n[mqtt]\naddress = " << broker->address()
                        << "\nretry = 50ms\n[replica]\nlisten = " << own_address
                        << "\nrouter-0 = " << own_address << "\nrouter-1 = " << peer_router->address()
                        << "\n[mqtt-topic calls]\nfilter = calls/+\nevent-type = org.lookup\nfunction = {1}\n"
                           "[traffic lookup]\nevent-type = org.lookup\ndue = 1s\nhard-limit = 1s\n"
                           "effect = reissuable\n";
  }
  ~DescriptorExhaustionTest() override {
    std::remove(path.c_str());
    std::remove(list_path.c_str());
  }
  std::string address_of(std::size_t index) const { return reserved[index]->address().toString(); }
  void start() {
    program = std::make_unique<Process>(Launch{
        .arguments = {"serve", path}, .descriptors = GetParam().limit, .inherited = GetParam().inherited});
    address = program->wait_for_address("ready");
    ASSERT_TRUE(pump.until(
        [&] { return received_any(*discovery) && received_any(*broker) && received_any(*peer_router); }));
    std::string list;
    for (std::size_t i = 0; i < server_count; ++i) {
      list += (i == 0 ? R"({"id":"s)" : R"(,{"id":"s)") + std::to_string(i + 1) + R"(","address":")" +
              servers[i]->address() + R"(","rating":16})";
    }
    discovery->peers[0]->stream->write(R"({"form":"complete","revision":1,"servers":[)" + list + "]}\n");
    ASSERT_TRUE(pump.until([&] {
      Caller client(address);
      client.send(request("d0"));
      pump.pass(300);
      return client.seen().find(" 200 ") != std::string::npos;
    }));
  }
  // Sends as many requests at once as there are descriptors; each would need a connection to the client and
  // one to a server. Then sends the delayed answers.
  void use_up_descriptors() {
    std::vector<std::unique_ptr<Caller>> clients;
    for (std::size_t i = 0; i < GetParam().limit; ++i) {
      clients.push_back(std::make_unique<Caller>(address));
      clients.back()->send(request(delayed + std::to_string(i)));
    }
    pump.pass(5'000);
    for (const auto& [peer, id] : std::exchange(delayed_answers, {})) peer->stream->write(reply(id));
    pump.pass(1'000);
  }
  void answer(RawPeer& peer) {
    for (std::size_t end = 0; (end = peer.seen.find("\r\n\r\n")) != std::string::npos;
         peer.seen.erase(0, end + 4)) {
      const std::size_t start = peer.seen.find("ce-id: ") + 7;
      const std::string id = peer.seen.substr(start, peer.seen.find("\r\n", start) - start);
      if (id[0] == delayed) {
        delayed_answers.emplace_back(&peer, id);
      } else {
        peer.stream->write(reply(id));
      }
    }
  }
  std::unique_ptr<transport::BoundSocket> reserve_port() {
    return reactor.reserve(transport::numeric_address("127.0.0.1:0"));
  }
  static bool received_any(const RawServer& server) {
    return std::ranges::any_of(server.peers, [](const auto& peer) { return !peer->seen.empty(); });
  }
  bool run_while_occupied(const std::function<bool()>& condition, Time timeout) {
    return pump.until(
        [&] {
          clients_on_http->step();
          clients_on_replica_port->step();
          return condition();
        },
        timeout);
  }
  testing::AssertionResult served() {
    Caller client(address);
    client.send(request("d" + std::to_string(++requests_sent_)));
    const Time sent_at = reactor.now();
    if (run_while_occupied([&] { return client.seen().find(" 200 ") != std::string::npos; }, service_timeout))
      return testing::AssertionSuccess();
    return testing::AssertionFailure()
           << (client.closed() ? "closed" : "waits") << " after " << (reactor.now() - sent_at) / 10
           << " ms, saw '" << client.seen() << "'";
  }
  void expect_service(const char* when) {
    for (int i = 0; i < 5; ++i) EXPECT_TRUE(served()) << when << ", " << i;
    EXPECT_LE(program->open_descriptors(), GetParam().limit) << when;
    ASSERT_FALSE(program->ended()) << when;
  }

  transport::Loop reactor;
  EventLoopDriver pump{reactor};
  std::vector<std::unique_ptr<RawServer>> servers;
  // Reserved addresses, so that no other process gets one while nothing listens there: of discovery, the
  // broker, the other router, and the tested router's port for other routers.
  const std::array<std::unique_ptr<transport::BoundSocket>, 4> reserved{reserve_port(), reserve_port(),
                                                                        reserve_port(), reserve_port()};
  std::unique_ptr<RawServer> discovery, broker, peer_router;
  std::string path = testing::TempDir() + "serve-" + std::to_string(getpid()) + ".ini",
              list_path = testing::TempDir() + "serve-" + std::to_string(getpid()) + ".list";
  std::vector<std::pair<RawPeer*, std::string>> delayed_answers;
  std::unique_ptr<Process> program;
  transport::Address address, replica_address;
  std::unique_ptr<ReconnectingClients> clients_on_http, clients_on_replica_port;
  int requests_sent_ = 0;
};

TEST_P(DescriptorExhaustionTest, ReconnectsToDiscoveryBrokerAndPeerAndSavesTheEndpointList) {
  start();
  use_up_descriptors();
  for (auto* server : {&discovery, &broker, &peer_router}) server->reset();
  clients_on_http =
      std::make_unique<ReconnectingClients>(address, GetParam().limit, GetParam().habits, FirstBytes());
  clients_on_replica_port = std::make_unique<ReconnectingClients>(
      replica_address, GetParam().limit, std::vector{ClientBehavior::silent}, FirstBytes());
  run_while_occupied([] { return false; }, occupation_span);
  expect_service("discovery, broker and other router unreachable");

  const double used_before = program->used();
  pump.pass(idle_span);
  EXPECT_LT(program->used() - used_before, max_idle_core_share * static_cast<double>(idle_span) / 10'000);

  discovery = std::make_unique<RawServer>(reactor, address_of(0));
  EXPECT_TRUE(run_while_occupied([&] { return received_any(*discovery); }, discovery_reconnect_timeout))
      << "service discovery";
  broker = std::make_unique<RawServer>(reactor, address_of(1));
  peer_router = std::make_unique<RawServer>(reactor, address_of(2));
  EXPECT_TRUE(run_while_occupied([&] { return received_any(*broker); }, peer_reconnect_timeout))
      << "the broker";
  EXPECT_TRUE(run_while_occupied([&] { return received_any(*peer_router); }, peer_reconnect_timeout))
      << "the other router";
  expect_service("discovery, broker and other router reachable again");

  const Time sigterm_sent = reactor.now();
  program->signal(SIGTERM);
  ASSERT_TRUE(run_while_occupied([&] { return program->ended(); }, 100'000));
  EXPECT_LT(static_cast<double>(reactor.now() - sigterm_sent) / 10'000, shutdown_timeout);
  EXPECT_EQ(program->wait(), 0) << program->said();
  std::ifstream list(list_path);
  const std::string saved{std::istreambuf_iterator<char>(list), {}};
  EXPECT_NE(saved.find("\"s1\""), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Limits, DescriptorExhaustionTest,
                         testing::Values(LimitCase{"Of64", 64}, LimitCase{"Of256", 256},
                                         LimitCase{"Of1024", 1024}, LimitCase{"Of64With8Inherited", 64, 8},
                                         LimitCase{"SilentOnes", 64, 0, {ClientBehavior::silent}},
                                         LimitCase{"IdleOnes", 64, 0, {ClientBehavior::idle}},
                                         LimitCase{"HalfRequests", 64, 0, {ClientBehavior::half_request}},
                                         LimitCase{"SlowReaders", 64, 0, {ClientBehavior::slow_reader}}),
                         [](const auto& limit_case) { return limit_case.param.name; });

}  // namespace
}  // namespace rushhill::router
