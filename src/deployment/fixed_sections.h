// The sections that stand in a deployment file once at most, with their keys and defaults.
#pragma once

#include <vector>

#include "deployment/configuration.h"
#include "deployment/section_keys.h"

namespace rushhill::deployment {

using ConfigurationKey = Key<DeploymentConfiguration>;

// One such section.
struct FixedSection {
  const char* name;
  std::vector<ConfigurationKey> keys;
};

// All of them, in the order in which they are printed.
const std::vector<FixedSection>& fixed_sections();

// Sections of the decisions (routing_sections.cpp).
std::vector<ConfigurationKey> router_keys();
std::vector<ConfigurationKey> rules_keys();
std::vector<ConfigurationKey> permissions_keys();
std::vector<ConfigurationKey> functions_keys();

// Sections of the connections (connection_sections.cpp).
std::vector<ConfigurationKey> servers_keys();
std::vector<ConfigurationKey> http_keys();
std::vector<ConfigurationKey> mqtt_keys();
std::vector<ConfigurationKey> discovery_keys();
std::vector<ConfigurationKey> peers_keys();
std::vector<ConfigurationKey> replication_keys();
std::vector<ConfigurationKey> log_keys();

}  // namespace rushhill::deployment
