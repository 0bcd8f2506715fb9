// The store from which all simulated servers fetch functions: slower when crowded, refusing above a limit.
#pragma once

#include <cstdint>
#include <optional>

#include "simulation/day.h"

namespace rushhill::simulation {

// Counts the fetches under way and tells how long the next one takes.
class ModelStore {
 public:
  explicit ModelStore(const ModelStoreSpec& spec) : spec_(spec) {}

  // Begins a fetch that usually takes so long and returns how long it takes now; nothing: it is refused.
  std::optional<Time> begin_fetch(Time usual);
  void end_fetch() { under_way_ -= 1; }
  // From now on fetches take so many times longer, or all are refused.
  void set_fault(double slowness, bool refuses) {
    slowness_ = slowness;
    refuses_ = refuses;
  }
  // The fetch's part of the time that a load takes.
  double fetch_share() const { return spec_.fetch_share; }
  // All that have begun.
  std::int64_t fetch_count() const { return fetch_count_; }

 private:
  ModelStoreSpec spec_;
  double under_way_ = 0;
  double slowness_ = 1;
  bool refuses_ = false;
  std::int64_t fetch_count_ = 0;
};

}  // namespace rushhill::simulation
