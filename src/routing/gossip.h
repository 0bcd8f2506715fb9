// Messages between routers about endpoints, and their encoding (docs/design.md, "Signs of death" and "Probes
// and messages"). The encoding must not change, because a peer may run an older or newer version.
#pragma once

#include <string>
#include <variant>

#include "routing/types.h"

namespace rushhill::routing {

// The endpoint's process died. A process that answers there afterwards is new and cold.
struct EndpointDied {
  EndpointId endpoint{};
};

// One connection to the endpoint was lost or refused, possibly because of the network.
struct ConnectionLost {
  EndpointId endpoint{};
};

// The core utilization that the endpoint reported in answer to a health check; 1 means that all cores are
// busy.
struct UtilizationReported {
  EndpointId endpoint{};
  double utilization = 0;
};

using GossipMessage = std::variant<EndpointDied, ConnectionLost, UtilizationReported>;

std::string encode(const GossipMessage& message);
// Never fails. Malformed bytes are read as one of the three messages, possibly about an endpoint that does
// not exist.
GossipMessage decode(const std::string& bytes);

const EndpointId& endpoint_of(const GossipMessage& message);

}  // namespace rushhill::routing
