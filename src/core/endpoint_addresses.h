// The network addresses of the endpoints, from the endpoint lists received so far.
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

  // Returns the new address of each endpoint that the list affects. The address is empty if the endpoint can
  // no longer be reached, because it was removed or a complete or cached list does not contain it.
  Map updates_from(EndpointListForm form, const std::vector<EndpointListEntry>& entries) const;

  // Stores the address of one endpoint, or removes the endpoint if the address is empty. Returns whether the
  // stored address changed.
  bool set(const EndpointId& endpoint, const std::string& address);

 private:
  Map addresses_;
};

}  // namespace rushhill::core
