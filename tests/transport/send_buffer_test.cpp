// Checks that a send buffer keeps its bytes in order, and that sending in small parts does not copy the rest
// of the bytes each time.
#include "transport/send_buffer.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

namespace rushhill::transport {
namespace {

TEST(SendBuffer, ConsumesBytesInTheOrderTheyWereAppended) {
  SendBuffer buffer;
  EXPECT_TRUE(buffer.empty());
  buffer.append("abc");
  buffer.consume(1);
  buffer.append("de");
  EXPECT_EQ(buffer.pending(), "bcde");
  EXPECT_EQ(buffer.size(), 4U);
  buffer.consume(3);
  buffer.append("f");
  EXPECT_EQ(buffer.pending(), "ef");
  buffer.consume(2);
  EXPECT_TRUE(buffer.empty());
  EXPECT_EQ(buffer.pending(), "");
}

// Guards against idle connections that keep the memory of the largest message that they have carried.
TEST(SendBuffer, KeepsLittleMemoryOnceItIsEmpty) {
  SendBuffer buffer;
  buffer.append(std::string(100'000, 'a'));
  buffer.consume(100'000);
  EXPECT_LE(buffer.capacity(), core::max_idle_buffer_bytes);
}

TEST(SendBuffer, ErasesWithinUnsentBytes) {
  SendBuffer buffer;
  buffer.append("abcdef");
  buffer.consume(2);
  buffer.erase(1, 2);
  EXPECT_EQ(buffer.pending(), "cf");
  buffer.erase(0, 2);
  EXPECT_TRUE(buffer.empty());
  buffer.append("g");
  EXPECT_EQ(buffer.pending(), "g");
}

TEST(SendBuffer, ClearDropsUnsentAndSentBytes) {
  SendBuffer buffer;
  buffer.append("abc");
  buffer.consume(1);
  buffer.clear();
  EXPECT_TRUE(buffer.empty());
  buffer.append("d");
  EXPECT_EQ(buffer.pending(), "d");
}

TEST(SendBuffer, ConsumingSmallPartsMovesNoBytes) {
  constexpr std::size_t total = 1'000'000;
  constexpr std::size_t part = 1'000;
  SendBuffer buffer;
  buffer.append(std::string(total, 'x'));
  const char* const front = buffer.pending().data();
  for (std::size_t sent = part; sent < total; sent += part) {
    buffer.consume(part);
    ASSERT_EQ(buffer.pending().data(), front + sent);
  }
}

// In total, no more bytes are moved than are sent, and sent bytes take no more memory than unsent ones.
TEST(SendBuffer, AppendingMovesUnsentBytesOnlyAfterAsManyWereSent) {
  constexpr std::size_t unsent_bytes = 10'000;
  SendBuffer buffer;
  buffer.append(std::string(2 * unsent_bytes, 'x'));
  std::size_t moves = 0;
  std::string expected(2 * unsent_bytes, 'x');
  for (std::size_t round = 0; round < 3 * unsent_bytes / 200; ++round) {
    buffer.consume(100);
    const char* const front = buffer.pending().data();
    buffer.append("y");
    if (buffer.pending().data() != front) ++moves;
    expected.erase(0, 100);
    expected += 'y';
    ASSERT_EQ(buffer.pending(), expected);
  }
  EXPECT_LE(moves, 2U);  // one when the buffer grows, one when half has been sent
}

}  // namespace
}  // namespace rushhill::transport
