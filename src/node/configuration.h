// The JSON configuration of a router on the platform: its addresses, resource limits, the initial endpoint
// list and the settings of its routing policy.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "membership/platform_discovery_messages.h"
#include "routing/configuration.h"

namespace rushhill::node {

struct Configuration {
  std::string name{};
  std::string listen{};  // like all addresses here: a numeric IP address with a port
  std::uint64_t seed = 0;
  std::size_t sockets = 0;    // file descriptors of the process
  std::size_t memory_mb = 0;  // 0 if not configured
  std::string peer_listen{};
  std::vector<std::string> peers{};  // by router number, including this router's own address
  std::string broadcast_address{};   // reaches every router; may be empty
  std::string discovery{};
  RoutingConfiguration routing{};
  membership::Known initial_endpoint_list{};  // with the start times as they were told
  // Everything except the discovery address and the endpoint list, as text. A reload compares it with the
  // text in use to detect changed settings that need a restart.
  std::string fixed_settings{};
};

// Throws settings::BadField that names the missing or invalid field.
Configuration read_configuration(const std::string& text);

}  // namespace rushhill::node
