#include "simulation/request_publisher.h"

#include <utility>

#include "mqtt/encoder.h"

namespace rushhill::simulation {
namespace {

constexpr int mqtt_version = 5;
constexpr std::size_t longest_packet = 4 * 1024 * 1024;  // bytes
constexpr Time reconnect_interval = 200;                 // tenths of a millisecond
constexpr std::uint32_t session_expiry = 3600;           // seconds
constexpr Time ticks_per_second = 10'000;
constexpr Time ticks_per_millisecond = 10;
constexpr const char* client_id = "clients";
constexpr const char* answer_topic = "answers/clients";
constexpr const char* answer_filter = "answers/#";

}  // namespace

RequestPublisher::RequestPublisher(transport::Reactor& reactor, const transport::Address& broker,
                                   std::string source, std::function<void(const mqtt::Packet&)> answered)
    : reactor_(reactor), broker_(broker), source_(std::move(source)), answered_(std::move(answered)),
      reader_(mqtt_version, longest_packet) {
  connect();
}
RequestPublisher::~RequestPublisher() { stream_->close(); }

void RequestPublisher::publish(const ClientRequest& request) {
  const FunctionSpec& function = *request.function;
  mqtt::Packet packet{.type = mqtt::Type::publish, .qos = 1};
  packet.topic = "events/" + request.request_class->name + "/" + function.name;
  packet.properties.response_topic = answer_topic;
  packet.properties.correlation_data = request.id();
  packet.properties.message_expiry = static_cast<std::uint32_t>(broker_patience / ticks_per_second);
  packet.properties.user = {{"specversion", "1.0"},
                            {"id", request.id()},
                            {"source", source_},
                            {"type", request.request_class->name},
                            {"memorymb", std::to_string(static_cast<int>(function.memory_mb))},
                            {"lanes", std::to_string(function.lanes)},
                            {"workms", std::to_string(function.work / ticks_per_millisecond)}};
  unacknowledged_.push_back(std::move(packet));
  if (!subscribed_) return;
  if (++last_packet_id_ == 0) last_packet_id_ = 1;
  unacknowledged_.back().id = last_packet_id_;
  write(unacknowledged_.back());
}

void RequestPublisher::connect() {
  input_.clear();
  reader_ = mqtt::Reader(mqtt_version, longest_packet);
  stream_ = transport::Stream::connect(reactor_, broker_, *this);
}

void RequestPublisher::on_connected() {
  mqtt::Packet connect{.type = mqtt::Type::connect, .client_id = client_id, .clean_start = false};
  connect.properties.session_expiry = session_expiry;
  write(connect);
}

void RequestPublisher::on_data(std::string_view bytes) {
  input_ += bytes;
  mqtt::Packet packet;
  while (reader_.put(input_, packet) == mqtt::Progress::done) {
    receive(packet);
    packet = {};
  }
}

void RequestPublisher::on_closed(transport::CloseReason) {
  subscribed_ = false;
  reactor_.post([closed = stream_] {});
  reactor_.at(reactor_.now() + reconnect_interval, [this] { connect(); });
}

void RequestPublisher::receive(const mqtt::Packet& packet) {
  switch (packet.type) {
    case mqtt::Type::connack:
      return subscribe();
    case mqtt::Type::suback:
      subscribed_ = true;
      return resend_unacknowledged();
    case mqtt::Type::puback:
      std::erase_if(unacknowledged_, [&](const auto& sent) { return sent.id == packet.id; });
      return;
    case mqtt::Type::publish:
      if (packet.qos == 1) write({.type = mqtt::Type::puback, .id = packet.id});
      return answered_(packet);
    default:
      return;
  }
}

void RequestPublisher::subscribe() {
  write({.type = mqtt::Type::subscribe, .id = 1, .filters = {{answer_filter, 1}}});
}

void RequestPublisher::resend_unacknowledged() {
  for (mqtt::Packet& packet : unacknowledged_) {
    packet.dup = packet.id != 0;
    if (packet.id == 0) packet.id = ++last_packet_id_;
    write(packet);
  }
}

void RequestPublisher::write(const mqtt::Packet& packet) {
  stream_->write(mqtt::encode(packet, mqtt_version));
}

}  // namespace rushhill::simulation
