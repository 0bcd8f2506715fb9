// Turns a CloudEvent into the module's event, for every front alike. docs/events.md lists the attributes.
#pragma once

#include <map>
#include <string>

#include "decide.h"
#include "events/cloudevent.h"

namespace rushhill::core {

class Intake {
 public:
  // `type_of_event`: from the event's type attribute to the name of a traffic type.
  Intake(const Deployment& deployment, std::map<std::string, std::string> type_of_event);

  // Without id; throws events::BadEvent naming the attribute.
  Event read(const events::CloudEvent& event) const;

 private:
  std::map<std::string, TrafficType> types_;  // by the event's type attribute
  std::map<std::string, Customer> customers_;
};

}  // namespace rushhill::core
