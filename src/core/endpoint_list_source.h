// Service discovery as the core uses it: where the list of endpoints comes from.
#pragma once

#include <string>

#include "routing/types.h"

namespace rushhill::core {

// The client of a service discovery; its lists come by Gateway::endpoints_updated.
class EndpointListSource {
 public:
  EndpointListSource() = default;
  EndpointListSource(const EndpointListSource&) = delete;
  EndpointListSource& operator=(const EndpointListSource&) = delete;
  EndpointListSource(EndpointListSource&&) = delete;
  EndpointListSource& operator=(EndpointListSource&&) = delete;
  virtual ~EndpointListSource() = default;

  // Starts or ends the watch of changes.
  virtual void watch(bool on) = 0;
  // Asks for a complete list.
  virtual void resync() = 0;
};

// An endpoint and where it is reached.
struct EndpointListEntry {
  Endpoint endpoint{};
  std::string address{};  // in digits, with a port
};

}  // namespace rushhill::core
