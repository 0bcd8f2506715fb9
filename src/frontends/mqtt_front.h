// MQTT triggers: the router as a client of a broker. Messages become events for the core; a message is
// acknowledged only with its final outcome, in the order in which messages came. docs/mqtt.md is the
// description.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/event_log.h"
#include "core/gateway.h"
#include "core/intake.h"
#include "deployment/deployment_file.h"
#include "mqtt/packets.h"
#include "transport/reactor.h"

namespace rushhill::frontends {

struct MqttTally {
  std::uint64_t received = 0, redelivered = 0, joined = 0, answered_again = 0, dead = 0, expired = 0,
                connections = 0, tried_again = 0;
};

class MqttFront {
 public:
  MqttFront(transport::Reactor& reactor, core::Gateway& gateway, const core::RequestReader& intake,
            core::EventLog& diary, const deployment::MqttConfiguration& links, std::uint64_t seed);
  ~MqttFront();
  MqttFront(const MqttFront&) = delete;
  MqttFront& operator=(const MqttFront&) = delete;

  // Takes nothing new; what the broker has handed over is answered and acknowledged, then DISCONNECT.
  void wind_up();
  bool idle() const;  // after wind_up: every session has left
  const MqttTally& tally() const { return tally_; }

 private:
  class Session;
  transport::Reactor& reactor_;
  core::Gateway& gateway_;
  const core::RequestReader& intake_;
  core::EventLog& diary_;
  deployment::MqttConfiguration links_;
  MqttTally tally_;
  bool winding_up_ = false;
  std::vector<std::unique_ptr<Session>> sessions_;
};

// What a topic rule makes of a message: the event as it was published, with what the rule adds. Throws
// events::BadEvent.
events::CloudEvent event_of(const deployment::MqttTopic& rule, const mqtt::Packet& publish, int version);

}  // namespace rushhill::frontends
