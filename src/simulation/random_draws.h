// Uniform draws from a seed, for the days that are made by a program.
#pragma once

#include <cstdint>
#include <random>

#include "routing/time.h"

namespace rushhill::simulation {

// The same seed gives the same draws.
class RandomDraws {
 public:
  explicit RandomDraws(std::uint64_t seed) : engine_(seed) {}

  double between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(engine_);
  }
  // Cut to whole ticks.
  Time time_between(double least, double most) { return static_cast<Time>(between(least, most)); }
  // A whole number from 0 to below the count.
  int below(int count) { return static_cast<int>(between(0, count)); }
  std::mt19937_64& engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace rushhill::simulation
