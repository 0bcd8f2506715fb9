// Readers for a router's start settings and for the entries of an endpoint list, under the field names of the
// simulator's wire format. The simulator's adapter and the node share them, so that the two cannot diverge.
#pragma once

#include <vector>

#include "routing/configuration.h"
#include "settings/fields.h"

namespace rushhill::settings {

// Both read times in nanoseconds and throw BadField if a field is missing or invalid.
RoutingConfiguration read_deployment(const Fields& info);
Endpoint read_server(const Json& entry);

}  // namespace rushhill::settings
