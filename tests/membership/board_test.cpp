// The notice board: whatever it breaks off, repeats or keeps silent about, nothing told is missed.
#include "emulator/network.h"
#include "loopback.h"
#include "membership/board_client.h"

namespace rushhill::membership {
namespace {

std::string event(int number, const std::string& host, const std::string& state = "active") {
  return R"({"rev":)" + std::to_string(number) + R"(,"pool":{"seq":7,"whole":false,"hosts":[{"host":")" +
         host + R"(","dial":"10.1.0.9:10080","site":"east","class":"std","block":2,"health":")" + state +
         R"(","share":4,"born_ms":0}]}})" + "\n";
}

class BoardStory : public testing::Test {
 protected:
  BoardStory() { client.watch(true); }
  bool watching(std::size_t peer, const std::string& line) {
    return pump.until([&] { return board.peers.size() > peer && board.peers[peer]->seen == line; });
  }
  bool heard(std::size_t count) {
    return pump.until([&] { return names.size() >= count; });
  }

  transport::Loop reactor;
  Pump pump{reactor};
  Silent silent;
  RawServer board{reactor};
  std::vector<std::string> names;
  BoardClient client{reactor,
                     transport::numeric_address(board.address()),
                     4,
                     1,
                     silent,
                     [this](EndpointListForm, const std::vector<core::EndpointListEntry>& entries) {
                       for (const auto& entry : entries) names.push_back(entry.endpoint.id);
                     }};
};

TEST_F(BoardStory, CutAtAnyByteTheEventIsHeardOnceAndWholeAfterTheBreak) {
  const std::string text = event(5, "s5");
  for (const std::size_t cut : {std::size_t{0}, std::size_t{1}, text.size() / 2, text.size() - 1}) {
    const std::size_t peer = board.peers.empty() ? 0 : board.peers.size();
    ASSERT_TRUE(watching(peer, "watch 4\n")) << cut;
    board.peers[peer]->stream->write(text.substr(0, cut));
    board.peers[peer]->stream->shutdown_write();
    ASSERT_TRUE(pump.until([&] { return board.peers.size() > peer + 1; })) << cut;
    EXPECT_TRUE(names.empty());
  }
  const std::size_t peer = board.peers.size() - 1;
  ASSERT_TRUE(watching(peer, "watch 4\n"));
  board.peers[peer]->stream->write(text);
  ASSERT_TRUE(heard(1));
  EXPECT_EQ(names[0], "s5");
}

TEST_F(BoardStory, AnEventHeardTwiceCountsOnceAndAGapIsAskedForAgain) {
  ASSERT_TRUE(watching(0, "watch 4\n"));
  board.peers[0]->stream->write(event(5, "s5") + event(5, "s5") + "{\"rev\":5}\n5\n" + event(7, "s7"));
  ASSERT_TRUE(watching(1, "watch 5\n"));
  EXPECT_EQ(names, std::vector<std::string>{"s5"});
  board.peers[1]->stream->write(event(6, "s6") + event(7, "s7"));
  ASSERT_TRUE(heard(3));
  EXPECT_EQ(names, (std::vector<std::string>{"s5", "s6", "s7"}));
}

TEST_F(BoardStory, ABeatAheadOfUsAndAnUnreadableLineBringANewWatch) {
  ASSERT_TRUE(watching(0, "watch 4\n"));
  board.peers[0]->stream->write("{\"rev\":9}\n");
  ASSERT_TRUE(watching(1, "watch 4\n"));
  board.peers[1]->stream->write("{\"rev\":nonsense\n");
  ASSERT_TRUE(watching(2, "watch 4\n"));
  EXPECT_TRUE(names.empty());
}

TEST_F(BoardStory, ABoardThatClaimsNonsenseIsAskedMoreAndMoreSeldom) {
  board.on_bytes = [](RawPeer& peer) { peer.stream->write("{\"rev\":999999}\n"); };
  ASSERT_TRUE(pump.until([&] { return board.peers.size() == 6; }));
  const Time before = reactor.now();
  ASSERT_TRUE(pump.until([&] { return board.peers.size() == 8; }));
  EXPECT_GE(reactor.now() - before, 4'000) << "two pauses of at least half the longest";
  EXPECT_TRUE(names.empty());
}

TEST_F(BoardStory, ASilentBoardIsLeftWhileItStaysOpen) {
  ASSERT_TRUE(watching(0, "watch 4\n"));
  ASSERT_TRUE(watching(1, "watch 4\n")) << "it never says a word";
}

// What the board would have told counts as told 4 s after it fell silent, also where the next one that is
// asked says nothing either. On emulated time, from the last beat.
TEST(SilentBoard, TwoSilencesInARowAreOverBeforeItsWordCountsAsTold) {
  emulator::Network network{2};
  Silent silent;
  RawServer board{network};
  std::vector<std::string> names;
  BoardClient client{network,
                     transport::numeric_address(board.address()),
                     4,
                     1,
                     silent,
                     [&](EndpointListForm, const std::vector<core::EndpointListEntry>& entries) {
                       for (const auto& entry : entries) names.push_back(entry.endpoint.id);
                     }};
  client.watch(true);
  network.run_until(network.now() + 1'000);
  ASSERT_EQ(board.peers.size(), 1U);
  board.peers[0]->stream->write("4\n");
  const Time last_beat = network.now();
  network.run_until(last_beat + 11'000);
  EXPECT_EQ(board.peers.size(), 1U) << "a beat that is a little late is no silence";
  while (board.peers.size() < 3 && network.now() < last_beat + 100'000) network.run_until(network.now() + 10);
  ASSERT_EQ(board.peers.size(), 3U);
  board.peers[2]->stream->write(event(5, "s5", "leaving"));
  network.run_until(network.now() + 20);
  EXPECT_EQ(names, std::vector<std::string>{"s5"});
  EXPECT_LT(network.now(), last_beat + 40'000);
}

// A list of megabytes takes longer than the silence that is borne; a few bytes now and then are silence.
TEST(SilentBoard, ALineThatIsStillComingIsNoSilenceButATrickleIs) {
  emulator::Network network{2};
  Silent silent;
  RawServer board{network};
  std::vector<std::string> names;
  BoardClient client{network,
                     transport::numeric_address(board.address()),
                     4,
                     1,
                     silent,
                     [&](EndpointListForm, const std::vector<core::EndpointListEntry>& entries) {
                       for (const auto& entry : entries) names.push_back(entry.endpoint.id);
                     }};
  client.watch(true);
  network.run_until(network.now() + 1'000);
  ASSERT_EQ(board.peers.size(), 1U);
  const std::string list = event(5, std::string(150, 's')), blanks(100 * 1024, ' ');
  const std::size_t cut = list.find(',') + 1;
  board.peers[0]->stream->write(list.substr(0, cut));
  for (int i = 0; i < 5; ++i) {
    board.peers[0]->stream->write(blanks);
    network.run_until(network.now() + 10'000);
  }
  board.peers[0]->stream->write(list.substr(cut));
  network.run_until(network.now() + 1'000);
  EXPECT_EQ(names.size(), 1U);
  EXPECT_EQ(board.peers.size(), 1U);
  for (int i = 0; i < 5 && board.peers.size() == 1; ++i) {
    board.peers[0]->stream->write("{");
    network.run_until(network.now() + 10'000);
  }
  EXPECT_EQ(board.peers.size(), 2U);
}

// A number that falls back tells nothing new, and is no reason to ask again.
TEST_F(BoardStory, ANumberThatFallsBackIsPassedOver) {
  ASSERT_TRUE(watching(0, "watch 4\n"));
  board.peers[0]->stream->write(event(3, "old") + "2\n" + event(5, "s5"));
  ASSERT_TRUE(heard(1));
  EXPECT_EQ(names, std::vector<std::string>{"s5"});
  EXPECT_EQ(board.peers.size(), 1U);
}

TEST_F(BoardStory, ItGoesToAnotherAddressAndTheNumbersGoOn) {
  ASSERT_TRUE(watching(0, "watch 4\n"));
  board.peers[0]->stream->write(event(5, "s5"));
  ASSERT_TRUE(heard(1));
  RawServer other(reactor);
  client.move_to(transport::numeric_address(other.address()));
  ASSERT_TRUE(pump.until([&] { return !other.peers.empty() && other.peers[0]->seen == "watch 5\n"; }));
  other.peers[0]->stream->write(event(6, "s6", "leaving"));
  ASSERT_TRUE(heard(2));
}

TEST(NoticeStory, AStartInUnixTimeIsTurnedIntoThisClock) {
  const auto json = settings::Json::parse(
      R"({"rev":1,"pool":{"whole":true,"hosts":[{"host":"s","dial":"1.2.3.4:5","health":"left","born_ms":2000}]}})");
  const Notice notice = read_notice(json, 15'000);
  EXPECT_TRUE(notice.whole);
  ASSERT_EQ(notice.entries.size(), 1U);
  EXPECT_EQ(notice.entries[0].endpoint.started, to_timestamp(5'000));
  EXPECT_EQ(notice.entries[0].endpoint.state, EndpointState::removed);
}

TEST(NoticeStory, WhatIsMissingIsNamed) {
  const auto read = [](const char* text) -> std::string {
    try {
      read_line(text, 0);
    } catch (const settings::BadField& wrong) {
      return wrong.what();
    }
    return "";
  };
  EXPECT_EQ(read(R"({"rev":2,"pool":{"hosts":[{"health":"active"}]}})"), "missing field 'hosts.host'");
  EXPECT_EQ(read(R"({"rev":2,"pool":{"hosts":[{"host":"s","health":"well"}]}})"),
            "field 'hosts.health' has the unknown value 'well'");
  EXPECT_EQ(read("7"), "");
}

}  // namespace
}  // namespace rushhill::membership
