// Several real routers on simulated servers, in virtual time, with their requests and endpoint lists.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/endpoint_list_source.h"
#include "emulator/network.h"
#include "scale/fleet_size.h"
#include "scale/function_picker.h"
#include "scale/gateway_harness.h"
#include "scale/simulated_servers.h"
#include "scale/units.h"

namespace rushhill::scale {

// What is simulated, and for how long.
struct SimulationSize {
  FleetSize fleet{};  // as the routers are configured
  int routers = 1;    // that run; fleet.routers is how many each is configured for
  int instances = 0;  // copies of functions loaded at the start, by how often their function is called
  Time warm_up = 0;   // before anything is counted
  Time measured_span = 0;
};

// What the core of all routers has counted, together.
struct RequestCounts {
  double accepted = 0;
  double attempts = 0;
  double expired = 0;  // not answered by the routing policy before the deadline
};
// What `after` counts beyond `before`.
RequestCounts operator-(const RequestCounts& after, const RequestCounts& before);

// The fleet under simulation. Faults are applied to its servers and routers while it runs.
class FleetSimulation {
 public:
  // Loads the instances; virtual time has passed when this returns.
  explicit FleetSimulation(const SimulationSize& size);
  FleetSimulation(const FleetSimulation&) = delete;
  FleetSimulation& operator=(const FleetSimulation&) = delete;
  FleetSimulation(FleetSimulation&&) = delete;
  FleetSimulation& operator=(FleetSimulation&&) = delete;
  ~FleetSimulation();

  // Passes a span of virtual time. Clients choose routers in turn.
  void run(Time span);
  // Announces changed endpoints to all routers; routers started later get them in their first list.
  void announce(const std::vector<core::EndpointListEntry>& changes);
  // Replaces a router by a new one. The old one answers what it had accepted, and accepts nothing more.
  void restart_router(std::size_t index);
  // Ends all routers; returns the bytes that the allocator got back from them.
  double end_routers();

  SimulatedServers& servers() { return servers_; }
  Time now() const { return network_.now(); }
  std::size_t router_count() const { return routers_.size(); }
  // Requests that clients have sent.
  RequestId requests_sent() const { return requests_sent_; }
  // Of all routers, those that were replaced included.
  RequestOutcomes outcomes() const;
  RequestCounts counts() const;
  double open_requests() const;

 private:
  using Routers = std::vector<std::unique_ptr<GatewayHarness>>;

  void load_instances();
  std::unique_ptr<GatewayHarness> start_router(int number);
  std::vector<core::EndpointListEntry> announced_list() const;

  SimulationSize size_;
  emulator::Network network_{router_latency};
  NoPeers no_peers_;
  SimulatedServers servers_;
  FunctionPicker picker_;
  double next_request_at_ = 0;
  RequestId requests_sent_ = 0;
  std::uint64_t routers_started_ = 0;
  std::map<EndpointId, core::EndpointListEntry> announced_;  // endpoints announced since the start
  Routers routers_;
  Routers replaced_;
};

}  // namespace rushhill::scale
