#include "scale/simulated_servers.h"

#include <algorithm>
#include <utility>

#include "scale/assumptions.h"

namespace rushhill::scale {
namespace {

// The store that functions are loaded from has capacity for all servers, however few.
constexpr double least_store_capacity = 64;  // fetches at once
constexpr double fetches_per_server = 2;     // beyond which fetches slow one another down
constexpr double most_fetches_per_server = 8;
constexpr double memory_per_copy_mb = 150;
constexpr int lanes_per_copy = 2;
constexpr const char* unused_address = "127.0.0.1:9";

standin::StoreMake store_for(int servers) {
  return {.fetches_at_once = std::max(least_store_capacity, fetches_per_server * servers),
          .most_fetches = std::max(least_store_capacity, most_fetches_per_server * servers)};
}

standin::MachineMake machine_for(const Endpoint& server) {
  standin::MachineMake make;
  make.id = server.id;
  make.kind = server.kind;
  make.location = server.location;
  make.cell = server.cell;
  make.keep_alive = copy_idle_limit;
  return make;
}

}  // namespace

SimulatedServers::SimulatedServers(core::TimerService& timers, const FleetSize& fleet)
    : timers_(timers), store_(store_for(fleet.servers)) {
  for (int i = 0; i < fleet.functions; ++i) {
    const std::string name = function_name(i);
    functions_[name] = {.name = name,
                        .memory_mb = memory_per_copy_mb,
                        .lanes = lanes_per_copy,
                        .load = load_time,
                        .work = execution_time};
  }
  const standin::RuleFigures rules;
  for (const Endpoint& server : server_list(fleet.servers)) {
    const standin::MachineMake make = machine_for(server);
    auto machine = std::make_unique<standin::Machine>(make, rules, false, store_, timers_, 1);
    machine->start(false);
    machines_.emplace(server.id, std::move(machine));
  }
}

SimulatedServers::~SimulatedServers() = default;

standin::Machine& SimulatedServers::at(const EndpointId& server) { return *machines_.at(server); }

std::vector<core::EndpointListEntry> SimulatedServers::list() const {
  std::vector<core::EndpointListEntry> entries;
  for (Endpoint& server : server_list(static_cast<int>(machines_.size())))
    entries.push_back({std::move(server), unused_address});
  return entries;
}

int SimulatedServers::copies_loaded() const {
  int sum = 0;
  for (const auto& [id, machine] : machines_) {
    for (const auto& [function, copies] : machine->standing()) sum += copies;
  }
  return sum;
}

void SimulatedServers::stop(const EndpointId& server) {
  stopped_.insert(server);
  at(server).stop();
}

void SimulatedServers::start(const EndpointId& server) {
  stopped_.erase(server);
  at(server).start(true);
}

bool SimulatedServers::is_reachable(const EndpointId& server, const std::string& router_region) const {
  return !stopped_.contains(server) &&
         !(regions_partitioned_ && region_of(machines_.at(server)->make().location) != router_region);
}

}  // namespace rushhill::scale
