// The hash of rendezvous (highest-random-weight) placement: every router computes the same number for a
// function and an endpoint, so that all of them order the endpoints alike without a message (docs/design.md,
// "Homes").
#pragma once

#include <string_view>

namespace rushhill::routing {

// A number above 0 and up to 1 for the text `first` followed by `second`. It depends on the bytes alone:
// routers of different versions have to agree, so that it must not change.
double rendezvous_hash(std::string_view first, std::string_view second);

}  // namespace rushhill::routing
