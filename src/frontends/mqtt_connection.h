// A connection to an MQTT broker that is kept up: handshake, keep-alive, and reconnection with backoff.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "core/event_log.h"
#include "deployment/deployment_file.h"
#include "mqtt/packets.h"
#include "mqtt/reader.h"
#include "transport/reactor.h"

namespace rushhill::frontends {

// Connects until it is told to disconnect; each lost connection is logged and followed by another attempt.
class MqttConnection final : public transport::StreamHandler {
 public:
  // The session that goes over the connection.
  class Handler {
   public:
    Handler() = default;
    Handler(const Handler&) = delete;
    Handler& operator=(const Handler&) = delete;
    Handler(Handler&&) = delete;
    Handler& operator=(Handler&&) = delete;
    virtual ~Handler() = default;

    // The broker has accepted the connection; `session_present`: it still has this client's session.
    virtual void on_session_started(bool session_present) = 0;
    // Any further packet.
    virtual void on_packet(mqtt::Packet& packet) = 0;
    // Another attempt to connect follows, unless disconnect() is called now.
    virtual void on_connection_lost() = 0;
    // Whether a further message may be read. Of version 3.1.1, which has no receive maximum: what is beyond
    // the window stays in the connection.
    virtual bool may_read() const = 0;
  };
  // Bytes of a packet after its fixed header; as many as an HTTP body may have by default.
  static constexpr std::size_t max_packet_size = std::size_t{1024} * 1024;

  // How the connection is made.
  struct Options {
    std::string topic_name{};     // for the log
    mqtt::Packet connect{};       // CONNECT
    std::uint64_t jitter_seed{};  // of the backoff
  };

  // What it is handed outlives the connection.
  MqttConnection(transport::Reactor& reactor, core::EventLog& log, const deployment::MqttConfiguration& links,
                 Handler& handler, Options options);
  ~MqttConnection() override;
  MqttConnection(const MqttConnection&) = delete;
  MqttConnection& operator=(const MqttConnection&) = delete;
  MqttConnection(MqttConnection&&) = delete;
  MqttConnection& operator=(MqttConnection&&) = delete;

  void connect();
  // Whether the broker has accepted the connection that stands.
  bool connected() const { return connected_; }
  // Nothing is sent while there is no accepted connection.
  void send(const mqtt::Packet& packet);
  // Gives the connection up for a reason of the log.
  void fail(const char* why);
  // Sends DISCONNECT where there is a connection, and makes no other.
  void disconnect();
  bool disconnected() const { return disconnected_; }
  // Of version 3.1.1: reads on where may_read() held it back, when what runs now has returned.
  void resume_reading();

  void on_connected() override;
  void on_data(std::string_view bytes) override;
  void on_closed(transport::CloseReason reason) override;

 private:
  bool is_3_1_1() const;
  void cancel_timers();
  void read_packets();
  // One packet; false: the connection does not go on, or has to wait for more.
  bool read_packet();
  void handle(mqtt::Packet& packet);
  void accepted(const mqtt::Packet& connack);
  void schedule_reconnection();
  void restart_silence_timer();
  void schedule_ping();

  transport::Reactor& reactor_;
  core::EventLog& log_;
  const deployment::MqttConfiguration& links_;
  Handler& handler_;
  Options options_;
  std::ranlux24_base jitter_;
  mqtt::Reader reader_;
  std::shared_ptr<transport::Stream> stream_;  // null: none until the next attempt
  std::string input_;                          // not read yet
  core::Timer reconnect_timer_;
  core::Timer ping_timer_;
  core::Timer silence_timer_;  // of the handshake, then of the keep-alive
  int failures_ = 0;           // since the last connection that was accepted
  bool connected_ = false;
  bool disconnected_ = false;
  bool resuming_ = false;                                  // a call to read on is posted
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // for that call
};

}  // namespace rushhill::frontends
