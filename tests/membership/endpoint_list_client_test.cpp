// A malformed or contradictory endpoint list message must not damage the list, and a broken, unreachable or
// vanished discovery must be contacted again. The tests parse messages, and run the client against servers
// that send wrong messages, close the connection, do not accept it or return late.
#include "membership/endpoint_list_client.h"

#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "emulator/network.h"
#include "loopback.h"
#include "transport/listener.h"
#include "transport/loop.h"

namespace rushhill::membership {
namespace {

EndpointListMessage read_changes(const std::string& servers) {
  return read_endpoint_list_message(R"({"form":"changes","revision":3,"servers":[)" + servers + "]}", 1'000);
}
std::string read_error(const std::string& line) {
  try {
    read_endpoint_list_message(line, 0);
    return "taken";
  } catch (const std::invalid_argument& error) {
    return error.what();
  }
}

TEST(EndpointListMessageTest, AServerListedTwiceGetsTheStricterState) {
  const EndpointListMessage message =
      read_changes(R"({"id":"a","address":"127.0.0.1:1","condition":"draining"},
                                  {"id":"a","address":"127.0.0.1:1","condition":"active"})");
  ASSERT_EQ(message.entries.size(), 1U);
  EXPECT_EQ(message.entries[0].endpoint.state, EndpointState::draining);
  EXPECT_EQ(message.remarks.size(), 1U);
}

TEST(EndpointListMessageTest, OnlyTheNewerIncarnationOfAServerCounts) {
  const EndpointListMessage message =
      read_changes(R"({"id":"a","address":"127.0.0.1:2","started_ms":900,"condition":"active"},
                                  {"id":"a","address":"127.0.0.1:1","started_ms":500,"condition":"gone"})");
  ASSERT_EQ(message.entries.size(), 1U);
  EXPECT_EQ(message.entries[0].endpoint.state, EndpointState::active);
  EXPECT_EQ(message.entries[0].address, "127.0.0.1:2");
  EXPECT_EQ(message.entries[0].endpoint.started, to_timestamp(8'000));  // 9000 tenths less the offset
}

TEST(EndpointListMessageTest, AnAddressClaimedTwiceBelongsToTheLaterStart) {
  const EndpointListMessage message = read_changes(R"({"id":"a","address":"127.0.0.1:1","started_ms":500},
                                  {"id":"b","address":"127.0.0.1:1","started_ms":900})");
  ASSERT_EQ(message.entries.size(), 2U);
  EXPECT_EQ(message.entries[0].endpoint.state, EndpointState::removed);
  EXPECT_EQ(message.entries[1].endpoint.state, EndpointState::active);
}

TEST(EndpointListMessageTest, ErrorsNameTheField) {
  EXPECT_NE(read_error("nonsense").find("not a JSON object"), std::string::npos);
  EXPECT_NE(read_error(R"({"form":"all","servers":[]})").find("'form'"), std::string::npos);
  EXPECT_NE(read_error(R"({"form":"complete"})").find("'servers'"), std::string::npos);
  EXPECT_NE(read_error(R"({"form":"complete","servers":[{"address":"x"}]})").find("'id'"), std::string::npos);
  EXPECT_NE(read_error(R"({"form":"complete","servers":[{"id":"a"}]})").find("'address'"), std::string::npos);
  EXPECT_NE(read_error(R"({"form":"complete","servers":[{"id":"a b","address":"x"}]})").find("'id'"),
            std::string::npos);
  EXPECT_NE(
      read_error(R"({"form":"complete","servers":[{"id":"a","address":"x","rating":-1}]})").find("'rating'"),
      std::string::npos);
  EXPECT_NE(read_error(R"({"form":"complete","servers":[{"id":"a","address":"x","condition":"ill"}]})")
                .find("'condition'"),
            std::string::npos);
}

TEST(EndpointListMessageTest, AWrittenListIsReadBackUnchanged) {
  CurrentEndpointList current_list;
  current_list.hear(
      read_changes(R"({"id":"a","address":"127.0.0.1:1","started_ms":500,"rating":2.5,"kind":"k",
                           "location":"l","cell":4},{"id":"b","address":"127.0.0.1:2"})"));
  current_list.hear(read_changes(R"({"id":"b","condition":"gone"})"));
  EndpointListMessage list = current_list.whole();
  ASSERT_EQ(list.entries.size(), 1U);
  list.form = EndpointListForm::complete;
  const EndpointListMessage restored =
      read_endpoint_list_message(write_endpoint_list_message(list, 1'000), 1'000);
  EXPECT_EQ(restored.entries[0].endpoint.started, list.entries[0].endpoint.started);
  EXPECT_EQ(restored.entries[0].endpoint.rating, 2.5);
  EXPECT_EQ(restored.entries[0].endpoint.cell, 4);
  EXPECT_EQ(restored.entries[0].address, "127.0.0.1:1");
}

class EndpointListClientTest : public testing::Test {
 protected:
  EndpointListClientTest() {
    server.on_bytes = [&](RawPeer& peer) {
      if (!peer.seen.ends_with('\n')) return;  // The request is not complete yet.
      ++request_count;
      if (response.empty()) return;
      peer.stream->write(response);
    };
    client.watch(true);
  }
  int failure_count() const {
    return static_cast<int>(
        std::count(received_forms.begin(), received_forms.end(), EndpointListForm::failed));
  }

  transport::Loop reactor;
  EventLoopDriver driver{reactor};
  NullEventLog event_log;
  RawServer server{reactor};
  std::string response = R"({"form":"complete","servers":[{"id":"a","address":"127.0.0.1:1"}]})"
                         "\n";
  int request_count = 0;
  std::vector<EndpointListForm> received_forms;
  EndpointListClient client{reactor,
                            transport::numeric_address(server.address()),
                            4,
                            50,
                            1,
                            event_log,
                            [this](EndpointListForm form, const std::vector<core::EndpointListEntry>&) {
                              received_forms.push_back(form);
                            }};
};

TEST_F(EndpointListClientTest, ReportsABrokenConnectionAndRequestsTheCompleteListAgain) {
  ASSERT_TRUE(driver.until([&] { return received_forms.size() == 1; }));
  EXPECT_NE(server.peers.front()->seen.find("\"router\":4"), std::string::npos);
  server.peers.front()->stream->close();
  ASSERT_TRUE(driver.until([&] { return received_forms.size() == 3; }));
  EXPECT_EQ(received_forms,
            (std::vector<EndpointListForm>{EndpointListForm::complete, EndpointListForm::failed,
                                           EndpointListForm::complete}));
}

TEST_F(EndpointListClientTest, ReconnectsAfterAMessageThatCannotBeRead) {
  ASSERT_TRUE(driver.until([&] { return received_forms.size() == 1; }));
  server.peers.front()->stream->write("{\"form\":\n");
  ASSERT_TRUE(driver.until(
      [&] { return failure_count() == 1 && received_forms.back() == EndpointListForm::complete; }));
  EXPECT_TRUE(client.received_any());
}

TEST_F(EndpointListClientTest, ResyncRequestsTheListOnceWithoutAWatch) {
  ASSERT_TRUE(driver.until([&] { return received_forms.size() == 1; }));
  std::vector<EndpointListForm> other_forms;
  EndpointListClient other(reactor, transport::numeric_address(server.address()), 5, 50, 1, event_log,
                           [&](EndpointListForm form, const std::vector<core::EndpointListEntry>&) {
                             other_forms.push_back(form);
                           });
  other.resync();
  ASSERT_TRUE(driver.until([&] { return other_forms.size() == 1; }));
  EXPECT_EQ(server.peers.back()->seen, "{\"ask\":\"reload\",\"router\":5}\n");
}

TEST_F(EndpointListClientTest, ReceivesAMessageSplitIntoSmallReadsOnce) {
  reactor.max_io_bytes = 3;
  ASSERT_TRUE(driver.until([&] { return received_forms.size() == 1; }));
  driver.pass(200);
  EXPECT_EQ(received_forms.size(), 1U);
}

// Discovery refuses connections for a minute. The client must request the list within 2 s of its return.
TEST(EndpointListRecoveryTest, ReconnectsWithinTwoSecondsAfterAMinuteOffline) {
  emulator::Network network{3};
  NullEventLog event_log;
  auto source = std::make_unique<RawServer>(network);
  const std::string address = source->address();
  EndpointListClient client(network, transport::numeric_address(address), 0, 5'000, 1, event_log,
                            [](EndpointListForm, const std::vector<core::EndpointListEntry>&) {});
  client.watch(true);
  network.run_until(network.now() + 1'000);
  ASSERT_EQ(source->peers.size(), 1U);
  source.reset();
  network.run_until(network.now() + 600'000);
  source = std::make_unique<RawServer>(network, address);
  network.run_until(network.now() + 20'000);
  ASSERT_EQ(source->peers.size(), 1U);
  EXPECT_NE(source->peers[0]->seen.find("follow"), std::string::npos);
}

// A client that has started its watch, and what it has received.
struct WatchingClient {
  WatchingClient(transport::Reactor& reactor, const transport::Address& address, Time retry)
      : client(reactor, address, 4, retry, 1, event_log,
               [this](EndpointListForm form, const std::vector<core::EndpointListEntry>&) {
                 received_forms.push_back(form);
               }) {
    client.watch(true);
  }
  bool received_list() const {
    return !received_forms.empty() && received_forms.back() == EndpointListForm::complete;
  }
  NullEventLog event_log;
  std::vector<EndpointListForm> received_forms;
  EndpointListClient client;
};
const std::string empty_list = "{\"form\":\"complete\",\"servers\":[]}\n";

TEST(UnreachableDiscoveryTest, ReceivesTheListWithinThreeSecondsAfterAnHourOffline) {
  emulator::Network network{2};
  const auto reserved_address = network.reserve(transport::numeric_address("127.0.0.1:0"));
  WatchingClient client(network, reserved_address->address(), 5'000);
  network.run_until(network.now() + 3'600 * 10'000);
  EXPECT_GT(client.received_forms.size(), 1'000U);
  std::vector<std::unique_ptr<RawPeer>> peers;
  const transport::Listener listener(network, reserved_address->address(), true,
                                     [&](const transport::PendingConnection& connection) {
                                       peers.push_back(std::make_unique<RawPeer>(network, connection));
                                       peers.back()->stream->write(empty_list);
                                     });
  network.run_until(network.now() + 30'000 + 100);
  EXPECT_TRUE(client.received_list());
}

// The kernel retransmits a connection request at growing intervals, 4 s and more from the seventh second on,
// and discovery may return just after one of these. The client must therefore start a new connection itself.
TEST(UnreachableDiscoveryTest, RetriesAConnectionThatIsNeverEstablished) {
  transport::Loop reactor;
  EventLoopDriver driver{reactor};
  Poco::Net::ServerSocket full_listener;  // Its queue of one is full, so further handshakes get no response.
  full_listener.bind(transport::numeric_address("127.0.0.1:0"));
  full_listener.listen(0);
  const Poco::Net::StreamSocket queued(full_listener.address());
  WatchingClient client(reactor, full_listener.address(), 50);
  driver.pass(75'000);
  EXPECT_FALSE(client.received_list());
  std::vector<Poco::Net::StreamSocket> accepted;
  const bool received = driver.until(
      [&] {
        while (full_listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
          accepted.push_back(full_listener.acceptConnection());
          if (accepted.size() > 1)
            accepted.back().sendBytes(empty_list.data(), static_cast<int>(empty_list.size()));
        }
        return client.received_list();
      },
      25'000);
  EXPECT_TRUE(received);
}

// Returns whether keepalive is active on a connection to the port (timer 2 in /proc/net/tcp).
bool has_keepalive(int port) {
  std::ostringstream suffix;
  suffix << ':' << std::uppercase << std::hex << port;
  std::ifstream in("/proc/net/tcp");
  for (std::string line; std::getline(in, line);) {
    std::istringstream words(line);
    std::string number, local, remote, state, queues, timer;
    words >> number >> local >> remote >> state >> queues >> timer;
    if (remote.ends_with(suffix.str()) && state == "01" && timer.starts_with("02")) return true;
  }
  return false;
}

// If the machine of discovery vanishes, its connection stays open without data, like that of a list without
// changes. Only keepalive detects this.
TEST_F(EndpointListClientTest, EnablesKeepaliveOnAnIdleConnection) {
  ASSERT_TRUE(driver.until([&] { return received_forms.size() == 1; }));
  const int port = transport::numeric_address(server.address()).port();
  EXPECT_TRUE(driver.until([&] { return has_keepalive(port); }, 10'000));
}

}  // namespace
}  // namespace rushhill::membership
