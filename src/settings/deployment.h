// The settings that a router is told at its start, and the entries of a list of model servers, by the names
// of the simulator's wire. The adapter and the node read them with this one text, so that they cannot drift.
#pragma once

#include <vector>

#include "routing/configuration.h"
#include "settings/fields.h"

namespace rushhill::settings {

// Times come in nanoseconds. Throws BadField.
RoutingConfiguration read_deployment(const Fields& info);
Endpoint read_server(const Json& entry);

}  // namespace rushhill::settings
