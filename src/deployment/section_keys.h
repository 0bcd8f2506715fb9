// The keys of a section of the deployment file, and how a section's entries are read by them.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "deployment/faults.h"
#include "deployment/ini_file.h"

namespace rushhill::deployment {

// One key of a section.
template <typename Target>
struct Key {
  const char* name;
  const char* default_value;                      // null: the key has to be written
  void (*set)(Target&, const std::string& text);  // throws InvalidValue
};

// A section as it stands in the file, and where its faults and its values go.
struct SectionInput {
  const std::string& name;
  const Section& section;
  FaultCollector& faults;
  std::vector<std::string>& in_force;  // gets the section's head and all values, defaults too
};

// Keys of these begin with it and name another router; they are read apart (router_addresses.h).
inline constexpr std::string_view router_address_prefix = "router-";
inline bool has_router_addresses(std::string_view section) {
  return section == "peers" || section == "replica";
}

// Sets one value, written or by default.
template <typename Target>
void read_key(const SectionInput& input, const Key<Target>& key, Target& target) {
  const auto written = input.section.entries.find(key.name);
  const bool missing = written == input.section.entries.end();
  if (missing && key.default_value == nullptr) {
    input.faults.add({input.section.line, key.name}, "is missing in [" + input.name + "]");
    return;
  }
  const std::string text = missing ? key.default_value : written->second.value;
  try {
    key.set(target, text);
    input.in_force.push_back(std::string(key.name) + " = " + text);
  } catch (const InvalidValue& invalid) {
    input.faults.add({missing ? input.section.line : written->second.line, key.name}, invalid.what());
  }
}

// Sets all values of a section; each key that the section does not know is a fault.
template <typename Target>
void read_section(const SectionInput& input, const std::vector<Key<Target>>& keys, Target& target) {
  input.in_force.push_back("[" + input.name + "]");
  for (const Key<Target>& key : keys) read_key(input, key, target);
  for (const auto& [name, entry] : input.section.entries) {
    if (has_router_addresses(input.name) && name.starts_with(router_address_prefix)) continue;
    const bool known = std::ranges::any_of(
        keys, [&, &written = name](const Key<Target>& key) { return written == key.name; });
    if (!known) input.faults.add({entry.line, name}, "is no key of [" + input.name + "]");
  }
}

}  // namespace rushhill::deployment
