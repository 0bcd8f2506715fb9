#include "simulation/broker_connection.h"

#include <algorithm>
#include <utility>

#include "mqtt/encoder.h"

namespace rushhill::simulation {
namespace {

using mqtt::Packet;

constexpr std::size_t longest_packet = 4 * 1024 * 1024;  // bytes
constexpr int any_version = 0;                           // as the client's CONNECT says

}  // namespace

BrokerConnection::BrokerConnection(transport::Reactor& reactor, BrokerConnectionOwner& owner,
                                   BrokerFaults& faults, const transport::PendingConnection& pending)
    : owner_(owner), faults_(faults), reader_(any_version, longest_packet) {
  stream_ = transport::Stream::adopt(reactor, pending, *this);
  if (const std::size_t cut_after = std::exchange(faults.cut_after, 0); cut_after > 0)
    bytes_left_ = cut_after;
  if (faults.reads_slowly) stream_->set_reading(false);
}
BrokerConnection::~BrokerConnection() { stream_->close(); }

void BrokerConnection::on_data(std::string_view bytes) {
  input_ += bytes;
  while (!faults_.reads_slowly) {
    Packet packet;
    const mqtt::Progress progress = reader_.put(input_, packet);
    if (progress == mqtt::Progress::more || stream_->closed()) return;
    if (progress == mqtt::Progress::bad || packet.exceeded_limit != mqtt::ExceededLimit::none)
      return close(true);
    owner_.received(*this, packet);
  }
}

void BrokerConnection::on_closed(transport::CloseReason) { close(true); }

void BrokerConnection::send(const Packet& packet) {
  const std::string bytes = mqtt::encode(packet, reader_.version());
  if (bytes_left_ && bytes.size() >= *bytes_left_) {
    stream_->write(bytes.substr(0, *bytes_left_));
    return close(false);
  }
  if (bytes_left_) *bytes_left_ -= bytes.size();
  if (packet.type == mqtt::Type::publish && std::exchange(faults_.cuts_next_publish, false)) {
    stream_->write(bytes.substr(0, std::min(faults_.cut_publish_after, bytes.size() - 1)));
    return close(false);
  }
  stream_->write(bytes);
}

void BrokerConnection::close(bool publishes_will) {
  if (std::exchange(closed_, true)) return;
  if (publishes_will && will) {
    Packet message{.type = mqtt::Type::publish, .retain = will->retain, .qos = will->qos};
    message.topic = will->topic;
    message.payload = will->payload;
    owner_.will_due(message);
  }
  stream_->shutdown_write();
  owner_.connection_ended(*this);
}

}  // namespace rushhill::simulation
