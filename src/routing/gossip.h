// Messages between routers about endpoints, and their encoding (docs/design.md, "Signs of death" and "Probes
// and messages"). A peer may run an older or newer version, so that the encoding must not change.
#pragma once

#include <string>
#include <variant>

#include "routing/types.h"

namespace rushhill::routing {

// The endpoint's process died: whatever answers there next is cold.
struct EndpointDied {
  EndpointId endpoint{};
};

// One connection to the endpoint was lost, which may be the network's doing.
struct ConnectionLost {
  EndpointId endpoint{};
};

// How busy the endpoint's cores are, as it said to a health check; 1 is all of them.
struct UtilizationReported {
  EndpointId endpoint{};
  double utilization = 0;
};

using GossipMessage = std::variant<EndpointDied, ConnectionLost, UtilizationReported>;

std::string encode(const GossipMessage& message);
// Never fails: what is malformed names an endpoint that nobody knows, or reads as one of the three.
GossipMessage decode(const std::string& bytes);

const EndpointId& endpoint_of(const GossipMessage& message);

}  // namespace rushhill::routing
