// The simulated clients' connection to the MQTT broker: publishes requests and reads their answers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "mqtt/packets.h"
#include "mqtt/reader.h"
#include "simulation/client_request.h"
#include "transport/reactor.h"

namespace rushhill::simulation {

// How long a message may lie at the broker.
constexpr Time broker_patience = 60'000;  // tenths of a millisecond

// Connects again after a break and sends again what was not acknowledged.
class RequestPublisher final : public transport::StreamHandler {
 public:
  // `source`: of the events. `answered` is called with every answer.
  RequestPublisher(transport::Reactor& reactor, const transport::Address& broker, std::string source,
                   std::function<void(const mqtt::Packet&)> answered);
  RequestPublisher(const RequestPublisher&) = delete;
  RequestPublisher& operator=(const RequestPublisher&) = delete;
  RequestPublisher(RequestPublisher&&) = delete;
  RequestPublisher& operator=(RequestPublisher&&) = delete;
  ~RequestPublisher() override;

  // Sends the request until the broker has acknowledged it.
  void publish(const ClientRequest& request);

  void on_connected() override;
  void on_data(std::string_view bytes) override;
  void on_closed(transport::CloseReason reason) override;

 private:
  void connect();
  void receive(const mqtt::Packet& packet);
  void subscribe();
  void resend_unacknowledged();
  void write(const mqtt::Packet& packet);

  transport::Reactor& reactor_;
  transport::Address broker_;
  std::string source_;
  std::function<void(const mqtt::Packet&)> answered_;
  mqtt::Reader reader_;
  std::shared_ptr<transport::Stream> stream_;
  std::string input_;
  std::deque<mqtt::Packet> unacknowledged_;
  std::uint16_t last_packet_id_ = 1;
  bool subscribed_ = false;
};

}  // namespace rushhill::simulation
