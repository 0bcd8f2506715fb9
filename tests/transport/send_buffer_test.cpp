// Bytes that wait to be sent are taken from the front in order, without moving those behind them.
#include "transport/send_buffer.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

namespace rushhill::transport {
namespace {

TEST(SendBuffer, TakesFromTheFrontWhatWasAppendedInOrder) {
  SendBuffer buffer;
  EXPECT_TRUE(buffer.empty());
  buffer.append("abc");
  buffer.consume(1);
  buffer.append("de");
  EXPECT_EQ(buffer.waiting(), "bcde");
  EXPECT_EQ(buffer.size(), 4U);
  buffer.consume(3);
  buffer.append("f");
  EXPECT_EQ(buffer.waiting(), "ef");
  buffer.consume(2);
  EXPECT_TRUE(buffer.empty());
  EXPECT_EQ(buffer.waiting(), "");
}

TEST(SendBuffer, ErasesWithinWhatStillWaits) {
  SendBuffer buffer;
  buffer.append("abcdef");
  buffer.consume(2);
  buffer.erase(1, 2);
  EXPECT_EQ(buffer.waiting(), "cf");
  buffer.erase(0, 2);
  EXPECT_TRUE(buffer.empty());
  buffer.append("g");
  EXPECT_EQ(buffer.waiting(), "g");
}

TEST(SendBuffer, ClearingDropsWhatWaitsAndWhatWasSent) {
  SendBuffer buffer;
  buffer.append("abc");
  buffer.consume(1);
  buffer.clear();
  EXPECT_TRUE(buffer.empty());
  buffer.append("d");
  EXPECT_EQ(buffer.waiting(), "d");
}

TEST(SendBuffer, SendingInSmallPartsMovesNothing) {
  constexpr std::size_t whole = 1'000'000;
  constexpr std::size_t part = 1'000;
  SendBuffer buffer;
  buffer.append(std::string(whole, 'x'));
  const char* const front = buffer.waiting().data();
  for (std::size_t sent = part; sent < whole; sent += part) {
    buffer.consume(part);
    ASSERT_EQ(buffer.waiting().data(), front + sent);
  }
}

// As much is moved in all as is sent, and what has been sent takes no more room than what waits.
TEST(SendBuffer, AppendingMovesTheRestOnlyOnceAsMuchHasBeenSent) {
  constexpr std::size_t waiting = 10'000;
  SendBuffer buffer;
  buffer.append(std::string(2 * waiting, 'x'));
  std::size_t moves = 0;
  std::string expected(2 * waiting, 'x');
  for (std::size_t turn = 0; turn < 3 * waiting / 200; ++turn) {
    buffer.consume(100);
    const char* const front = buffer.waiting().data();
    buffer.append("y");
    if (buffer.waiting().data() != front) ++moves;
    expected.erase(0, 100);
    expected += 'y';
    ASSERT_EQ(buffer.waiting(), expected);
  }
  EXPECT_LE(moves, 2U);  // one as the buffer grows, one as half has been sent
}

}  // namespace
}  // namespace rushhill::transport
