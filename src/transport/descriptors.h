// How many file descriptors this process may still open, and how connections share them.
#pragma once

#include <cstddef>

namespace rushhill::transport {

// Of those that it may have: `configured` (0: not configured), or the system's limit where that is less.
std::size_t descriptors_left(std::size_t configured);

// Descriptors for connections, once everything else has its own: half for clients, and one more where the
// number is odd.
struct DescriptorShares {
  std::size_t clients = 0;
  std::size_t servers = 0;
};
// Throws std::invalid_argument where `left` holds less than the reserve and a connection on either side.
DescriptorShares share_descriptors(std::size_t left, std::size_t reserve);

}  // namespace rushhill::transport
