#include "routing/rendezvous_hash.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>

namespace rushhill::routing {
namespace {

// Routers of different versions agree on placement only while these values stay the same.
TEST(RendezvousHash, ReturnsTheValuesOfEarlierVersions) {
  EXPECT_EQ(rendezvous_hash({.key = "", .endpoint = ""}), 0.92471682717152337);
  EXPECT_EQ(rendezvous_hash({.key = "resize", .endpoint = "box-1"}), 0.09575875462928185);
  EXPECT_EQ(rendezvous_hash({.key = "r\xc3\xa9sum\xc3\xa9", .endpoint = "box-22"}), 0.72125301569008982);
}

TEST(RendezvousHash, HashesTheConcatenationOfBothStrings) {
  const double hash = rendezvous_hash({.key = "re", .endpoint = "size"});
  EXPECT_EQ(hash, rendezvous_hash({.key = "resi", .endpoint = "ze"}));
  EXPECT_NE(hash, rendezvous_hash({.key = "size", .endpoint = "re"}));
}

TEST(RendezvousHash, SimilarNamesSpreadEvenly) {
  constexpr int names = 10'000;
  constexpr std::size_t parts = 10;
  std::array<int, parts> counts{};
  for (int i = 0; i < names; ++i) {
    const double hash = rendezvous_hash({.key = "resize", .endpoint = "box-" + std::to_string(i)});
    ASSERT_GT(hash, 0);
    ASSERT_LE(hash, 1);
    ++counts.at(std::min(static_cast<std::size_t>(hash * parts), parts - 1));
  }
  for (const int count : counts) EXPECT_NEAR(count, names / parts, 150);
}

}  // namespace
}  // namespace rushhill::routing
