// The core's interface to service discovery, which supplies the list of endpoints.
#pragma once

#include <string>

#include "routing/types.h"

namespace rushhill::core {

// A client of service discovery. It delivers endpoint lists by calling Gateway::endpoints_updated().
class EndpointListSource {
 public:
  EndpointListSource() = default;
  EndpointListSource(const EndpointListSource&) = delete;
  EndpointListSource& operator=(const EndpointListSource&) = delete;
  EndpointListSource(EndpointListSource&&) = delete;
  EndpointListSource& operator=(EndpointListSource&&) = delete;
  virtual ~EndpointListSource() = default;

  // Starts or stops watching for changes of the endpoint list.
  virtual void watch(bool on) = 0;
  // Requests a complete list.
  virtual void resync() = 0;
};

// An endpoint and its network address.
struct EndpointListEntry {
  Endpoint endpoint{};
  std::string address{};  // a numeric IP address and a port
};

}  // namespace rushhill::core
