// The faults that are active on the links between routers, by direction.
#pragma once

#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "simulation/day.h"

namespace rushhill::simulation {

// From one router to another.
struct Direction {
  int from = 0;
  int to = 0;

  Direction reversed() const { return {.from = to, .to = from}; }
};

// Knows the active faults and draws what those do that are left to chance.
class LinkFaults {
 public:
  explicit LinkFaults(const Day& day)
      : routers_(day.routers), active_(static_cast<std::size_t>(day.routers * day.routers)),
        random_(day.seed) {}

  void set(const Fault& fault, bool active);
  // The size of an active fault; nullptr: it is not active.
  const double* size(Direction direction, FaultKind kind) const;
  bool active(Direction direction, FaultKind kind) const { return size(direction, kind) != nullptr; }

  // Changes a byte of some of what passes, where that fault is active.
  void maybe_garble(Direction direction, std::string& bytes);
  // A drawn first part of the bytes.
  std::string cut(const std::string& bytes);

 private:
  using Sizes = std::map<FaultKind, double>;

  void set(Direction direction, const Fault& fault, bool active);
  std::size_t index(Direction direction) const {
    return static_cast<std::size_t>(direction.from * routers_ + direction.to);
  }
  // From 0 to below 1.
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::size_t draw_offset(const std::string& bytes);

  int routers_;
  std::vector<Sizes> active_;  // by direction
  std::mt19937_64 random_;
};

}  // namespace rushhill::simulation
