#include "core/server_addresses.h"

namespace rushhill::core {

ServerAddresses::Map ServerAddresses::listed(RosterForm form, const std::vector<RosterEntry>& entries) const {
  Map listed;
  for (const RosterEntry& entry : entries) {
    listed[entry.server.id] = entry.server.condition == Condition::left ? "" : entry.address;
  }
  if (form == RosterForm::complete || form == RosterForm::remembered) {
    for (const auto& [server, address] : addresses_) listed.try_emplace(server, "");
  }
  return listed;
}

bool ServerAddresses::set(const ServerId& server, const std::string& address) {
  const auto known = addresses_.find(server);
  const bool unchanged = known != addresses_.end() ? known->second == address : address.empty();
  if (unchanged) return false;
  if (address.empty()) {
    addresses_.erase(server);
  } else {
    addresses_[server] = address;
  }
  return true;
}

}  // namespace rushhill::core
