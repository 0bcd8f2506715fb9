// All simulated servers of a day in one process, on real or emulated sockets (docs/servers.md), with the
// day's faults.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "simulation/day.h"
#include "simulation/group_deduplication.h"
#include "simulation/line_client.h"
#include "simulation/record.h"
#include "simulation/server_model.h"
#include "simulation/simulated_server.h"
#include "transport/reactor.h"

namespace rushhill::simulation {

// Owns the servers and what they share.
class SimulatedServers {
 public:
  SimulatedServers(transport::Reactor& reactor, const Day& day, Record& record);
  SimulatedServers(const SimulatedServers&) = delete;
  SimulatedServers& operator=(const SimulatedServers&) = delete;
  SimulatedServers(SimulatedServers&&) = delete;
  SimulatedServers& operator=(SimulatedServers&&) = delete;
  ~SimulatedServers();

  // Announces every server to service discovery, now and at each change of its condition.
  void announce_to(const transport::Address& discovery);
  // Plays the day's faults from that moment on.
  void play(Time start);
  // Ends all connections; what is still open is recorded as such.
  void close();

  transport::Address address(const std::string& server) const;
  // The server's entry in the endpoint list as it is now: a JSON object.
  std::string entry(const std::string& server) const;

 private:
  void announce(const SimulatedServer& server);
  void schedule_store_fault(Time start, const Fault& fault);
  void schedule_server_fault(Time start, const Fault& fault, SimulatedServer& server);

  transport::Reactor& reactor_;
  Day day_;
  Record& record_;
  ModelStore store_;
  GroupDeduplication deduplication_;
  ServerEnvironment environment_;
  std::map<std::string, std::unique_ptr<SimulatedServer>> servers_;  // by id
  std::unique_ptr<LineClient> discovery_;
};

}  // namespace rushhill::simulation
