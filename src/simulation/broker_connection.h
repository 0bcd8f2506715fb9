// A client's connection to the simulated broker.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "mqtt/packets.h"
#include "mqtt/reader.h"
#include "simulation/broker_session.h"
#include "transport/reactor.h"

namespace rushhill::simulation {

class BrokerConnection;

// The faults that are set at a broker.
struct BrokerFaults {
  std::size_t cut_after = 0;          // bytes of all that is sent on the next connection; 0: it is not cut
  std::size_t cut_publish_after = 0;  // bytes of the next message, where one is to be cut
  bool cuts_next_publish = false;
  bool duplicates = false;                       // every QoS 1 message is sent twice
  bool reads_slowly = false;                     // nothing is read from clients
  std::uint8_t connect_refusal = mqtt::success;  // the reason of CONNACK
};

// Called by a connection.
class BrokerConnectionOwner {
 public:
  BrokerConnectionOwner() = default;
  BrokerConnectionOwner(const BrokerConnectionOwner&) = delete;
  BrokerConnectionOwner& operator=(const BrokerConnectionOwner&) = delete;
  BrokerConnectionOwner(BrokerConnectionOwner&&) = delete;
  BrokerConnectionOwner& operator=(BrokerConnectionOwner&&) = delete;
  virtual ~BrokerConnectionOwner() = default;

  virtual void received(BrokerConnection& connection, mqtt::Packet& packet) = 0;
  // The client's will is to be published.
  virtual void will_due(const mqtt::Packet& message) = 0;
  virtual void connection_ended(BrokerConnection& connection) = 0;
};

// Reads packets for its owner and writes them, but for what a fault cuts.
class BrokerConnection final : public transport::StreamHandler {
 public:
  BrokerConnection(transport::Reactor& reactor, BrokerConnectionOwner& owner, BrokerFaults& faults,
                   const transport::PendingConnection& pending);
  BrokerConnection(const BrokerConnection&) = delete;
  BrokerConnection& operator=(const BrokerConnection&) = delete;
  BrokerConnection(BrokerConnection&&) = delete;
  BrokerConnection& operator=(BrokerConnection&&) = delete;
  ~BrokerConnection() override;

  int version() const { return reader_.version(); }
  void set_reading(bool on) { stream_->set_reading(on); }
  void send(const mqtt::Packet& packet);
  // Ends the connection; the client's will is published where asked.
  void close(bool publishes_will);

  void on_data(std::string_view bytes) override;
  void on_closed(transport::CloseReason reason) override;

  BrokerSession* session = nullptr;  // none before CONNECT
  std::optional<mqtt::Will> will{};

 private:
  BrokerConnectionOwner& owner_;
  BrokerFaults& faults_;
  std::shared_ptr<transport::Stream> stream_;
  mqtt::Reader reader_;
  std::string input_;
  std::optional<std::size_t> bytes_left_;  // until the connection is cut
  bool closed_ = false;
};

}  // namespace rushhill::simulation
