// What an MQTT session tells the outside: answers to messages, and dead letters.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/event_log.h"
#include "frontends/mqtt_answer.h"
#include "frontends/mqtt_connection.h"
#include "frontends/mqtt_delivery_window.h"
#include "frontends/mqtt_outbox.h"

namespace rushhill::frontends {

// A message that is given up, as it goes to the dead letters.
struct MqttDeadLetter {
  std::string payload{};
  std::string topic{};   // or the event's type
  std::string reason{};  // for people
  std::optional<std::string> content_type{};
};

// Publishes at QoS 1; what the broker has not acknowledged is published again on the next connection.
class MqttPublisher {
 public:
  // What distinguishes one session's publisher from others.
  struct Options {
    std::string dead_letter_topic{};  // empty: dead letters are logged only
    int router_number = 0;            // told in each answer
  };
  // The log and the connection outlive the publisher.
  MqttPublisher(core::EventLog& log, MqttConnection& connection, Options options);

  // Answers the message where it names a valid response topic, and keeps the answer for repeats.
  void answer(const MqttDelivery& delivery, MqttOutcome outcome);
  // Publishes the message's answer once more, where it is kept.
  void answer_again(const std::string& message_key);
  void send(const MqttDeadLetter& letter);

  // The broker has a packet of ours.
  void acknowledged(std::uint16_t packet_id) { outbox_.acknowledged(packet_id); }
  bool all_acknowledged() const { return outbox_.empty(); }
  // On a new connection: publishes again what the broker has not acknowledged.
  void resend(bool session_present);

 private:
  void publish(mqtt::Packet packet);

  core::EventLog& log_;
  MqttConnection& connection_;
  Options options_;
  MqttAnswerCache answers_;
  MqttOutbox outbox_;
};

}  // namespace rushhill::frontends
