// The addresses at which the model servers are reached, as the last server lists gave them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/endpoint_list_source.h"

namespace rushhill::core {

class EndpointAddresses {
 public:
  using Map = std::map<EndpointId, std::string>;

  // The address of each server that a list speaks of; empty: not reachable any more, because the server has
  // left or because a whole list leaves it out.
  Map listed(EndpointListForm form, const std::vector<EndpointListEntry>& entries) const;

  // Stores the address of one server, or forgets the server where it is empty. Returns whether that changed
  // it.
  bool set(const EndpointId& server, const std::string& address);

 private:
  Map addresses_;
};

}  // namespace rushhill::core
