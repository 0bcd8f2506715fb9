// MQTT triggers: the router as a client of a broker. Messages become requests of the gateway; a message is
// acknowledged only with its final outcome, in the order in which messages came. docs/mqtt.md describes it.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "core/event_log.h"
#include "core/gateway.h"
#include "core/request_reader.h"
#include "deployment/deployment_file.h"
#include "transport/reactor.h"

namespace rushhill::frontends {

// Totals of the MQTT frontend since its start.
struct MqttTally {
  std::uint64_t received = 0;        // messages delivered
  std::uint64_t redelivered = 0;     // of these, marked as duplicates by the broker
  std::uint64_t joined = 0;          // while another delivery of the message was in progress
  std::uint64_t answered_again = 0;  // after the message had ended
  std::uint64_t dead_lettered = 0;   // given up, or malformed
  std::uint64_t expired = 0;         // before the gateway could accept them
  std::uint64_t connections = 0;     // accepted by the broker
  std::uint64_t retried = 0;         // attempts at messages beyond the first
};

// The MQTT frontend of one router: a session with the broker for each topic rule, on a connection of its own,
// so that one topic's flood fills only its window. What it is handed has to outlive it.
class MqttFront {
 public:
  MqttFront(transport::Reactor& reactor, core::Gateway& gateway, const core::RequestReader& intake,
            core::EventLog& log, const deployment::MqttConfiguration& links, std::uint64_t seed);
  ~MqttFront();
  MqttFront(const MqttFront&) = delete;
  MqttFront& operator=(const MqttFront&) = delete;
  MqttFront(MqttFront&&) = delete;
  MqttFront& operator=(MqttFront&&) = delete;

  // Accepts no further message; what the broker has delivered is answered and acknowledged, then DISCONNECT.
  void start_draining();
  // Whether every session has ended after start_draining().
  bool idle() const;
  const MqttTally& tally() const { return tally_; }

 private:
  class Session;

  transport::Reactor& reactor_;
  core::Gateway& gateway_;
  const core::RequestReader& intake_;
  core::EventLog& log_;
  deployment::MqttConfiguration links_;
  MqttTally tally_;
  bool draining_ = false;
  std::vector<std::unique_ptr<Session>> sessions_;
};

}  // namespace rushhill::frontends
