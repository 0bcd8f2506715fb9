// A client's session at the simulated broker: its subscriptions and the messages that are under way.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mqtt/packets.h"

namespace rushhill::simulation {

class BrokerConnection;

// A filter that a client has subscribed to.
struct Subscription {
  std::string filter;
  int most_qos = 0;
};

// Outlives the connections of its client.
struct BrokerSession {
  // A message to the client that it has not acknowledged.
  struct Outgoing {
    mqtt::Packet message{};
    bool received = false;   // QoS 2: PUBREC came
    std::int64_t order = 0;  // as they were sent first
  };

  std::string client{};
  int version = 5;
  std::vector<Subscription> subscriptions{};
  std::deque<mqtt::Packet> queue{};
  std::map<std::uint16_t, Outgoing> outgoing{};  // by packet identifier
  std::set<std::uint16_t> incoming{};            // QoS 2 from the client: received and not released
  std::uint16_t last_packet_id = 0;
  std::uint16_t receive_maximum = 65'535;
  std::int64_t last_order = 0;
  BrokerConnection* connection = nullptr;

  bool subscribed() const { return !subscriptions.empty(); }
  // Whether a message that is to be acknowledged may be sent.
  bool may_send() const { return outgoing.size() < receive_maximum; }
  void subscribe(const std::string& filter, int most_qos);
  void unsubscribe(const std::string& filter);
  // Gives the message an identifier and remembers it until it is acknowledged.
  void await_acknowledgement(mqtt::Packet& message);
  // Identifiers of the unacknowledged messages, in their order.
  std::vector<std::uint16_t> unacknowledged() const;
};

}  // namespace rushhill::simulation
