// The addresses at which the endpoints are reached, as the last endpoint lists gave them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/endpoint_list_source.h"

namespace rushhill::core {

// The address of each endpoint that can be reached.
class EndpointAddresses {
 public:
  using Map = std::map<EndpointId, std::string>;

  // The address of each endpoint that a list speaks of; empty: not reachable any more, because the endpoint
  // was removed or a complete list leaves it out.
  Map listed(EndpointListForm form, const std::vector<EndpointListEntry>& entries) const;

  // Stores the address of one endpoint, or forgets the endpoint where it is empty. Returns whether that
  // changed anything.
  bool set(const EndpointId& endpoint, const std::string& address);

 private:
  Map addresses_;
};

}  // namespace rushhill::core
