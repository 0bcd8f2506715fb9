#include "frontends/mqtt_outbox.h"

#include <utility>

namespace rushhill::frontends {

const mqtt::Packet& MqttOutbox::add(mqtt::Packet packet) {
  if (packets_.size() >= limit_) packets_.erase(packets_.begin());
  do {
    if (++last_id_ == 0) last_id_ = mqtt_subscription_id + 1;
  } while (packets_.contains(last_id_));
  packet.qos = 1;
  packet.id = last_id_;
  mqtt::Packet& kept = packets_[last_id_];
  kept = std::move(packet);
  return kept;
}

const std::map<std::uint16_t, mqtt::Packet>& MqttOutbox::for_resending(bool session_present) {
  for (auto& [id, packet] : packets_) packet.dup = session_present;
  return packets_;
}

}  // namespace rushhill::frontends
