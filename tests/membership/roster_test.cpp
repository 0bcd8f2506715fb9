// The roster's words, right and wrong, and what a router does when its source breaks.
#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "emulator/network.h"
#include "loopback.h"
#include "membership/roster_client.h"
#include "transport/listener.h"
#include "transport/loop.h"

namespace rushhill::membership {
namespace {

RosterWord word(const std::string& servers) {
  return read_word(R"({"form":"changes","revision":3,"servers":[)" + servers + "]}", 1'000);
}
std::string refusal(const std::string& line) {
  try {
    read_word(line, 0);
    return "taken";
  } catch (const std::invalid_argument& wrong) {
    return wrong.what();
  }
}

TEST(RosterWords, AServerNamedTwiceGetsTheStricterCondition) {
  const RosterWord told = word(R"({"id":"a","address":"127.0.0.1:1","condition":"draining"},
                                  {"id":"a","address":"127.0.0.1:1","condition":"active"})");
  ASSERT_EQ(told.entries.size(), 1U);
  EXPECT_EQ(told.entries[0].endpoint.state, EndpointState::draining);
  EXPECT_EQ(told.remarks.size(), 1U);
}

TEST(RosterWords, ANewerLifeOfTheSameServerCountsAlone) {
  const RosterWord told = word(R"({"id":"a","address":"127.0.0.1:2","started_ms":900,"condition":"active"},
                                  {"id":"a","address":"127.0.0.1:1","started_ms":500,"condition":"gone"})");
  ASSERT_EQ(told.entries.size(), 1U);
  EXPECT_EQ(told.entries[0].endpoint.state, EndpointState::active);
  EXPECT_EQ(told.entries[0].address, "127.0.0.1:2");
  EXPECT_EQ(told.entries[0].endpoint.started, to_timestamp(8'000));  // 9000 tenths less the offset
}

TEST(RosterWords, AnAddressThatTwoServersClaimBelongsToTheLaterStart) {
  const RosterWord told = word(R"({"id":"a","address":"127.0.0.1:1","started_ms":500},
                                  {"id":"b","address":"127.0.0.1:1","started_ms":900})");
  ASSERT_EQ(told.entries.size(), 2U);
  EXPECT_EQ(told.entries[0].endpoint.state, EndpointState::removed);
  EXPECT_EQ(told.entries[1].endpoint.state, EndpointState::active);
}

TEST(RosterWords, WhatCannotBeReadNamesTheField) {
  EXPECT_NE(refusal("nonsense").find("not a JSON object"), std::string::npos);
  EXPECT_NE(refusal(R"({"form":"all","servers":[]})").find("'form'"), std::string::npos);
  EXPECT_NE(refusal(R"({"form":"complete"})").find("'servers'"), std::string::npos);
  EXPECT_NE(refusal(R"({"form":"complete","servers":[{"address":"x"}]})").find("'id'"), std::string::npos);
  EXPECT_NE(refusal(R"({"form":"complete","servers":[{"id":"a"}]})").find("'address'"), std::string::npos);
  EXPECT_NE(refusal(R"({"form":"complete","servers":[{"id":"a b","address":"x"}]})").find("'id'"),
            std::string::npos);
  EXPECT_NE(
      refusal(R"({"form":"complete","servers":[{"id":"a","address":"x","rating":-1}]})").find("'rating'"),
      std::string::npos);
  EXPECT_NE(refusal(R"({"form":"complete","servers":[{"id":"a","address":"x","condition":"ill"}]})")
                .find("'condition'"),
            std::string::npos);
}

TEST(RosterWords, WhatIsRememberedIsReadBackTheSame) {
  Remembered remembered;
  remembered.hear(word(R"({"id":"a","address":"127.0.0.1:1","started_ms":500,"rating":2.5,"kind":"k",
                           "location":"l","cell":4},{"id":"b","address":"127.0.0.1:2"})"));
  remembered.hear(word(R"({"id":"b","condition":"gone"})"));
  RosterWord whole = remembered.whole();
  ASSERT_EQ(whole.entries.size(), 1U);
  whole.form = EndpointListForm::complete;
  const RosterWord back = read_word(write_word(whole, 1'000), 1'000);
  EXPECT_EQ(back.entries[0].endpoint.started, whole.entries[0].endpoint.started);
  EXPECT_EQ(back.entries[0].endpoint.rating, 2.5);
  EXPECT_EQ(back.entries[0].endpoint.cell, 4);
  EXPECT_EQ(back.entries[0].address, "127.0.0.1:1");
}

class Following : public testing::Test {
 protected:
  Following() {
    server.on_bytes = [&](RawPeer& peer) {
      if (!peer.seen.ends_with('\n')) return;  // not the whole question yet
      ++asked;
      if (answer.empty()) return;
      peer.stream->write(answer);
    };
    client.watch(true);
  }
  int failures() const {
    return static_cast<int>(std::count(heard.begin(), heard.end(), EndpointListForm::failed));
  }

  transport::Loop reactor;
  Pump pump{reactor};
  Silent silent;
  RawServer server{reactor};
  std::string answer = R"({"form":"complete","servers":[{"id":"a","address":"127.0.0.1:1"}]})"
                       "\n";
  int asked = 0;
  std::vector<EndpointListForm> heard;
  RosterClient client{
      reactor,
      transport::numeric_address(server.address()),
      4,
      50,
      1,
      silent,
      [this](EndpointListForm form, const std::vector<core::EndpointListEntry>&) { heard.push_back(form); }};
};

TEST_F(Following, ABreakIsToldAndTheCompleteListAskedForAgain) {
  ASSERT_TRUE(pump.until([&] { return heard.size() == 1; }));
  EXPECT_NE(server.peers.front()->seen.find("\"router\":4"), std::string::npos);
  server.peers.front()->stream->close();
  ASSERT_TRUE(pump.until([&] { return heard.size() == 3; }));
  EXPECT_EQ(heard, (std::vector<EndpointListForm>{EndpointListForm::complete, EndpointListForm::failed,
                                                  EndpointListForm::complete}));
}

TEST_F(Following, AWordThatCannotBeReadBreaksTheConnectionAndNotTheList) {
  ASSERT_TRUE(pump.until([&] { return heard.size() == 1; }));
  server.peers.front()->stream->write("{\"form\":\n");
  ASSERT_TRUE(pump.until([&] { return failures() == 1 && heard.back() == EndpointListForm::complete; }));
  EXPECT_TRUE(client.heard_any());
}

TEST_F(Following, AReloadAsksOnceAndFollowsNothing) {
  ASSERT_TRUE(pump.until([&] { return heard.size() == 1; }));
  std::vector<EndpointListForm> told;
  RosterClient other(
      reactor, transport::numeric_address(server.address()), 5, 50, 1, silent,
      [&](EndpointListForm form, const std::vector<core::EndpointListEntry>&) { told.push_back(form); });
  other.resync();
  ASSERT_TRUE(pump.until([&] { return told.size() == 1; }));
  EXPECT_EQ(server.peers.back()->seen, "{\"ask\":\"reload\",\"router\":5}\n");
}

TEST_F(Following, AWordSplitAnywhereIsHeardOnce) {
  reactor.most_at_once = 3;
  ASSERT_TRUE(pump.until([&] { return heard.size() == 1; }));
  pump.pass(200);
  EXPECT_EQ(heard.size(), 1U);
}

// Away for a minute, or there and not opening: it is asked again within 2 s of its return.
TEST(RosterAway, HoweverLongItWasAwayItIsFollowedSoonAfterItsReturn) {
  emulator::Network network{3};
  Silent silent;
  auto source = std::make_unique<RawServer>(network);
  const std::string address = source->address();
  RosterClient client(network, transport::numeric_address(address), 0, 5'000, 1, silent,
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

// Discovery that cannot be reached for long.
struct Client {
  Client(transport::Reactor& reactor, const transport::Address& address, Time retry)
      : client(reactor, address, 4, retry, 1, silent,
               [this](EndpointListForm form, const std::vector<core::EndpointListEntry>&) {
                 heard.push_back(form);
               }) {
    client.watch(true);
  }
  bool told() const { return !heard.empty() && heard.back() == EndpointListForm::complete; }
  Silent silent;
  std::vector<EndpointListForm> heard;
  RosterClient client;
};
const std::string list = "{\"form\":\"complete\",\"servers\":[]}\n";

TEST(UnreachableList, AfterAnHourItIsAskedForWithinThreeSecondsOfItsReturn) {
  emulator::Network network{2};
  const auto place = network.reserve(transport::numeric_address("127.0.0.1:0"));
  Client away(network, place->address(), 5'000);
  network.run_until(network.now() + 3'600 * 10'000);
  EXPECT_GT(away.heard.size(), 1'000U);
  std::vector<std::unique_ptr<RawPeer>> peers;
  const transport::Listener back(network, place->address(), true,
                                 [&](const transport::PendingConnection& arrival) {
                                   peers.push_back(std::make_unique<RawPeer>(network, arrival));
                                   peers.back()->stream->write(list);
                                 });
  network.run_until(network.now() + 30'000 + 100);
  EXPECT_TRUE(away.told());
}

// A connection that never comes up: the system's own tries lie further and further apart, 4 s and more from
// the seventh second on, and the list may return just after one of these.
TEST(UnreachableList, AConnectionThatDoesNotComeUpIsGivenUpAndTriedAnew) {
  transport::Loop reactor;
  Pump pump{reactor};
  Poco::Net::ServerSocket full;  // a queue of one that is taken: further handshakes get no answer
  full.bind(transport::numeric_address("127.0.0.1:0"));
  full.listen(0);
  const Poco::Net::StreamSocket fills(full.address());
  Client client(reactor, full.address(), 50);
  pump.pass(75'000);
  EXPECT_FALSE(client.told());
  std::vector<Poco::Net::StreamSocket> taken;
  const bool told = pump.until(
      [&] {
        while (full.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
          taken.push_back(full.acceptConnection());
          if (taken.size() > 1) taken.back().sendBytes(list.data(), static_cast<int>(list.size()));
        }
        return client.told();
      },
      25'000);
  EXPECT_TRUE(told);
}

// Whether the system asks on a connection to the port whether its peer is there (timer 2 of /proc/net/tcp).
bool kept_alive(int port) {
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

// Discovery's machine vanishes and the connection stays open without a word, as a quiet list's does.
TEST_F(Following, TheSystemAsksWhetherAQuietListIsStillThere) {
  ASSERT_TRUE(pump.until([&] { return heard.size() == 1; }));
  const int port = transport::numeric_address(server.address()).port();
  EXPECT_TRUE(pump.until([&] { return kept_alive(port); }, 10'000));
}

}  // namespace
}  // namespace rushhill::membership
