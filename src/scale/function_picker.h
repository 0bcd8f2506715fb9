// Chooses the function that each simulated request calls.
#pragma once

#include <cstdint>
#include <random>

#include "scale/fleet_size.h"

namespace rushhill::scale {

// Draws functions by a power law of their rank, or takes them in turn (FleetSize::round_robin).
class FunctionPicker {
 public:
  FunctionPicker(const FleetSize& fleet, std::uint64_t seed);

  // The number of the next function called.
  int next();

 private:
  int next_in_turn();

  int functions_;
  int last_ = 0;
  std::ranlux24_base generator_;
  std::discrete_distribution<int> distribution_;  // unused in turn
  bool round_robin_;
};

}  // namespace rushhill::scale
