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

simulation::ModelStoreSpec store_for(int servers) {
  return {.concurrent_fetches = std::max(least_store_capacity, fetches_per_server * servers),
          .max_fetches = std::max(least_store_capacity, most_fetches_per_server * servers)};
}

simulation::ServerSpec spec_for(const Endpoint& server) {
  simulation::ServerSpec spec;
  spec.id = server.id;
  spec.kind = server.kind;
  spec.location = server.location;
  spec.cell = server.cell;
  spec.keep_alive = copy_idle_limit;
  return spec;
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
  const simulation::RuleParameters rules;
  for (const Endpoint& server : server_list(fleet.servers)) {
    const simulation::ServerSpec spec = spec_for(server);
    auto model = std::make_unique<simulation::ServerModel>(spec, rules, simulation::ServerModelSettings{},
                                                           store_, timers_);
    model->start(false);
    models_.emplace(server.id, std::move(model));
  }
}

SimulatedServers::~SimulatedServers() = default;

simulation::ServerModel& SimulatedServers::at(const EndpointId& server) { return *models_.at(server); }

std::vector<core::EndpointListEntry> SimulatedServers::list() const {
  std::vector<core::EndpointListEntry> entries;
  for (Endpoint& server : server_list(static_cast<int>(models_.size())))
    entries.push_back({std::move(server), unused_address});
  return entries;
}

int SimulatedServers::copies_loaded() const {
  int sum = 0;
  for (const auto& [id, model] : models_) {
    for (const auto& [function, copies] : model->instance_counts()) sum += copies;
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
         !(regions_partitioned_ && region_of(models_.at(server)->spec().location) != router_region);
}

}  // namespace rushhill::scale
