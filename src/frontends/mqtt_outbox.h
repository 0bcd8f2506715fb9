// What an MQTT session publishes, and keeps until the broker has it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "mqtt/packets.h"

namespace rushhill::frontends {

// The packet identifier of a session's subscription; the outbox gives those above it.
constexpr std::uint16_t mqtt_subscription_id = 1;

// Packets published at QoS 1 that the broker has not acknowledged, also over a lost connection.
class MqttOutbox {
 public:
  // Holds `limit` packets at most: beyond that the one of the lowest identifier goes.
  explicit MqttOutbox(std::size_t limit) : limit_(limit) {}

  // Gives the packet QoS 1 and a free identifier, and keeps it; the result is to be sent now.
  const mqtt::Packet& add(mqtt::Packet packet);
  void acknowledged(std::uint16_t packet_id) { packets_.erase(packet_id); }
  bool empty() const { return packets_.empty(); }
  // After a reconnection: all that is kept, to be sent again, marked as duplicates where the session is the
  // same.
  const std::map<std::uint16_t, mqtt::Packet>& for_resending(bool session_present);

 private:
  std::size_t limit_;
  std::map<std::uint16_t, mqtt::Packet> packets_;
  std::uint16_t last_id_ = mqtt_subscription_id;
};

}  // namespace rushhill::frontends
