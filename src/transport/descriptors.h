// Counts the file descriptors that this process may still open and divides them among connections.
#pragma once

#include <cstddef>

namespace rushhill::transport {

// Returns how many more descriptors this process may open. The limit is `configured` (0 if not configured) or
// the system's limit, whichever is lower.
std::size_t descriptors_left(std::size_t configured);

// Descriptors for connections: half of those beyond the reserve for each side. Clients get the odd one.
struct DescriptorShares {
  std::size_t clients = 0;
  std::size_t servers = 0;
};
// Divides `left` descriptors after setting `reserve` of them aside for everything but connections. Throws
// std::invalid_argument if that leaves less than one connection for each side.
DescriptorShares share_descriptors(std::size_t left, std::size_t reserve);

}  // namespace rushhill::transport
