// Whom a router exchanges its copy with: a bounded number of others, so that what it costs a router grows
// with the logarithm of the fleet, and every word reaches all in as many rounds.
#pragma once

#include <set>

namespace rushhill::replica {

// The routers at distances of 1, 2, 4, ... around the ring of numbers, each replaced by the next one on where
// it is not there. `there` are the numbers believed alive, `me` among them or not; never `me`.
std::set<int> neighbours(int me, const std::set<int>& there);

}  // namespace rushhill::replica
