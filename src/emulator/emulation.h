// A whole day in virtual time: the day's fleet, roster and clients, and real routers, on one emulated
// network.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/event_log.h"
#include "emulator/network.h"
#include "router/router_process.h"
#include "routing/time.h"
#include "simulation/clients.h"
#include "simulation/day.h"
#include "simulation/discovery_server.h"
#include "simulation/links.h"
#include "simulation/record.h"
#include "simulation/simulated_servers.h"
#include "transport/bound_socket.h"

namespace rushhill::emulator {

// Where the time went.
struct Spent {
  double virtual_seconds = 0, real_seconds = 0, module_seconds = 0;
  std::int64_t happenings = 0;
  core::Counters tally{};  // of all routers, also of lives that ended
};

class Emulation {
 public:
  // What is seen goes to `record`, as on sockets.
  Emulation(const simulation::Day& day, simulation::Record& record);
  ~Emulation();
  Spent run();  // the whole day; throws where it comes to no end
  Network& network() { return network_; }

 private:
  class Quiet final : public core::EventLog {
   public:
    bool should_log(core::Level) const override { return false; }
    void write(core::Level, const char*, Fields) override {}
  };
  struct Seat {
    std::unique_ptr<transport::BoundSocket> http, peers, replica;
    std::unique_ptr<router::RouterProcess> router;
    std::uint64_t lives = 0;
    std::int64_t since = 0;  // when its present trouble began
    bool due = false;        // to start again once its last life has ended
  };
  void start(std::size_t number);
  void stop(std::size_t number);
  void leave(std::size_t number);
  void play(Time start);

  simulation::Day day_;
  simulation::Record& record_;
  Quiet quiet_;
  Network network_;
  simulation::DiscoveryServer roster_;
  simulation::SimulatedServers fleet_;
  std::unique_ptr<simulation::Links> links_;  // none: routers reach one another's copies straight
  std::vector<Seat> seats_;
  std::unique_ptr<simulation::Clients> clients_;
  Spent spent_;
  bool over_ = false;
};

}  // namespace rushhill::emulator
