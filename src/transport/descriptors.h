// How many descriptors this process may still open, counted.
#pragma once

#include <cstddef>

namespace rushhill::transport {

// Of those that it may have: `told` (0: not told), or what the system permits where that is less.
std::size_t descriptors_left(std::size_t told);

// What connections share once everything else has its own: half for clients, and one more where it is odd.
struct DescriptorShares {
  std::size_t clients = 0, servers = 0;
};
// Throws std::invalid_argument where `left` holds less than the reserve and a connection on either side.
DescriptorShares share_descriptors(std::size_t left, std::size_t reserve);

}  // namespace rushhill::transport
