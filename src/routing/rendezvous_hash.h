// The hash of rendezvous (highest-random-weight) placement: every router computes the same number for a
// function and an endpoint, so that all of them order the endpoints alike without a message (docs/design.md,
// "Homes").
#pragma once

#include <string_view>

namespace rushhill::routing {

// What is hashed: the two texts, one after the other.
struct RendezvousPair {
  std::string_view key;  // a function, or what else is to be placed
  std::string_view endpoint;
};

// A number above 0 and up to 1. It depends on the bytes alone:
// routers of different versions have to agree, so that it must not change.
double rendezvous_hash(const RendezvousPair& pair);

}  // namespace rushhill::routing
