// The answers of the MQTT frontend: a message's outcome as a packet, and those that are kept for repeats.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "admission/delivery_tracker.h"
#include "events/cloudevent.h"
#include "mqtt/packets.h"
#include "routing/time.h"

namespace rushhill::frontends {

// How a message ended.
struct MqttOutcome {
  admission::Outcome outcome = admission::Outcome::rejected;
  Time retry_after = 0;        // tenths of a millisecond; 0: no advice
  events::CloudEvent reply{};  // of a message that succeeded
};

// The outcome's name in answers and dead letters.
const char* name_of(admission::Outcome outcome);

// The answer to be published at the topic: the reply, or a problem (RFC 9457).
mqtt::Packet to_answer(const std::string& topic, MqttOutcome outcome);

// The answers of the last messages that ended, for those that come again.
class MqttAnswerCache {
 public:
  // Keeps `limit` answers at most; the oldest go first.
  explicit MqttAnswerCache(std::size_t limit) : limit_(limit) {}

  void store(const std::string& message_key, mqtt::Packet answer);
  // Null where none is kept; valid until the next store().
  const mqtt::Packet* find(const std::string& message_key) const;

 private:
  std::size_t limit_;
  std::map<std::string, mqtt::Packet> answers_;
  std::deque<std::string> order_;
};

}  // namespace rushhill::frontends
