// Decodes the control packets of MQTT 3.1.1 and 5, without sockets.
#pragma once

#include <cstddef>
#include <string>

#include "mqtt/packets.h"

namespace rushhill::mqtt {

// How far a packet has been read, or that it cannot be.
enum class Progress { more, done, bad };

// Removes one packet after another from the front of a growing buffer. A broker's reader starts with version
// 0 and takes the version from the client's CONNECT.
class Reader {
 public:
  // `max_size`: bytes of a packet after its fixed header. A longer one is an error, except for a message.
  Reader(int version, std::size_t max_size) : version_(version), max_size_(max_size) {}
  Progress put(std::string& buffer, Packet& packet);
  int version() const { return version_; }
  const std::string& fault() const { return fault_; }

 private:
  // Where a packet's body lies in the buffer.
  struct Extent {
    std::size_t start = 0;
    std::size_t length = 0;
  };
  Progress read_extent(const std::string& buffer, Extent& body);
  Progress start_long_packet(std::string& buffer, const Extent& body, Packet& packet);
  Progress skip_long_message(std::string& buffer, Packet& packet);

  int version_;  // 0 until it is known
  std::size_t max_size_;
  std::string fault_;
  Packet long_message_{};          // that is being skipped
  std::size_t bytes_to_skip_ = 0;  // of it, that have not come yet
};

}  // namespace rushhill::mqtt
