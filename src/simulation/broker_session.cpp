#include "simulation/broker_session.h"

#include <algorithm>

namespace rushhill::simulation {

void BrokerSession::subscribe(const std::string& filter, int most_qos) {
  unsubscribe(filter);
  subscriptions.push_back({filter, most_qos});
}

void BrokerSession::unsubscribe(const std::string& filter) {
  std::erase_if(subscriptions, [&](const Subscription& known) { return known.filter == filter; });
}

void BrokerSession::await_acknowledgement(mqtt::Packet& message) {
  do {
    if (++last_packet_id == 0) last_packet_id = 1;
  } while (outgoing.contains(last_packet_id));
  message.id = last_packet_id;
  outgoing[message.id] = {.message = message, .order = ++last_order};
}

std::vector<std::uint16_t> BrokerSession::unacknowledged() const {
  std::vector<std::uint16_t> ids;
  for (const auto& [id, sent] : outgoing) ids.push_back(id);
  std::ranges::sort(ids, {}, [this](std::uint16_t id) { return outgoing.at(id).order; });
  return ids;
}

}  // namespace rushhill::simulation
