// The costs of each part of the program; costs() joins them.
#pragma once

#include <vector>

#include "scale/costs.h"

namespace rushhill::scale {

std::vector<Cost> policy_costs();        // the routing policy alone
std::vector<Cost> gateway_costs();       // the core with its policy
std::vector<Cost> membership_costs();    // endpoint lists as messages, and the clients that receive them
std::vector<Cost> peer_message_costs();  // datagrams between routers
std::vector<Cost> replica_costs();       // what routers replicate among them

}  // namespace rushhill::scale
