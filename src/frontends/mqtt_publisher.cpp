#include "frontends/mqtt_publisher.h"

#include <utility>

#include "mqtt/topic_filter.h"

namespace rushhill::frontends {
namespace {

using mqtt::Packet;
using mqtt::Type;

constexpr std::size_t max_answers = 2'000;  // kept for repeats, and until the broker has them

}  // namespace

MqttPublisher::MqttPublisher(core::EventLog& log, MqttConnection& connection, Options options)
    : log_(log), connection_(connection), options_(std::move(options)), answers_(max_answers),
      outbox_(max_answers) {}

void MqttPublisher::answer(const MqttDelivery& delivery, MqttOutcome outcome) {
  if (!delivery.response_topic || !mqtt::topic_valid(*delivery.response_topic)) return;
  const char* outcome_name = name_of(outcome.outcome);
  Packet answer = to_answer(*delivery.response_topic, std::move(outcome));
  answer.properties.correlation_data = delivery.correlation_data;
  answer.properties.user.emplace_back("outcome", outcome_name);
  answer.properties.user.emplace_back("router", std::to_string(options_.router_number));
  publish(answer);
  answers_.store(delivery.message_key, std::move(answer));
}

void MqttPublisher::answer_again(const std::string& message_key) {
  if (const Packet* answer = answers_.find(message_key)) publish(*answer);
}

void MqttPublisher::send(const MqttDeadLetter& letter) {
  log_.write(core::Level::warning, "message is given up",
             {{"topic", letter.topic}, {"reason", letter.reason}});
  if (options_.dead_letter_topic.empty()) return;
  Packet packet{.type = Type::publish, .topic = options_.dead_letter_topic, .payload = letter.payload};
  packet.properties.user = {{"reason", letter.reason}, {"topic", letter.topic}};
  packet.properties.content_type = letter.content_type;
  publish(std::move(packet));
}

void MqttPublisher::resend(bool session_present) {
  for (const auto& [id, packet] : outbox_.for_resending(session_present)) connection_.send(packet);
}

void MqttPublisher::publish(Packet packet) { connection_.send(outbox_.add(std::move(packet))); }

}  // namespace rushhill::frontends
