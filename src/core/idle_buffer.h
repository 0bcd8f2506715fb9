// Buffers of connections, which are idle most of the time.
#pragma once

#include <cstddef>
#include <string>

namespace rushhill::core {

// Bytes that an empty buffer keeps allocated, so that short messages need no allocation each.
constexpr std::size_t max_idle_buffer_bytes = 1024;

// Empties the buffer and frees its memory, except for a small part. Assigning an empty string would keep all.
inline void clear_buffer(std::string& bytes) {
  bytes.clear();
  if (bytes.capacity() > max_idle_buffer_bytes) bytes.shrink_to_fit();
}

}  // namespace rushhill::core
