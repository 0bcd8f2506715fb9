// Discovery that falls silent late: what it would have told is heard before it counts as told, 4 s after the
// silence began, and an answer that is only slow is not asked for again and again. On emulated time.
#include "emulator/network.h"
#include "loopback.h"
#include "membership/board_client.h"
#include "node/platform.h"

namespace rushhill::membership {
namespace {

constexpr Time second = 10'000;              // tenths of a millisecond
constexpr Time counts_as_told = 4 * second;  // from the beginning of a silence
constexpr int beats_of_a_minute = 60;
constexpr int first_number = 4;

class LateSilence : public testing::Test {
 protected:
  LateSilence() {
    client.watch(true);
    pass(second / 10);
  }
  void pass(Time span) { network.run_until(network.now() + span); }
  RawPeer& watch(std::size_t number) { return *discovery.peers.at(number); }
  void write(std::size_t number, const std::string& bytes) { watch(number).stream->write(bytes); }
  // Beats each second, and an event in between.
  void well_for_a_minute() {
    ASSERT_EQ(discovery.peers.size(), 1U);
    write(0, node::notice(++last, node::host("early", "10.1.0.8:1")));
    for (int i = 0; i < beats_of_a_minute; ++i) {
      write(0, std::to_string(last) + "\n");
      pass(second);
    }
    ASSERT_EQ(discovery.peers.size(), 1U) << "no silence so far";
    ASSERT_EQ(names, std::vector<std::string>{"early"});
    silent_since = network.now() - second;
  }
  // Each new watch is told what the old one was not; gives how long after the silence it was heard.
  Time heard_on_a_new_watch() {
    const std::size_t known = discovery.peers.size(), heard = names.size();
    const std::string message = node::notice(last + 1, node::host("late", "10.1.0.9:1", "leaving"));
    std::size_t answered = known;
    while (names.size() == heard && network.now() < silent_since + 10 * counts_as_told) {
      for (; answered < discovery.peers.size(); ++answered) write(answered, message);
      pass(10);
    }
    return network.now() - silent_since;
  }

  emulator::Network network{2};
  Silent silent;
  RawServer discovery{network};
  std::vector<std::string> names;
  int last = first_number;
  Time silent_since = 0;
  BoardClient client{network,
                     transport::numeric_address(discovery.address()),
                     first_number,
                     1,
                     silent,
                     [this](EndpointListForm, const std::vector<core::EndpointListEntry>& entries) {
                       for (const auto& entry : entries) names.push_back(entry.endpoint.id);
                     }};
};

TEST_F(LateSilence, AWatchThatWasWellForAMinuteAndFallsSilentIsReplacedInTime) {
  well_for_a_minute();
  EXPECT_LT(heard_on_a_new_watch(), counts_as_told);
  EXPECT_EQ(names.back(), "late");
}

TEST_F(LateSilence, OneThatFallsSilentInTheMiddleOfALineIsReplacedInTime) {
  well_for_a_minute();
  const std::string message = node::notice(last + 1, node::host("late", "10.1.0.9:1", "leaving"));
  write(0, message.substr(0, message.size() / 2));
  EXPECT_LT(heard_on_a_new_watch(), counts_as_told);
  EXPECT_EQ(names, (std::vector<std::string>{"early", "late"})) << "once, and nothing of the half line";
}

TEST_F(LateSilence, OneThatBeatsAndTellsNoEventsAnyMoreIsReplacedAtItsFirstBeatAhead) {
  well_for_a_minute();
  write(0, std::to_string(last + 1) + "\n");
  silent_since = network.now();
  EXPECT_LT(heard_on_a_new_watch(), second);
  EXPECT_EQ(names.back(), "late");
}

// The answer to each watch takes 3 s, longer than the silence that is borne.
TEST_F(LateSilence, AListThatEachWatchGetsOnlyAfterThreeSecondsIsTaken) {
  std::map<std::size_t, Time> asked{{0, network.now()}};
  const std::string list = node::whole_list(last + 1, node::host("late", "10.1.0.9:1"));
  const Time begun = network.now();
  while (names.empty() && network.now() < begun + 10 * counts_as_told) {
    pass(10);
    for (std::size_t i = 0; i < discovery.peers.size(); ++i) {
      const Time since = asked.try_emplace(i, network.now()).first->second;
      if (network.now() - since >= 3 * second && !watch(i).ended) write(i, list);
    }
  }
  EXPECT_EQ(names, std::vector<std::string>{"late"});
  EXPECT_LT(network.now() - begun, counts_as_told);
  const std::size_t watches = discovery.peers.size();
  const auto still_open = static_cast<std::size_t>(
      std::ranges::find_if(discovery.peers, [](const auto& peer) { return !peer->ended; }) -
      discovery.peers.begin());
  ASSERT_LT(still_open, watches);
  for (int i = 0; i < 10; ++i) {
    write(still_open, std::to_string(last + 1) + "\n");
    pass(second);
  }
  EXPECT_EQ(discovery.peers.size(), watches) << "the one that spoke is followed";
}

TEST_F(LateSilence, AListOfWhichAPartComesEachMomentForThreeSecondsIsTaken) {
  std::string list = node::whole_list(last + 1, node::host("late", "10.1.0.9:1"));
  list.insert(list.size() - 1, 30'000, ' ');  // as long as that of 200 servers
  std::vector<std::size_t> sent{0};
  const Time begun = network.now();
  constexpr std::size_t parts = 30;  // a tenth of a second each
  while (names.empty() && network.now() < begun + 10 * counts_as_told) {
    pass(second / 10);
    sent.resize(discovery.peers.size());
    for (std::size_t i = 0; i < sent.size(); ++i) {
      const std::size_t part = std::min(list.size() / parts + 1, list.size() - sent[i]);
      if (!watch(i).ended) write(i, list.substr(sent[i], part));
      sent[i] += part;
    }
  }
  EXPECT_EQ(names, std::vector<std::string>{"late"});
  EXPECT_LT(network.now() - begun, counts_as_told);
  EXPECT_EQ(discovery.peers.size(), 1U);
}

}  // namespace
}  // namespace rushhill::membership
