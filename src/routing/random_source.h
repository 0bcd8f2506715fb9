// The routing policy's random numbers. Each router has one generator, so that its seed fixes all decisions.
#pragma once

#include <cstdint>
#include <random>

namespace rushhill::routing {

// Draws uniformly distributed numbers between 0 and 1, both excluded.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed)
      : generator_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24U) ^ (seed >> 48U))) {}

  double draw() {
    return (static_cast<double>(generator_()) + 0.5) / (static_cast<double>(generator_.max()) + 1);
  }

 private:
  std::ranlux24_base generator_;
};

}  // namespace rushhill::routing
