// Selects the routers with which a router exchanges its state. Their number, and the number of rounds in
// which a record reaches all routers, grow with the logarithm of the number of routers.
#pragma once

#include <set>

namespace rushhill::replica {

// Returns the routers at distances of 1, 2, 4, ... from `self` around the ring of the reachable router
// numbers. `reachable` may contain `self`; the result never does.
std::set<int> select_neighbours(int self, const std::set<int>& reachable);

}  // namespace rushhill::replica
