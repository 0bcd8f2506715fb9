// Index of the endpoints that are believed to hold a copy of a function (docs/design.md, "Index").
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "routing/believed_copy.h"
#include "routing/endpoint_table.h"
#include "routing/types.h"

namespace rushhill::routing {

// The believed copies of one function, by endpoint.
class WarmIndex {
 public:
  BelievedCopy& at(const EndpointId& endpoint) { return copies_[endpoint]; }

  // Links the endpoint records to their copies of the function, for one selection.
  void link_endpoints(EndpointTable& endpoints, std::uint64_t selection);
  // Marks the endpoint's copy as lost.
  void forget(const EndpointId& endpoint) {
    if (const auto it = copies_.find(endpoint); it != copies_.end()) it->second.forget();
  }
  // Erases the copies that are no longer believed in.
  void sweep(Timestamp now, Duration keep_alive);

  // Whether an attempt or a prewarm order of this router is open at any copy.
  bool in_use() const {
    return std::ranges::any_of(copies_, [](const auto& item) {
      return item.second.open_attempts() > 0 || item.second.prewarming();
    });
  }
  std::size_t size() const { return copies_.size(); }
  // An estimate of what the entries take.
  std::size_t memory_bytes() const { return copies_.size() * entry_bytes; }

 private:
  static constexpr std::size_t map_node_bytes =
      64;  // of the tree and the allocator, and an id of the usual size
  static constexpr std::size_t entry_bytes = map_node_bytes + sizeof(std::pair<EndpointId, BelievedCopy>);

  std::map<EndpointId, BelievedCopy> copies_;
};

}  // namespace rushhill::routing
