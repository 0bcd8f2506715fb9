// Converts a CloudEvent to a routing request, in the same way for every front end. docs/events.md lists the
// attributes.
#pragma once

#include <map>
#include <string>

#include "events/cloudevent.h"
#include "routing/configuration.h"

namespace rushhill::core {

// Reads events according to the request classes and tenants of the configuration.
class RequestReader {
 public:
  // `class_of_type` maps an event's type attribute to the name of a request class.
  RequestReader(const RoutingConfiguration& configuration, std::map<std::string, std::string> class_of_type);

  // Returns the request without an id. Throws events::BadEvent, which names the invalid attribute.
  RoutingRequest read(const events::CloudEvent& event) const;

 private:
  std::string read_tenant(const events::CloudEvent& event) const;

  std::map<std::string, RequestClass> classes_;  // by the event's type attribute
  std::map<std::string, Tenant> tenants_;
};

}  // namespace rushhill::core
