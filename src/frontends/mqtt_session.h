// One topic rule's session with the broker, within the MQTT frontend.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "admission/delivery_tracker.h"
#include "admission/message_retries.h"
#include "core/client.h"
#include "frontends/mqtt_answer.h"
#include "frontends/mqtt_connection.h"
#include "frontends/mqtt_delivery_window.h"
#include "frontends/mqtt_front.h"
#include "frontends/mqtt_publisher.h"

namespace rushhill::frontends {

// Hands the messages of a topic to the gateway, each once however often it is delivered; retries those that
// nobody waits for; answers, acknowledges, and sends what is given up to the dead letters.
class MqttFront::Session final : public core::Client, private MqttConnection::Handler {
 public:
  // What distinguishes one session from the others.
  struct Options {
    deployment::MqttTopic rule{};
    int window = 1;                 // messages at once
    std::uint64_t jitter_seed = 0;  // of the backoff between connections
  };
  // The front outlives the session.
  Session(MqttFront& front, const Options& options);
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  Session(Session&&) = delete;
  Session& operator=(Session&&) = delete;

  // What the broker has delivered is still brought to its end, since it would be delivered again, marked as a
  // duplicate; then the acknowledgements leave together, and DISCONNECT behind them.
  void start_draining();
  bool idle() const { return connection_.disconnected(); }

  void succeeded(RequestId request_id, events::CloudEvent reply) override;
  void rejected(RequestId request_id, Duration retry_after) override;
  void failed(RequestId request_id) override;

 private:
  // MqttConnection::Handler
  void on_session_started(bool session_present) override;
  void on_packet(mqtt::Packet& packet) override;
  void on_connection_lost() override;
  bool may_read() const override;

  mqtt::Packet connect_packet() const;
  void receive(const mqtt::Packet& packet);
  bool exceeds_window(const mqtt::Packet& packet) const;
  // Why a message cannot become an event.
  struct MessageFault {
    std::string reason{};                              // for the dead letter
    std::uint8_t code = mqtt::payload_format_invalid;  // of the acknowledgement
  };
  // Null where the message is malformed or exceeds a limit; it has been refused then.
  MqttDeliveryPointer read(const mqtt::Packet& packet);
  void refuse(const MqttDeliveryPointer& delivery, const mqtt::Packet& packet, const MessageFault& fault);
  void answer_again(const MqttDeliveryPointer& delivery);
  void start(const MqttDeliveryPointer& delivery, const mqtt::Packet& packet);
  // For a message that may have run in an earlier incarnation of this router.
  void refuse_redelivery(const MqttDeliveryPointer& delivery, const mqtt::Packet& packet);
  // Lets the delivery be acknowledged, with a reason code of the protocol.
  void settle(const MqttDeliveryPointer& delivery, std::uint8_t reason);

  // Hands queued messages to the gateway as long as it has room for this source.
  void submit_queued();
  void submit(const MqttDeliveryPointer& delivery);
  void conclude(RequestId request_id, MqttOutcome outcome);
  // When the message is to be retried; nothing: it is not.
  std::optional<Time> retry_at(const MqttDelivery& delivery, const MqttOutcome& outcome);
  void set_retry_timer();
  void submit_retries();
  void give_up(const MqttDelivery& delivery, MqttOutcome outcome);
  void end(const MqttDelivery& delivery, MqttOutcome outcome);

  // Acknowledgements leave in the order in which the messages came, as the standard asks.
  void acknowledge();
  void send_acknowledgements();
  // Draining: once nothing is open and the broker has every answer.
  void leave_if_done();

  MqttFront& front_;
  transport::Reactor& reactor_;
  deployment::MqttTopic rule_;
  std::size_t window_size_;
  admission::SourceQuotas::Source source_;
  admission::DeliveryTracker deliveries_;
  admission::MessageRetries tries_;
  MqttDeliveryWindow window_;
  std::deque<MqttDeliveryPointer> queued_;              // until the gateway has room
  std::multimap<Time, MqttDeliveryPointer> retries_;    // by the time of the next attempt
  std::map<RequestId, MqttDeliveryPointer> submitted_;  // await their outcome
  core::Timer room_timer_;
  core::Timer retry_timer_;
  MqttConnection connection_;
  MqttPublisher publisher_;
};

}  // namespace rushhill::frontends
