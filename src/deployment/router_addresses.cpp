#include "deployment/router_addresses.h"

#include <cstddef>

#include "deployment/section_keys.h"
#include "deployment/values.h"

namespace rushhill::deployment {

std::vector<std::string> read_router_addresses(const Section& section, int routers, FaultCollector& faults) {
  std::vector<std::string> addresses(static_cast<std::size_t>(routers));
  for (const auto& [key, entry] : section.entries) {
    if (!key.starts_with(router_address_prefix)) continue;
    try {
      const int number = int_in(key.substr(router_address_prefix.size()), {.least = 0, .most = routers - 1});
      addresses[static_cast<std::size_t>(number)] = socket_address(entry.value);
      if (entry.value.starts_with("fd:")) throw InvalidValue("'" + entry.value + "' is no address");
    } catch (const InvalidValue& invalid) {
      faults.add({entry.line, key}, invalid.what());
    }
  }
  return addresses;
}

}  // namespace rushhill::deployment
