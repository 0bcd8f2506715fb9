// The sections that stand in a deployment file once for each name: [traffic NAME] and so on.
#pragma once

#include <string>

#include "deployment/configuration.h"
#include "deployment/ini_file.h"
#include "deployment/section_keys.h"

namespace rushhill::deployment {

// Where a named section is read to.
struct NamedSectionInput {
  const std::string& head;          // all between the brackets
  const std::string& written_name;  // the part after the first space
  const Sections& sections;         // of the whole file
  FaultCollector& faults;
  DeploymentConfiguration& configuration;  // its fixed sections are read already
};

// Reads a section of that kind ("traffic", "customer", "kind", "mqtt-topic"). False: there is no such kind.
bool read_named_section(const std::string& kind, const NamedSectionInput& input);

// [traffic NAME]: a request class of that name, its name checked (request_class_section.cpp).
void read_request_class(const NamedSectionInput& input, const std::string& name);

}  // namespace rushhill::deployment
