// A connection to the simulated service discovery, of a server that announces itself or a router that
// follows.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "transport/numbered.h"
#include "transport/reactor.h"

namespace rushhill::simulation {

class DiscoveryConnection;

// Called by a connection.
class DiscoveryConnectionOwner {
 public:
  DiscoveryConnectionOwner() = default;
  DiscoveryConnectionOwner(const DiscoveryConnectionOwner&) = delete;
  DiscoveryConnectionOwner& operator=(const DiscoveryConnectionOwner&) = delete;
  DiscoveryConnectionOwner(DiscoveryConnectionOwner&&) = delete;
  DiscoveryConnectionOwner& operator=(DiscoveryConnectionOwner&&) = delete;
  virtual ~DiscoveryConnectionOwner() = default;

  virtual void announce(const nlohmann::json& entry) = 0;
  virtual void send_complete_list(DiscoveryConnection& connection) = 0;
  // The connection has ended. It has to live until what runs now has returned.
  virtual void connection_ended(DiscoveryConnection& connection) = 0;
};

// Reads messages for its owner and writes what that sends.
class DiscoveryConnection final : public transport::StreamHandler, public transport::Numbered {
 public:
  DiscoveryConnection(transport::Reactor& reactor, DiscoveryConnectionOwner& owner,
                      const transport::PendingConnection& pending);
  DiscoveryConnection(const DiscoveryConnection&) = delete;
  DiscoveryConnection& operator=(const DiscoveryConnection&) = delete;
  DiscoveryConnection(DiscoveryConnection&&) = delete;
  DiscoveryConnection& operator=(DiscoveryConnection&&) = delete;
  ~DiscoveryConnection() override;

  // Whether changes are to be sent on it.
  bool follows() const { return follows_; }
  int router() const { return router_; }
  // The moment for a message that is due then: later messages do not overtake earlier ones.
  Time reserve_moment(Time due);
  void write(const std::string& line) { stream_->write(line); }
  void close();

  void on_data(std::string_view bytes) override;
  void on_closed(transport::CloseReason reason) override;

 private:
  void receive(const nlohmann::json& message);

  DiscoveryConnectionOwner& owner_;
  std::shared_ptr<transport::Stream> stream_;
  std::string input_;
  bool follows_ = false;
  int router_ = 0;
  Time last_moment_ = 0;  // of the messages so far
};

}  // namespace rushhill::simulation
