// The hash of rendezvous (highest-random-weight) placement. Every router computes the same number for a
// function and an endpoint, so that all of them order the endpoints alike without exchanging messages
// (docs/design.md, "Homes").
#pragma once

#include <string_view>

namespace rushhill::routing {

// The two strings that are hashed, one after the other.
struct RendezvousPair {
  std::string_view key;  // the function, or whatever else is distributed over endpoints
  std::string_view endpoint;
};

// Returns a number above 0 and at most 1. Routers of different versions have to agree on it, so the function
// must not change.
double rendezvous_hash(const RendezvousPair& pair);

}  // namespace rushhill::routing
