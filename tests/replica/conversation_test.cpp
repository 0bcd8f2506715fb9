// Two routers on a line in memory: bytes come in pieces, are cut off, changed, or meant for another build.
#include "replica/conversation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace rushhill::replica {
namespace {

constexpr Time second = 10'000;

struct Quiet final : Findings {
  void full(Kind) override {}
  void copies_differed(const StreamId&, const Word&, const Word&) override { ++differed; }
  void second_of_us(const Writer&) override {}
  void honoured_twice(const std::string&, const Writer&, const Writer&) override {}
  int differed = 0;
};

struct MemoryLine final : Line {
  void send(const std::string& bytes) override { out += bytes, longest = std::max(longest, bytes.size()); }
  std::size_t unsent() const override { return out.size(); }
  std::string out;
  std::size_t longest = 0;
};

Bounds bounds() {
  Bounds told{.streams = 100, .horizon = 60 * second};
  told.life.fill(30 * second);
  told.own.fill(100'000);
  told.together.fill(100'000);
  return told;
}

struct Router {
  explicit Router(int number, std::uint64_t incarnation = 1) : copy({number, incarnation}, bounds(), noted) {
    hello.deployment = "yard";
    hello.name = "n" + std::to_string(number);
    hello.writer = copy.me();
  }
  std::uint64_t mark(const std::string& event) {
    return copy.write(0, Kind::mark, event, static_cast<std::uint32_t>(Stage::taken));
  }
  bool knows(const std::string& event) const { return copy.strictest(Kind::mark, event) > 0; }
  Quiet noted;
  Replica copy;
  Hello hello;
};

// A connection between two.
struct Meeting {
  Meeting(Router& a, Router& b, const Pace& pace = {})
      : one(a.hello, a.copy, from_one, pace), other(b.hello, b.copy, from_other, pace) {
    one.opened(), other.opened();
  }
  // Carries what is on the line, at most so many bytes at a time; false: one of them hung up.
  bool carry(Time now, std::size_t most = 1'000'000) {
    const std::string there = take(from_one, most), back = take(from_other, most);
    const bool told = other.arrived(now, there);
    return one.arrived(now, back) && told;
  }
  static std::string take(MemoryLine& line, std::size_t most) {
    std::string bytes = line.out.substr(0, most);
    line.out.erase(0, bytes.size());
    return bytes;
  }
  void settle(Time from = 0, int turns = 20) {
    for (int i = 0; i < turns; ++i) {
      carry(from), one.turn(from), other.turn(from);
    }
  }
  MemoryLine from_one, from_other;
  Conversation one, other;
};

TEST(ConversationStory, BothCopiesComeTogetherAndTheWriterHearsThatItsWordIsHeld) {
  Router a(1), b(2);
  const std::uint64_t number = a.mark("e");
  b.mark("f");
  Meeting meeting(a, b);
  EXPECT_EQ(a.copy.holders(Kind::mark, number), 0);
  meeting.settle();
  EXPECT_TRUE(b.knows("e") && a.knows("f"));
  EXPECT_EQ(a.copy.holders(Kind::mark, number), 1);
  const std::uint64_t later = a.mark("g");
  meeting.one.turn(1);
  ASSERT_TRUE(meeting.carry(1));
  EXPECT_TRUE(b.knows("g")) << "told in the same turn, not with the next points";
  ASSERT_TRUE(meeting.carry(1));
  EXPECT_EQ(a.copy.holders(Kind::mark, later), 1);
}

TEST(ConversationStory, BytesMayComeOneByOne) {
  Router a(1), b(2);
  for (int i = 0; i < 30; ++i) a.mark("e" + std::to_string(i));
  Meeting meeting(a, b);
  for (int i = 0; i < 20'000 && b.copy.behind(a.copy.summary()) > 0; ++i) {
    ASSERT_TRUE(meeting.carry(0, 1));
  }
  EXPECT_TRUE(b.knows("e29"));
}

TEST(ConversationStory, ALongWayIsToldInBoundedPartsAndALineThatTakesNothingIsNotFilled) {
  Router a(1), b(2);
  for (int i = 0; i < 5'000; ++i) a.mark("event " + std::to_string(i));
  Meeting meeting(a, b, {.words = 100, .unsent = 20'000, .points_every = second});
  meeting.settle(0, 3);
  EXPECT_GT(b.copy.size(Kind::mark), 100U);
  EXPECT_LT(b.copy.size(Kind::mark), 1'000U);
  EXPECT_GT(meeting.other.behind(), 0U);
  for (int i = 0; i < 1'000; ++i) meeting.one.turn(i);
  EXPECT_LT(meeting.from_one.out.size(), 20'000U + meeting.from_one.longest);
  meeting.settle(0, 60);
  EXPECT_EQ(b.copy.size(Kind::mark), 5'000U);
  EXPECT_EQ(meeting.other.behind(), 0U);
  EXPECT_LT(meeting.from_one.longest, 10'000U) << "a hundred words";
}

TEST(ConversationStory, CutInMidFrameItGoesOnOnTheNextConnection) {
  Router a(1), b(2);
  for (int i = 0; i < 50; ++i) a.mark("e" + std::to_string(i));
  for (const std::size_t cut : {std::size_t{3}, std::size_t{40}, std::size_t{300}, std::size_t{700}}) {
    Meeting meeting(a, b, {.words = 10});
    for (std::size_t carried = 0; carried < cut; ++carried) ASSERT_TRUE(meeting.carry(0, 1));
  }
  EXPECT_LT(b.copy.size(Kind::mark), 50U);
  Meeting meeting(a, b);
  meeting.settle();
  EXPECT_EQ(b.copy.size(Kind::mark), 50U);
  EXPECT_EQ(b.noted.differed, 0);
}

TEST(ConversationStory, AChangedByteIsFoundWhereverItIs) {
  for (std::size_t at = 0; at < 400; ++at) {
    Router a(1), b(2);
    a.mark("e");
    Meeting meeting(a, b);
    std::string bytes;
    for (int i = 0; i < 6; ++i) {
      bytes += meeting.from_one.out;
      if (!meeting.carry(0)) break;
    }
    if (at >= bytes.size()) break;
    Router c(3);
    MemoryLine line;
    Conversation hearing(c.hello, c.copy, line, {});
    std::string changed = bytes;
    changed[at] = static_cast<char>(changed[at] ^ 0x10);
    // Bytes that go on coming show a wrong length.
    const bool taken =
        hearing.arrived(0, changed) && hearing.arrived(0, std::string(longest_frame + 64, 'x'));
    EXPECT_FALSE(taken) << at;
    EXPECT_FALSE(hearing.reason().empty());
  }
}

TEST(ConversationStory, WhoIsNotOneOfUsIsRefusedAndHearsWhy) {
  const auto refused = [](const std::function<void(Hello&)>& change) {
    Router a(1), b(2);
    change(b.hello);
    a.mark("e");
    Meeting meeting(a, b);
    meeting.carry(0), meeting.carry(0);
    EXPECT_FALSE(b.knows("e"));
    return meeting.one.reason() + "|" + meeting.other.reason();
  };
  EXPECT_NE(refused([](Hello& h) { h.deployment = "barn"; }).find("of deployment 'barn', not 'yard'"),
            std::string::npos);
  EXPECT_NE(refused([](Hello& h) { h.writer = {1, 1}; }).find("a second router"), std::string::npos);
  EXPECT_NE(refused([](Hello& h) { h.name = "n1"; }).find("a second router 'n1'"), std::string::npos);
  EXPECT_NE(refused([](Hello& h) { h.version = h.least_version = 9; }).find("do not understand"),
            std::string::npos);
}

TEST(ConversationStory, AcknowledgingWhatNobodyToldMakesNoTableGrow) {
  Router a(1), b(2);
  a.mark("e");
  Meeting meeting(a, b);
  meeting.settle();
  const std::size_t before = meeting.one.streams_told();
  for (std::uint64_t life = 10; life < 1'000; ++life) {
    const Points made_up{.summary = {{{Kind::mark, {5, life}}, {.ended = 0, .through = 1}}}, .all = false};
    ASSERT_TRUE(meeting.one.arrived(0, write_frame(made_up)));
  }
  EXPECT_EQ(meeting.one.streams_told(), before);
}

TEST(ConversationStory, ANewerBuildThatSaysMoreIsUnderstoodAsFarAsItGoes) {
  Router a(1), b(2);
  b.hello.version = 2;
  Meeting meeting(a, b);
  ASSERT_TRUE(meeting.carry(0));
  // A frame of a kind, and a stream of a kind, that this build does not know; then one that it does.
  const StreamId newer{static_cast<Kind>(17), {2, 1}}, known{Kind::mark, {2, 1}};
  std::string strange = write_frame(
      Batch{{.stream = newer, .through = 1, .of = 1, .words = {{.number = 1, .key = "x"}}},
            {.stream = known, .through = 1, .of = 1, .words = {{.number = 1, .key = "y", .rank = 1}}}});
  ASSERT_TRUE(meeting.one.arrived(0, strange));
  EXPECT_TRUE(a.knows("y"));
  EXPECT_EQ(a.copy.streams(), static_cast<std::size_t>(kinds) + 1);
}

TEST(ConversationStory, WhoSaysAnythingBeforeItsHelloOrItTwiceIsHungUpOn) {
  Router a(1);
  MemoryLine line;
  Conversation early(a.hello, a.copy, line, {}), twice(a.hello, a.copy, line, {});
  EXPECT_FALSE(early.arrived(0, write_frame(Points{})));
  EXPECT_EQ(early.reason(), "no hello came first");
  const std::string hello = write_frame(Router(2).hello);
  EXPECT_FALSE(twice.arrived(0, hello + hello));
  EXPECT_EQ(twice.reason(), "a second hello");
  EXPECT_FALSE(twice.arrived(0, hello));
}

TEST(FramesStory, AFrameCutAnywhereIsAwaitedAndThenRead) {
  const StreamId stream{Kind::quota, {7, 0xfedcba9876543210ULL}};
  const Batch batch{
      {.stream = stream,
       .after = 3,
       .ended = 2,
       .through = 9,
       .of = 12,
       .words = {{.number = 9, .key = std::string("a\0b", 3), .rank = 4, .count = 1ULL << 60U, .age = 77}}}};
  const std::string bytes = write_frame(batch);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    FrameReader reader;
    Frame frame;
    reader.put(bytes.substr(0, cut));
    ASSERT_EQ(reader.next(frame), Progress::more) << cut;
    reader.put(bytes.substr(cut));
    ASSERT_EQ(reader.next(frame), Progress::frame) << cut;
    const auto& read = std::get<Batch>(frame).at(0);
    EXPECT_EQ(read.stream, stream);
    EXPECT_EQ(read.of, 12U);
    EXPECT_EQ(read.words.at(0).key, std::string("a\0b", 3));
    EXPECT_EQ(read.words.at(0).count, 1ULL << 60U);
    EXPECT_EQ(read.words.at(0).age, 77);
    EXPECT_EQ(reader.next(frame), Progress::more);
    EXPECT_EQ(reader.held(), 0U);
  }
}

TEST(FramesStory, AFrameLongerThanAnyMayBeIsRefusedBeforeItComes) {
  FrameReader reader;
  Frame frame;
  reader.put(std::string("\x7f\xff\xff\xff", 4));
  EXPECT_EQ(reader.next(frame), Progress::bad);
  EXPECT_EQ(reader.reason(), "a frame is longer than any may be");
  EXPECT_EQ(reader.next(frame), Progress::bad);
}

}  // namespace
}  // namespace rushhill::replica
