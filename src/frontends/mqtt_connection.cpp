#include "frontends/mqtt_connection.h"

#include <algorithm>
#include <utility>

#include "frontends/mqtt_version.h"
#include "mqtt/encoder.h"

namespace rushhill::frontends {
namespace {

using mqtt::Packet;
using mqtt::Type;

constexpr int max_doublings = 5;                  // of the backoff
constexpr Time handshake_limit = 50'000;          // tenths of a millisecond for CONNACK
constexpr std::uint64_t seed_range = 16'777'199;  // a prime below 2^24
constexpr std::uint8_t first_error_reason = 0x80;

}  // namespace

MqttConnection::MqttConnection(transport::Reactor& reactor, core::EventLog& log,
                               const deployment::MqttConfiguration& links, Handler& handler, Options options)
    : reactor_(reactor), log_(log), links_(links), handler_(handler), options_(std::move(options)),
      jitter_(static_cast<std::uint_fast32_t>(options_.jitter_seed % seed_range)),
      reader_(links_.version, max_packet_size) {}
MqttConnection::~MqttConnection() {
  cancel_timers();
  if (stream_) stream_->close();
}

bool MqttConnection::is_3_1_1() const { return links_.version == mqtt_3_1_1; }

void MqttConnection::cancel_timers() {
  for (core::Timer* timer : {&reconnect_timer_, &ping_timer_, &silence_timer_}) reactor_.cancel(*timer);
}

void MqttConnection::connect() {
  input_.clear();
  reader_ = mqtt::Reader(links_.version, max_packet_size);
  connected_ = false;
  stream_ = transport::Stream::connect(reactor_, transport::numeric_address(links_.address), *this);
  silence_timer_ = reactor_.at(reactor_.now() + handshake_limit, [this] { fail("no answer to CONNECT"); });
}

void MqttConnection::send(const Packet& packet) {
  if (!stream_ || (packet.type != Type::connect && !connected_)) return;
  stream_->write(mqtt::encode(packet, links_.version));
}

void MqttConnection::fail(const char* why) {
  log_.write(core::Level::warning, "broker's connection broke",
             {{"topic", options_.topic_name}, {"why", why}});
  cancel_timers();
  stream_->close();
  reactor_.post([closed = std::move(stream_)] {});
  stream_.reset();
  connected_ = false;
  handler_.on_connection_lost();
  if (!disconnected_) schedule_reconnection();
}

void MqttConnection::schedule_reconnection() {
  const Time backoff = links_.retry << std::min(failures_++, max_doublings);
  const double part = 0.5 + static_cast<double>(jitter_()) / static_cast<double>(jitter_.max());
  const Time pause = static_cast<Time>(static_cast<double>(backoff) * part);
  reconnect_timer_ = reactor_.at(reactor_.now() + pause, [this] { connect(); });
}

void MqttConnection::disconnect() {
  if (connected_) {
    send({.type = Type::disconnect});
    stream_->shutdown_write();
  }
  disconnected_ = true;
  connected_ = false;
  cancel_timers();
}

void MqttConnection::on_connected() { send(options_.connect); }
void MqttConnection::on_data(std::string_view bytes) {
  input_ += bytes;
  restart_silence_timer();
  read_packets();
}
void MqttConnection::on_closed(transport::CloseReason) {
  if (!disconnected_) fail("connection lost");
}

void MqttConnection::restart_silence_timer() {
  const Time keep_alive = links_.keep_alive;
  if (!connected_ || keep_alive == 0) return;
  reactor_.cancel(silence_timer_);
  silence_timer_ = reactor_.at(reactor_.now() + keep_alive * 3 / 2, [this] { fail("the broker is silent"); });
}
void MqttConnection::schedule_ping() {
  ping_timer_ = reactor_.at(reactor_.now() + links_.keep_alive / 2, [this] {
    send({.type = Type::pingreq});
    schedule_ping();
  });
}

void MqttConnection::resume_reading() {
  if (!is_3_1_1() || !stream_ || resuming_) return;
  resuming_ = true;
  reactor_.post([this, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) return;
    resuming_ = false;
    if (stream_) read_packets();
  });
}

void MqttConnection::read_packets() {
  while (stream_ && !disconnected_) {
    if (!read_packet()) return;
  }
}
bool MqttConnection::read_packet() {
  const bool may_read = !is_3_1_1() || handler_.may_read();
  stream_->set_reading(may_read);
  if (!may_read) return false;
  Packet packet;
  switch (reader_.put(input_, packet)) {
    case mqtt::Progress::more:
      return false;
    case mqtt::Progress::bad:
      send({.type = Type::disconnect, .reason = mqtt::malformed});
      fail(reader_.fault().c_str());
      return false;
    case mqtt::Progress::done:
      break;
  }
  handle(packet);
  return true;
}

void MqttConnection::handle(Packet& packet) {
  if (packet.type == Type::connack) return accepted(packet);
  if (!connected_) return fail("something else came before CONNACK");
  if (packet.type == Type::disconnect) return fail("the broker ended it");
  if (packet.type == Type::suback) {
    if (packet.reasons.empty() || packet.reasons.front() >= first_error_reason)
      fail("the subscription was refused");
    return;
  }
  handler_.on_packet(packet);
}

void MqttConnection::accepted(const Packet& connack) {
  if (connack.reason != mqtt::success) return fail("the broker refused the connection");
  connected_ = true;
  failures_ = 0;
  restart_silence_timer();
  if (links_.keep_alive > 0) schedule_ping();
  handler_.on_session_started(connack.session_present);
}

}  // namespace rushhill::frontends
