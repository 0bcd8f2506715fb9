// Start times of calls that were sent to endpoints and have not ended yet, such as probes and prewarm orders.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "routing/time.h"

namespace rushhill::core {

// Measures how long calls take when the report of their end names only a key. It assumes that calls with the
// same key end in the order in which they started.
template <typename Key>
class OutstandingCalls {
 public:
  void start(const Key& key, Timestamp now) { started_[key].push_back(now); }

  // Ends the oldest call with the key and returns how long it took, or zero if no call with the key is
  // outstanding.
  Duration end(const Key& key, Timestamp now) {
    const auto calls = started_.find(key);
    if (calls == started_.end()) return Duration::zero();
    const Timestamp started = calls->second.front();
    calls->second.erase(calls->second.begin());
    if (calls->second.empty()) started_.erase(calls);
    return now - started;
  }

  // The number of keys with at least one outstanding call.
  std::size_t key_count() const { return started_.size(); }

 private:
  std::map<Key, std::vector<Timestamp>> started_;  // each vector is oldest first and never empty
};

}  // namespace rushhill::core
