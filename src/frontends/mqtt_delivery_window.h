// The deliveries of an MQTT session that are not acknowledged yet.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "events/cloudevent.h"
#include "mqtt/packets.h"
#include "routing/types.h"

namespace rushhill::frontends {

// One delivery of a message by the broker; the same message may be delivered several times.
struct MqttDelivery {
  std::uint16_t packet_id = 0;  // 0: QoS 0, not to be acknowledged
  int qos = 0;
  std::string message_key{};            // the same for every delivery of a message
  bool settled = false;                 // may be acknowledged
  bool queued = false;                  // waits for the gateway to have room
  std::uint8_t reason = mqtt::success;  // of the acknowledgement
  Time deadline = 0;                    // the request's, or the message's expiry
  events::CloudEvent event{};
  RoutingRequest request{};
  std::optional<std::string> response_topic{};
  std::optional<std::string> correlation_data{};
};
using MqttDeliveryPointer = std::shared_ptr<MqttDelivery>;

// Keeps deliveries in the order in which they came, in which they are acknowledged.
class MqttDeliveryWindow {
 public:
  // Nothing happens for a delivery of QoS 0.
  void add(const MqttDeliveryPointer& delivery);
  std::size_t size() const { return order_.size(); }
  bool contains(std::uint16_t packet_id) const { return by_packet_id_.contains(packet_id); }

  // Settles every delivery of a message, but those that are queued.
  void settle(const std::string& message_key);
  // Takes the oldest delivery out if it is settled, to be acknowledged now; otherwise nothing.
  MqttDeliveryPointer take_settled();

  // QoS 2: whether PUBREC has been sent for the packet identifier and PUBREL is awaited.
  bool awaits_release(std::uint16_t packet_id) const { return awaiting_release_.contains(packet_id); }
  void release(std::uint16_t packet_id) { awaiting_release_.erase(packet_id); }

  // The connection is lost: packet identifiers mean nothing any more.
  void clear();

 private:
  std::deque<MqttDeliveryPointer> order_;
  std::map<std::uint16_t, MqttDeliveryPointer> by_packet_id_;
  std::unordered_map<std::string, std::vector<MqttDeliveryPointer>> by_message_;
  std::set<std::uint16_t> awaiting_release_;
};

}  // namespace rushhill::frontends
