#include "core/endpoint_addresses.h"

namespace rushhill::core {

EndpointAddresses::Map EndpointAddresses::listed(EndpointListForm form,
                                                 const std::vector<EndpointListEntry>& entries) const {
  Map listed;
  for (const EndpointListEntry& entry : entries) {
    listed[entry.endpoint.id] = entry.endpoint.state == EndpointState::removed ? "" : entry.address;
  }
  if (form == EndpointListForm::complete || form == EndpointListForm::cached) {
    for (const auto& [endpoint, address] : addresses_) listed.try_emplace(endpoint, "");
  }
  return listed;
}

bool EndpointAddresses::set(const EndpointId& endpoint, const std::string& address) {
  const auto known = addresses_.find(endpoint);
  const bool unchanged = known != addresses_.end() ? known->second == address : address.empty();
  if (unchanged) return false;
  if (address.empty()) {
    addresses_.erase(endpoint);
  } else {
    addresses_[endpoint] = address;
  }
  return true;
}

}  // namespace rushhill::core
