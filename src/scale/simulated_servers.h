// The model servers that simulated requests run on, without any connection: the emulator's model of a server.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/endpoint_list_source.h"
#include "core/timer_service.h"
#include "scale/fleet_size.h"
#include "simulation/server_model.h"

namespace rushhill::scale {

// All servers of a fleet, for any number of routers.
class SimulatedServers {
 public:
  SimulatedServers(core::TimerService& timers, const FleetSize& fleet);
  SimulatedServers(const SimulatedServers&) = delete;
  SimulatedServers& operator=(const SimulatedServers&) = delete;
  SimulatedServers(SimulatedServers&&) = delete;
  SimulatedServers& operator=(SimulatedServers&&) = delete;
  ~SimulatedServers();

  simulation::ServerModel& at(const EndpointId& server);
  const simulation::FunctionSpec& function(const std::string& name) const { return functions_.at(name); }
  core::TimerService& timers() { return timers_; }
  // The complete endpoint list.
  std::vector<core::EndpointListEntry> list() const;
  // Copies of functions that are loaded, at all servers together.
  int copies_loaded() const;

  // A server that is stopped is silent: no answer to what it was running is sent, no connection established.
  void stop(const EndpointId& server);
  // Starts it again, without any copy loaded.
  void start(const EndpointId& server);
  // While set, nothing passes between routers and servers of different regions.
  void set_regions_partitioned(bool partitioned) { regions_partitioned_ = partitioned; }
  // Whether routers of that region reach the server.
  bool is_reachable(const EndpointId& server, const std::string& router_region) const;

 private:
  core::TimerService& timers_;
  simulation::ModelStore store_;
  std::map<std::string, simulation::FunctionSpec> functions_;
  std::map<EndpointId, std::unique_ptr<simulation::ServerModel>> models_;
  std::set<EndpointId> stopped_;
  bool regions_partitioned_ = false;
};

}  // namespace rushhill::scale
