// A broker's stand-in from the public MQTT specifications, no more than the triggers need: sessions, QoS 0 to
// 2, retained messages, shared subscriptions, will, expiry, receive maximum; and faults by script.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "mqtt/packets.h"
#include "standin/day.h"
#include "standin/record.h"
#include "transport/listener.h"

namespace rushhill::standin {

class Broker {
 public:
  Broker(transport::Reactor& reactor, const transport::Address& address, Record& record);
  ~Broker();
  transport::Address address() const { return address_; }

  // As if a client had published it.
  void publish(const mqtt::Packet& message);

  void play(const Day& day, Time start);

  // Faults.
  void drop_clients();        // every connection ends; sessions live on
  void restart(bool forget);  // the same, sessions forgotten or not; connections are refused for so long
  void cut_next_publish(std::size_t bytes) {
    cut_at_ = bytes;
    cut_due_ = true;
  }                                                          // then drops that connection
  void cut_after(std::size_t bytes) { cut_total_ = bytes; }  // of all it sends on the next connection
  void duplicate(bool on) { duplicating_ = on; }             // every QoS 1 message goes out twice
  void refuse(std::uint8_t reason) { refusal_ = reason; }    // CONNACK's reason; 0: none
  void read_slowly(bool on);                                 // takes nothing from clients

  // What tests ask.
  std::size_t sessions() const { return sessions_.size(); }
  std::size_t unacknowledged(const std::string& client) const;
  std::size_t queued(const std::string& client) const;
  bool connected(const std::string& client) const;
  std::size_t subscribed() const;  // sessions with a subscription
  std::size_t most_unacknowledged() const { return most_out_; }
  const std::vector<std::string>& acknowledged() const { return acknowledged_; }  // payloads, in their order
  std::vector<mqtt::Packet> seen;                                                 // every message routed

 private:
  class Link;
  struct Out {
    mqtt::Packet message;
    bool released = false;  // QoS 2: PUBREC came
    std::int64_t order = 0;
  };
  struct Session {
    std::string client;
    int version = 5;
    std::vector<std::pair<std::string, int>> filters;
    std::deque<mqtt::Packet> queue;
    std::map<std::uint16_t, Out> out;
    std::set<std::uint16_t> in;  // QoS 2 from the client: received and not released
    std::uint16_t next_id = 0, receive_maximum = 65'535;
    std::int64_t order = 0;
    Link* link = nullptr;
  };

  void listen();
  void take(Link& link, mqtt::Packet& packet);
  void connect(Link& link, mqtt::Packet& packet);
  void route(const mqtt::Packet& message);
  void deliver(Session& session, mqtt::Packet message, int most);
  void pump(Session& session);
  void note(const Session& session, const mqtt::Packet& message);
  void gone(Link& link);

  transport::Reactor& reactor_;
  std::unique_ptr<transport::BoundSocket> holder_;
  transport::Address address_;
  Record& record_;
  std::unique_ptr<transport::Listener> listener_;
  std::unordered_map<Link*, std::shared_ptr<Link>> links_;
  std::map<std::string, Session> sessions_;
  std::map<std::string, mqtt::Packet> retained_;
  std::map<std::string, std::size_t> turns_;  // of shared subscriptions
  std::vector<std::string> acknowledged_;
  std::size_t cut_at_ = 0, cut_total_ = 0, most_out_ = 0;
  std::uint8_t refusal_ = 0;
  bool cut_due_ = false, duplicating_ = false, reading_slowly_ = false;
};

}  // namespace rushhill::standin
