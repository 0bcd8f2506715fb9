// The bench's MQTT end: a broker as cheap as it can be, which publishes its own load to the sessions that
// routers open and hears their answers.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/pump.h"
#include "mqtt/packets.h"
#include "transport/listener.h"

namespace rushhill::lab {

// One topic's messages.
struct Stream {
  std::string topic;
  double rate = 0;  // a second; 0: as many as the session's receive maximum allows
};

class MqttPump {
 public:
  // Publishing begins once every topic has a session; `due`: what counts as in time, from the intended
  // moment.
  MqttPump(transport::Reactor& reactor, const transport::Address& address, std::vector<Stream> streams,
           Time span, Time due, int functions);
  ~MqttPump();
  transport::Address address() const { return listener_.address(); }
  void run();
  const std::vector<Pumped>& results() const { return results_; }  // by stream

 private:
  class Session;
  void take(Session& session, const mqtt::Packet& packet);
  void begin_if_covered();
  void pace();
  void offer(std::size_t stream, std::int64_t intended_ns);
  void fill(Session& session);
  void answered(const mqtt::Packet& answer);

  transport::Reactor& reactor_;
  std::vector<Stream> streams_;
  Time span_, due_;
  int functions_;
  std::unordered_map<Session*, std::shared_ptr<Session>> sessions_;
  std::vector<Session*> session_of_;  // by stream; none yet: nullptr
  std::vector<std::int64_t> next_;    // intended moment of the next message, by stream
  std::vector<Pumped> results_;
  std::int64_t count_from_ = 0, sent_ = 0;
  bool begun_ = false;
  transport::Listener listener_;
};

}  // namespace rushhill::lab
