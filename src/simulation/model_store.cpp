#include "simulation/model_store.h"

#include <algorithm>

namespace rushhill::simulation {

std::optional<Time> ModelStore::begin_fetch(Time usual) {
  if (refuses_ || under_way_ >= spec_.max_fetches) return std::nullopt;
  under_way_ += 1;
  ++fetch_count_;
  const double contention = std::max(1.0, under_way_ / spec_.concurrent_fetches);
  return static_cast<Time>(static_cast<double>(usual) * contention * slowness_);
}

}  // namespace rushhill::simulation
