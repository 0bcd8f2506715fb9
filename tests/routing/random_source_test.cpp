#include "routing/random_source.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

namespace rushhill::routing {
namespace {

std::vector<double> first_draws(std::uint64_t seed) {
  RandomSource random(seed);
  std::vector<double> draws;
  for (int i = 0; i < 100; ++i) draws.push_back(random.draw());
  return draws;
}

TEST(RandomSource, SeedDeterminesTheDraws) {
  EXPECT_EQ(first_draws(7), first_draws(7));
  EXPECT_NE(first_draws(7), first_draws(8));
}

TEST(RandomSource, HighBitsOfTheSeedChangeTheDraws) {
  EXPECT_NE(first_draws(7), first_draws(7 + (std::uint64_t{1} << 40U)));
}

TEST(RandomSource, DrawsLieStrictlyBetweenZeroAndOne) {
  double sum = 0;
  for (const double draw : first_draws(1)) {
    EXPECT_GT(draw, 0);
    EXPECT_LT(draw, 1);
    sum += draw;
  }
  EXPECT_NEAR(sum / 100, 0.5, 0.1);
}

}  // namespace
}  // namespace rushhill::routing
