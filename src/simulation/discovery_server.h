// A simulated service discovery by docs/roster.md: servers announce themselves, routers follow. It reports
// changes late, to each follower in its own time, and can lag more, contradict itself and be away.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "simulation/day.h"
#include "simulation/discovery_connection.h"
#include "simulation/record.h"
#include "transport/listener.h"
#include "transport/numbered.h"

namespace rushhill::simulation {

// Accepts connections while it lives, but for outages.
class DiscoveryServer final : public DiscoveryConnectionOwner {
 public:
  DiscoveryServer(transport::Reactor& reactor, const transport::Address& address, const Day& day,
                  Record& record);
  DiscoveryServer(const DiscoveryServer&) = delete;
  DiscoveryServer& operator=(const DiscoveryServer&) = delete;
  DiscoveryServer(DiscoveryServer&&) = delete;
  DiscoveryServer& operator=(DiscoveryServer&&) = delete;
  ~DiscoveryServer() override;

  transport::Address address() const { return address_; }
  // Plays the day's faults from that moment on.
  void play(Time start);
  // Takes a server's entry; followers are notified of a change.
  void announce(const nlohmann::json& entry) override;
  // For tests: sends the message to every follower at once, as it is.
  void send_now(const nlohmann::json& message);

 private:
  void listen();
  void end_all_connections();
  Time draw_lag();
  void notify(const nlohmann::json& entry);
  void contradict(const std::string& server);
  void repeat(const std::string& server);
  void play_contradiction(const Fault& fault, Time begin);
  void send(DiscoveryConnection& connection, const nlohmann::json& message);

  void send_complete_list(DiscoveryConnection& connection) override;
  void connection_ended(DiscoveryConnection& connection) override;

  transport::Reactor& reactor_;
  transport::Address address_;
  Day day_;
  Record& record_;
  std::ranlux24_base random_;
  std::unique_ptr<transport::BoundSocket> port_;  // keeps the address while nobody listens
  std::unique_ptr<transport::Listener> listener_;
  std::map<DiscoveryConnection*, std::shared_ptr<DiscoveryConnection>, transport::ByNumber> connections_;
  std::map<std::string, nlohmann::json> entries_;  // by server
  std::int64_t revision_ = 0;
  Time additional_lag_ = 0;
};

}  // namespace rushhill::simulation
