// An update counts as known to the router 4 s after service discovery fell silent. The client must
// receive it before that on a new watch, and must not restart its watch over and over if discovery is only
// slow. The server in these tests stops sending after a minute of heartbeats, or answers each watch late. The
// time is emulated.
#include "emulator/network.h"
#include "loopback.h"
#include "membership/platform_discovery_client.h"
#include "node/platform_messages.h"

namespace rushhill::membership {
namespace {

constexpr Time second = 10'000;               // tenths of a millisecond
constexpr Time update_deadline = 4 * second;  // after the last line
constexpr int heartbeats_per_minute = 60;
constexpr int first_revision = 4;

class DiscoverySilenceTest : public testing::Test {
 protected:
  DiscoverySilenceTest() {
    client.watch(true);
    advance_time(second / 10);
  }
  void advance_time(Time span) { network.run_until(network.now() + span); }
  RawPeer& connection(std::size_t index) { return *discovery.peers.at(index); }
  void write(std::size_t index, const std::string& bytes) { connection(index).stream->write(bytes); }
  // Sends an event and then a heartbeat each second.
  void send_heartbeats_for_a_minute() {
    ASSERT_EQ(discovery.peers.size(), 1U);
    write(0, node::notice(++last_revision, node::host("early", "10.1.0.8:1")));
    for (int i = 0; i < heartbeats_per_minute; ++i) {
      write(0, std::to_string(last_revision) + "\n");
      advance_time(second);
    }
    ASSERT_EQ(discovery.peers.size(), 1U) << "the watch was restarted although it was not silent";
    ASSERT_EQ(received_ids, std::vector<std::string>{"early"});
    silent_since = network.now() - second;
  }
  // Sends each new watch the event that the old one did not receive. Returns how long after the beginning of
  // the silence the client received it.
  Time wait_for_event_on_a_new_watch() {
    const std::size_t watches_before = discovery.peers.size(), received_before = received_ids.size();
    const std::string message = node::notice(last_revision + 1, node::host("late", "10.1.0.9:1", "leaving"));
    std::size_t answered = watches_before;
    while (received_ids.size() == received_before && network.now() < silent_since + 10 * update_deadline) {
      for (; answered < discovery.peers.size(); ++answered) write(answered, message);
      advance_time(10);
    }
    return network.now() - silent_since;
  }

  emulator::Network network{2};
  NullEventLog event_log;
  RawServer discovery{network};
  std::vector<std::string> received_ids;
  int last_revision = first_revision;
  Time silent_since = 0;
  PlatformDiscoveryClient client{
      network,
      transport::numeric_address(discovery.address()),
      first_revision,
      1,
      event_log,
      [this](EndpointListForm, const std::vector<core::EndpointListEntry>& entries) {
        for (const auto& entry : entries) received_ids.push_back(entry.endpoint.id);
      }};
};

TEST_F(DiscoverySilenceTest, ReplacesAWatchThatFallsSilentAfterAMinute) {
  send_heartbeats_for_a_minute();
  EXPECT_LT(wait_for_event_on_a_new_watch(), update_deadline);
  EXPECT_EQ(received_ids.back(), "late");
}

TEST_F(DiscoverySilenceTest, ReplacesAWatchThatFallsSilentWithinALine) {
  send_heartbeats_for_a_minute();
  const std::string message = node::notice(last_revision + 1, node::host("late", "10.1.0.9:1", "leaving"));
  write(0, message.substr(0, message.size() / 2));
  EXPECT_LT(wait_for_event_on_a_new_watch(), update_deadline);
  EXPECT_EQ(received_ids, (std::vector<std::string>{"early", "late"}))
      << "the event must be received once, without the half line";
}

TEST_F(DiscoverySilenceTest, ReplacesAWatchAtItsFirstHeartbeatAheadOfItsEvents) {
  send_heartbeats_for_a_minute();
  write(0, std::to_string(last_revision + 1) + "\n");
  silent_since = network.now();
  EXPECT_LT(wait_for_event_on_a_new_watch(), second);
  EXPECT_EQ(received_ids.back(), "late");
}

// The answer to each watch takes 3 s, which is longer than the silence timeout.
TEST_F(DiscoverySilenceTest, AcceptsAListThatEachWatchReceivesOnlyAfterThreeSeconds) {
  std::map<std::size_t, Time> watch_started{{0, network.now()}};
  const std::string list = node::whole_list(last_revision + 1, node::host("late", "10.1.0.9:1"));
  const Time start = network.now();
  while (received_ids.empty() && network.now() < start + 10 * update_deadline) {
    advance_time(10);
    for (std::size_t i = 0; i < discovery.peers.size(); ++i) {
      const Time since = watch_started.try_emplace(i, network.now()).first->second;
      if (network.now() - since >= 3 * second && !connection(i).ended) write(i, list);
    }
  }
  EXPECT_EQ(received_ids, std::vector<std::string>{"late"});
  EXPECT_LT(network.now() - start, update_deadline);
  const std::size_t watches = discovery.peers.size();
  const auto open_watch = static_cast<std::size_t>(
      std::ranges::find_if(discovery.peers, [](const auto& peer) { return !peer->ended; }) -
      discovery.peers.begin());
  ASSERT_LT(open_watch, watches);
  for (int i = 0; i < 10; ++i) {
    write(open_watch, std::to_string(last_revision + 1) + "\n");
    advance_time(second);
  }
  EXPECT_EQ(discovery.peers.size(), watches) << "the watch that received a line must be kept";
}

TEST_F(DiscoverySilenceTest, AcceptsAListReceivedInPartsOverThreeSeconds) {
  std::string list = node::whole_list(last_revision + 1, node::host("late", "10.1.0.9:1"));
  list.insert(list.size() - 1, 30'000, ' ');  // the size of a list of 200 servers
  std::vector<std::size_t> sent{0};
  const Time start = network.now();
  constexpr std::size_t parts = 30;  // one each tenth of a second
  while (received_ids.empty() && network.now() < start + 10 * update_deadline) {
    advance_time(second / 10);
    sent.resize(discovery.peers.size());
    for (std::size_t i = 0; i < sent.size(); ++i) {
      const std::size_t part = std::min(list.size() / parts + 1, list.size() - sent[i]);
      if (!connection(i).ended) write(i, list.substr(sent[i], part));
      sent[i] += part;
    }
  }
  EXPECT_EQ(received_ids, std::vector<std::string>{"late"});
  EXPECT_LT(network.now() - start, update_deadline);
  EXPECT_EQ(discovery.peers.size(), 1U);
}

}  // namespace
}  // namespace rushhill::membership
