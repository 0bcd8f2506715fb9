// Which endpoints are believed to hold a copy of a function (docs/design.md, "Index").
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

  // Lets the records of the endpoints find their copies, for one selection.
  void link(EndpointTable& endpoints, std::uint64_t selection);
  // The endpoint has lost its copy.
  void forget(const EndpointId& endpoint) {
    if (const auto it = copies_.find(endpoint); it != copies_.end()) it->second.forget();
  }
  // Erases the copies that have lapsed, which count for nothing.
  void sweep(Timestamp now, Duration keep_alive);

  std::size_t size() const { return copies_.size(); }

 private:
  std::map<EndpointId, BelievedCopy> copies_;
};

}  // namespace rushhill::routing
