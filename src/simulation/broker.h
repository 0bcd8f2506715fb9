// A simulated broker by the public MQTT specifications, no more than the MQTT front end needs: sessions, QoS
// 0 to 2, retained messages, shared subscriptions, will, expiry, receive maximum; and faults by script.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "mqtt/packets.h"
#include "simulation/broker_connection.h"
#include "simulation/broker_session.h"
#include "simulation/day.h"
#include "simulation/record.h"
#include "transport/listener.h"

namespace rushhill::simulation {

// Accepts clients while it lives.
class Broker final : public BrokerConnectionOwner {
 public:
  Broker(transport::Reactor& reactor, const transport::Address& listen_address, Record& record);
  Broker(const Broker&) = delete;
  Broker& operator=(const Broker&) = delete;
  Broker(Broker&&) = delete;
  Broker& operator=(Broker&&) = delete;
  ~Broker() override;

  transport::Address address() const { return address_; }

  // Publishes as if a client had.
  void publish(const mqtt::Packet& message);

  // Plays the day's faults from that moment on.
  void play(const Day& day, Time start);

  // Ends every connection; sessions live on.
  void drop_clients();
  // The same, and connections are refused for a while; sessions are forgotten or not.
  void restart(bool forget);
  // Cuts the next message after so many bytes and ends that connection.
  void cut_next_publish(std::size_t bytes);
  // Cuts the next connection after so many bytes of all that is sent on it.
  void cut_after(std::size_t bytes) { faults_.cut_after = bytes; }
  // Sends every QoS 1 message twice.
  void duplicate(bool on) { faults_.duplicates = on; }
  // The reason of the next CONNACKs; 0: accepted.
  void refuse(std::uint8_t reason) { faults_.connect_refusal = reason; }
  // Reads nothing from clients.
  void read_slowly(bool on);

  // For tests.
  std::size_t sessions() const { return sessions_.size(); }
  std::size_t unacknowledged(const std::string& client) const;
  std::size_t queued(const std::string& client) const;
  bool connected(const std::string& client) const;
  // Sessions with a subscription.
  std::size_t subscribed() const;
  std::size_t most_unacknowledged() const { return most_unacknowledged_; }
  // Payloads, in the order of their acknowledgements.
  const std::vector<std::string>& acknowledged() const { return acknowledged_; }
  std::vector<mqtt::Packet> seen;  // every message published

 private:
  // A session that shares a subscription, and the most QoS that it asked for.
  struct Member {
    BrokerSession* session = nullptr;
    int most_qos = 0;
  };
  using Members = std::vector<Member>;
  using SharedSubscriptions = std::map<std::string, Members>;  // by filter

  void listen();
  void connect(BrokerConnection& connection, const mqtt::Packet& packet);
  void take_over(BrokerSession& session);
  void resend(BrokerSession& session, BrokerConnection& connection);
  void receive_publish(BrokerConnection& connection, const mqtt::Packet& packet);
  void receive_pubrec(BrokerConnection& connection, const mqtt::Packet& packet);
  void receive_acknowledgement(BrokerSession& session, std::uint16_t packet_id);
  void subscribe(BrokerConnection& connection, const mqtt::Packet& packet);
  void unsubscribe(BrokerConnection& connection, const mqtt::Packet& packet);
  void send_retained(BrokerSession& session, const std::string& filter, int most_qos);
  void route(const mqtt::Packet& message);
  void deliver_to(BrokerSession& session, const mqtt::Packet& message, SharedSubscriptions& shared);
  void deliver_shared(const std::string& filter, Members& members, const mqtt::Packet& message);
  void deliver(BrokerSession& session, mqtt::Packet message, int most_qos);
  void send_queued(BrokerSession& session);
  void send_duplicate(BrokerSession& session, const mqtt::Packet& message);
  bool set_remaining_expiry(mqtt::Packet& message) const;
  std::uint32_t now_seconds() const;
  void record_delivery(const BrokerSession& session, const mqtt::Packet& message);

  void received(BrokerConnection& connection, mqtt::Packet& packet) override;
  void will_due(const mqtt::Packet& message) override;
  void connection_ended(BrokerConnection& connection) override;

  transport::Reactor& reactor_;
  std::unique_ptr<transport::BoundSocket> port_;  // keeps the address while nobody listens
  transport::Address address_;
  Record& record_;
  BrokerFaults faults_;
  std::unique_ptr<transport::Listener> listener_;
  std::unordered_map<BrokerConnection*, std::shared_ptr<BrokerConnection>> connections_;
  std::map<std::string, BrokerSession> sessions_;   // by client
  std::map<std::string, mqtt::Packet> retained_;    // by topic
  std::map<std::string, std::size_t> next_member_;  // of shared subscriptions, by filter
  std::vector<std::string> acknowledged_;
  std::size_t most_unacknowledged_ = 0;
};

}  // namespace rushhill::simulation
