// Turns a CloudEvent into the module's event, for every front alike. docs/events.md lists the attributes.
#pragma once

#include <map>
#include <string>

#include "events/cloudevent.h"
#include "routing/configuration.h"

namespace rushhill::core {

class RequestReader {
 public:
  // `type_of_event`: from the event's type attribute to the name of a traffic type.
  RequestReader(const RoutingConfiguration& deployment, std::map<std::string, std::string> type_of_event);

  // Without id; throws events::BadEvent naming the attribute.
  RoutingRequest read(const events::CloudEvent& event) const;

 private:
  std::map<std::string, RequestClass> classes_;  // by the event's type attribute
  std::map<std::string, Tenant> tenants_;
};

}  // namespace rushhill::core
