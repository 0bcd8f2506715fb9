// Index of the endpoints that are believed to hold a copy of a function (docs/design.md, "Index").
#pragma once

#include <cstdint>
#include <map>

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

  std::size_t size() const { return copies_.size(); }

 private:
  std::map<EndpointId, BelievedCopy> copies_;
};

}  // namespace rushhill::routing
