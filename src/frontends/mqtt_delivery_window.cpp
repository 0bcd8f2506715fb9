#include "frontends/mqtt_delivery_window.h"

#include <utility>

namespace rushhill::frontends {

void MqttDeliveryWindow::add(const MqttDeliveryPointer& delivery) {
  if (delivery->packet_id == 0) return;
  order_.push_back(delivery);
  by_packet_id_[delivery->packet_id] = delivery;
  by_message_[delivery->message_key].push_back(delivery);
}

void MqttDeliveryWindow::settle(const std::string& message_key) {
  const auto it = by_message_.find(message_key);
  if (it == by_message_.end()) return;
  for (const MqttDeliveryPointer& delivery : it->second) {
    if (!delivery->queued) delivery->settled = true;
  }
}

MqttDeliveryPointer MqttDeliveryWindow::take_settled() {
  if (order_.empty() || !order_.front()->settled) return nullptr;
  MqttDeliveryPointer delivery = std::move(order_.front());
  order_.pop_front();
  by_packet_id_.erase(delivery->packet_id);
  if (const auto it = by_message_.find(delivery->message_key); it != by_message_.end()) {
    std::erase(it->second, delivery);
    if (it->second.empty()) by_message_.erase(it);
  }
  if (delivery->qos == 2 && delivery->reason == mqtt::success) awaiting_release_.insert(delivery->packet_id);
  return delivery;
}

void MqttDeliveryWindow::clear() {
  by_packet_id_.clear();
  by_message_.clear();
  order_.clear();
  awaiting_release_.clear();
}

}  // namespace rushhill::frontends
