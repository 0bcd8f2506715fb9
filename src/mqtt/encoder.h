// Encodes the control packets of MQTT 3.1.1 and 5.
#pragma once

#include <string>

#include "mqtt/packets.h"

namespace rushhill::mqtt {

// Encodes a packet in the protocol version 4 (MQTT 3.1.1) or 5. Throws std::length_error if a string is
// longer than 65,535 bytes.
std::string encode(const Packet& packet, int version);

}  // namespace rushhill::mqtt
