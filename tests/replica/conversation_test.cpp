// Guards against records that are lost, damaged or sent without bound between two routers, and against peers
// that break the protocol. Two conversations exchange bytes in memory, which the tests deliver in pieces, cut
// off or change.
#include "replica/conversation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace rushhill::replica {
namespace {

constexpr Time second = 10'000;

struct DivergenceCounter final : ReplicaObserver {
  void full(Kind) override {}
  void on_divergence(const StreamId&, const Word&, const Word&) override { ++divergences; }
  void on_duplicate_writer(const Writer&) override {}
  void on_executed_twice(const std::string&, const Writer&, const Writer&) override {}
  int divergences = 0;
};

struct BufferedConnection final : Line {
  void send(const std::string& bytes) override {
    buffer += bytes, largest_frame = std::max(largest_frame, bytes.size());
  }
  std::size_t unsent() const override { return buffer.size(); }
  std::string buffer;
  std::size_t largest_frame = 0;
};

Bounds bounds() {
  Bounds result{.streams = 100, .horizon = 60 * second};
  result.life.fill(30 * second);
  result.own.fill(100'000);
  result.together.fill(100'000);
  return result;
}

struct Router {
  explicit Router(int number, std::uint64_t incarnation = 1)
      : replica({number, incarnation}, bounds(), observer) {
    hello.deployment = "yard";
    hello.name = "n" + std::to_string(number);
    hello.writer = replica.me();
  }
  std::uint64_t admit(const std::string& request) {
    return replica.write(0, Kind::deduplication, request, static_cast<std::uint32_t>(Stage::admitted));
  }
  bool has_record(const std::string& request) const {
    return replica.highest_rank(Kind::deduplication, request) > 0;
  }
  DivergenceCounter observer;
  Replica replica;
  Hello hello;
};

// Two routers and a connection between them.
struct ConversationPair {
  ConversationPair(Router& a, Router& b, const SyncLimits& limits = {})
      : one(a.hello, a.replica, from_one, limits), other(b.hello, b.replica, from_other, limits) {
    one.opened(), other.opened();
  }
  // Delivers at most `max_bytes` in each direction. Returns false if one side closed the conversation.
  bool deliver(Time now, std::size_t max_bytes = 1'000'000) {
    const std::string to_other = take_bytes(from_one, max_bytes), to_one = take_bytes(from_other, max_bytes);
    const bool other_open = other.arrived(now, to_other);
    return one.arrived(now, to_one) && other_open;
  }
  static std::string take_bytes(BufferedConnection& connection, std::size_t max_bytes) {
    std::string bytes = connection.buffer.substr(0, max_bytes);
    connection.buffer.erase(0, bytes.size());
    return bytes;
  }
  void exchange(Time from = 0, int iterations = 20) {
    for (int i = 0; i < iterations; ++i) {
      deliver(from), one.turn(from), other.turn(from);
    }
  }
  BufferedConnection from_one, from_other;
  Conversation one, other;
};

TEST(ConversationTest, BothReplicasConvergeAndTheWriterLearnsThatItsPeerHoldsItsRecord) {
  Router a(1), b(2);
  const std::uint64_t number = a.admit("e");
  b.admit("f");
  ConversationPair pair(a, b);
  EXPECT_EQ(a.replica.holder_count(Kind::deduplication, number), 0);
  pair.exchange();
  EXPECT_TRUE(b.has_record("e") && a.has_record("f"));
  EXPECT_EQ(a.replica.holder_count(Kind::deduplication, number), 1);
  const std::uint64_t later = a.admit("g");
  pair.one.turn(1);
  ASSERT_TRUE(pair.deliver(1));
  EXPECT_TRUE(b.has_record("g"))
      << "the record is sent in the same iteration, not with the next report of all versions";
  ASSERT_TRUE(pair.deliver(1));
  EXPECT_EQ(a.replica.holder_count(Kind::deduplication, later), 1);
}

TEST(ConversationTest, ReadsFramesThatArriveByteByByte) {
  Router a(1), b(2);
  for (int i = 0; i < 30; ++i) a.admit("e" + std::to_string(i));
  ConversationPair pair(a, b);
  for (int i = 0; i < 20'000 && b.replica.missing_records(a.replica.versions()) > 0; ++i) {
    ASSERT_TRUE(pair.deliver(0, 1));
  }
  EXPECT_TRUE(b.has_record("e29"));
}

TEST(ConversationTest, SendsManyRecordsInBoundedPartsAndStopsWhileTheConnectionIsFull) {
  Router a(1), b(2);
  for (int i = 0; i < 5'000; ++i) a.admit("event " + std::to_string(i));
  ConversationPair pair(
      a, b, {.records_per_iteration = 100, .max_unsent_bytes = 20'000, .full_report_interval = second});
  pair.exchange(0, 3);
  EXPECT_GT(b.replica.size(Kind::deduplication), 100U);
  EXPECT_LT(b.replica.size(Kind::deduplication), 1'000U);
  EXPECT_GT(pair.other.missing_records(), 0U);
  for (int i = 0; i < 1'000; ++i) pair.one.turn(i);
  EXPECT_LT(pair.from_one.buffer.size(), 20'000U + pair.from_one.largest_frame);
  pair.exchange(0, 60);
  EXPECT_EQ(b.replica.size(Kind::deduplication), 5'000U);
  EXPECT_EQ(pair.other.missing_records(), 0U);
  EXPECT_LT(pair.from_one.largest_frame, 10'000U) << "a frame holds at most 100 records";
}

TEST(ConversationTest, ContinuesOnTheNextConnectionAfterALossInMidFrame) {
  Router a(1), b(2);
  for (int i = 0; i < 50; ++i) a.admit("e" + std::to_string(i));
  for (const std::size_t cut : {std::size_t{3}, std::size_t{40}, std::size_t{300}, std::size_t{700}}) {
    ConversationPair pair(a, b, {.records_per_iteration = 10});
    for (std::size_t delivered = 0; delivered < cut; ++delivered) ASSERT_TRUE(pair.deliver(0, 1));
  }
  EXPECT_LT(b.replica.size(Kind::deduplication), 50U);
  ConversationPair pair(a, b);
  pair.exchange();
  EXPECT_EQ(b.replica.size(Kind::deduplication), 50U);
  EXPECT_EQ(b.observer.divergences, 0);
}

TEST(ConversationTest, DetectsAChangedByteAtAnyPosition) {
  for (std::size_t at = 0; at < 400; ++at) {
    Router a(1), b(2);
    a.admit("e");
    ConversationPair pair(a, b);
    std::string bytes;
    for (int i = 0; i < 6; ++i) {
      bytes += pair.from_one.buffer;
      if (!pair.deliver(0)) break;
    }
    if (at >= bytes.size()) break;
    Router c(3);
    BufferedConnection connection;
    Conversation receiver(c.hello, c.replica, connection, {});
    std::string changed = bytes;
    changed[at] = static_cast<char>(changed[at] ^ 0x10);
    // The further bytes complete a frame whose length field was increased, so that it is read.
    const bool accepted =
        receiver.arrived(0, changed) && receiver.arrived(0, std::string(max_message_bytes + 64, 'x'));
    EXPECT_FALSE(accepted) << at;
    EXPECT_FALSE(receiver.reason().empty());
  }
}

TEST(ConversationTest, RefusesARouterThatDoesNotBelongAndTellsItWhy) {
  const auto close_reasons = [](const std::function<void(Hello&)>& change) {
    Router a(1), b(2);
    change(b.hello);
    a.admit("e");
    ConversationPair pair(a, b);
    pair.deliver(0), pair.deliver(0);
    EXPECT_FALSE(b.has_record("e"));
    return pair.one.reason() + "|" + pair.other.reason();
  };
  EXPECT_NE(close_reasons([](Hello& h) { h.deployment = "barn"; }).find("of deployment 'barn', not 'yard'"),
            std::string::npos);
  EXPECT_NE(close_reasons([](Hello& h) { h.writer = {1, 1}; }).find("a second router"), std::string::npos);
  EXPECT_NE(close_reasons([](Hello& h) { h.name = "n1"; }).find("a second router 'n1'"), std::string::npos);
  EXPECT_NE(close_reasons([](Hello& h) { h.version = h.min_version = 9; }).find("do not understand"),
            std::string::npos);
}

TEST(ConversationTest, IgnoresAcknowledgementsOfStreamsThatWereNeverSent) {
  Router a(1), b(2);
  a.admit("e");
  ConversationPair pair(a, b);
  pair.exchange();
  const std::size_t before = pair.one.peer_stream_count();
  for (std::uint64_t incarnation = 10; incarnation < 1'000; ++incarnation) {
    const VersionReport acknowledgement{
        .versions = {{{Kind::deduplication, {5, incarnation}}, {.expired_through = 0, .known_through = 1}}},
        .all_streams = false};
    ASSERT_TRUE(pair.one.arrived(0, write_frame(acknowledgement)));
  }
  EXPECT_EQ(pair.one.peer_stream_count(), before);
}

TEST(ConversationTest, SkipsStreamsOfAKindThatOnlyNewerBuildsKnow) {
  Router a(1), b(2);
  b.hello.version = 2;
  ConversationPair pair(a, b);
  ASSERT_TRUE(pair.deliver(0));
  // One frame with a stream of a kind that this build does not know, and one of a kind that it knows.
  const StreamId unknown_kind{static_cast<Kind>(17), {2, 1}}, known_kind{Kind::deduplication, {2, 1}};
  std::string bytes = write_frame(DeltaBatch{
      {.stream = unknown_kind, .through = 1, .of = 1, .words = {{.number = 1, .key = "x"}}},
      {.stream = known_kind, .through = 1, .of = 1, .words = {{.number = 1, .key = "y", .rank = 1}}}});
  ASSERT_TRUE(pair.one.arrived(0, bytes));
  EXPECT_TRUE(a.has_record("y"));
  EXPECT_EQ(a.replica.stream_count(), static_cast<std::size_t>(kinds) + 1);
}

TEST(ConversationTest, ClosesWhenThePeerSendsDataBeforeItsHelloOrASecondHello) {
  Router a(1);
  BufferedConnection connection;
  Conversation early(a.hello, a.replica, connection, {}), twice(a.hello, a.replica, connection, {});
  EXPECT_FALSE(early.arrived(0, write_frame(VersionReport{})));
  EXPECT_EQ(early.reason(), "no hello came first");
  const std::string hello = write_frame(Router(2).hello);
  EXPECT_FALSE(twice.arrived(0, hello + hello));
  EXPECT_EQ(twice.reason(), "a second hello");
  EXPECT_FALSE(twice.arrived(0, hello));
}

TEST(FramesTest, ReadsAFrameThatArrivesInTwoParts) {
  const StreamId stream{Kind::quota, {7, 0xfedcba9876543210ULL}};
  const DeltaBatch batch{
      {.stream = stream,
       .after = 3,
       .expired_through = 2,
       .through = 9,
       .of = 12,
       .words = {{.number = 9, .key = std::string("a\0b", 3), .rank = 4, .count = 1ULL << 60U, .age = 77}}}};
  const std::string bytes = write_frame(batch);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    FrameReader reader;
    Frame frame;
    reader.append(bytes.substr(0, cut));
    ASSERT_EQ(reader.read_next(frame), ReadResult::need_more) << cut;
    reader.append(bytes.substr(cut));
    ASSERT_EQ(reader.read_next(frame), ReadResult::frame) << cut;
    const auto& read = std::get<DeltaBatch>(frame).at(0);
    EXPECT_EQ(read.stream, stream);
    EXPECT_EQ(read.of, 12U);
    EXPECT_EQ(read.words.at(0).key, std::string("a\0b", 3));
    EXPECT_EQ(read.words.at(0).count, 1ULL << 60U);
    EXPECT_EQ(read.words.at(0).age, 77);
    EXPECT_EQ(reader.read_next(frame), ReadResult::need_more);
    EXPECT_EQ(reader.buffered_bytes(), 0U);
  }
}

TEST(FramesTest, RejectsATooLongFrameBeforeItArrives) {
  FrameReader reader;
  Frame frame;
  reader.append(std::string("\x7f\xff\xff\xff", 4));
  EXPECT_EQ(reader.read_next(frame), ReadResult::invalid);
  EXPECT_EQ(reader.error(), "a frame is longer than any may be");
  EXPECT_EQ(reader.read_next(frame), ReadResult::invalid);
}

}  // namespace
}  // namespace rushhill::replica
