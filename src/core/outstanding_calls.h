// Start times of calls that were sent to a server and have not ended yet, such as probes and load orders.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "routing/time.h"

namespace rushhill::core {

// Measures how long calls take whose ends name only a key: calls of one key end in the order in which they
// started.
template <typename Key>
class OutstandingCalls {
 public:
  void start(const Key& key, Timestamp now) { started_[key].push_back(now); }

  // Ends the oldest call of the key and returns how long it took; zero where no call of the key is
  // outstanding.
  Duration end(const Key& key, Timestamp now) {
    const auto calls = started_.find(key);
    if (calls == started_.end()) return Duration::zero();
    const Timestamp started = calls->second.front();
    calls->second.erase(calls->second.begin());
    if (calls->second.empty()) started_.erase(calls);
    return now - started;
  }

  // Keys with at least one outstanding call.
  std::size_t keys() const { return started_.size(); }

 private:
  std::map<Key, std::vector<Timestamp>> started_;  // oldest first, never empty
};

}  // namespace rushhill::core
