#include "core/endpoint_addresses.h"

namespace rushhill::core {

EndpointAddresses::Map EndpointAddresses::updates_from(EndpointListForm form,
                                                       const std::vector<EndpointListEntry>& entries) const {
  Map updates;
  for (const EndpointListEntry& entry : entries) {
    updates[entry.endpoint.id] = entry.endpoint.state == EndpointState::removed ? "" : entry.address;
  }
  if (form == EndpointListForm::complete || form == EndpointListForm::cached) {
    for (const auto& [endpoint, address] : addresses_) updates.try_emplace(endpoint, "");
  }
  return updates;
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
