#include "scale/fleet_simulation.h"

#include <cstdint>
#include <random>
#include <utility>

#include "routing/configuration.h"
#include "scale/assumptions.h"
#include "scale/process_usage.h"

namespace rushhill::scale {
namespace {

constexpr Time loading_pause = 3 * second;  // until copies that were ordered are loaded
constexpr int loads_per_server = 4;         // that are ordered together
constexpr std::uint64_t request_seed = 1;
constexpr std::uint64_t instance_seed = 2;
constexpr unsigned placement_seed = 1;

}  // namespace

RequestCounts operator-(const RequestCounts& after, const RequestCounts& before) {
  return {.accepted = after.accepted - before.accepted,
          .attempts = after.attempts - before.attempts,
          .expired = after.expired - before.expired};
}

FleetSimulation::FleetSimulation(const SimulationSize& size)
    : size_(size), servers_(network_, size.fleet), picker_(size.fleet, request_seed) {
  load_instances();
  next_request_at_ = static_cast<double>(network_.now());
  for (int i = 0; i < size_.routers; ++i) routers_.push_back(start_router(i));
}

FleetSimulation::~FleetSimulation() = default;

// At least one instance of each function while there are enough, the others in proportion to its calls; at
// servers drawn at random.
void FleetSimulation::load_instances() {
  std::ranlux24_base placement(placement_seed);
  FunctionPicker picker(size_.fleet, instance_seed);
  const std::vector<core::EndpointListEntry> list = servers_.list();
  std::map<std::pair<std::size_t, int>, int> copies;  // by server and function
  for (int i = 0; i < size_.instances; ++i) {
    const int function = i < size_.fleet.functions ? i : picker.next();
    const std::size_t server = placement() % list.size();
    servers_.at(list[server].endpoint.id)
        .prewarm(servers_.function(function_name(function)), ++copies[{server, function}],
                 [](simulation::JobOutcome, int) {});
    if ((i + 1) % (size_.fleet.servers * loads_per_server) == 0) {
      network_.run_until(network_.now() + loading_pause);
    }
  }
  network_.run_until(network_.now() + loading_pause);
}

std::unique_ptr<GatewayHarness> FleetSimulation::start_router(int number) {
  RoutingConfiguration configuration = configuration_of(size_.fleet);
  configuration.router_number = number;
  configuration.location = location_of(number);
  configuration.retries.cancel_attempts = true;  // an attempt at a silent server is given up
  configuration.connect_timeout = to_duration(connect_timeout);
  auto router = std::make_unique<GatewayHarness>(configuration, servers_, no_peers_, ++routers_started_);
  router->gateway().endpoints_updated(EndpointListForm::complete, announced_list());
  return router;
}

// As discovery announces the servers, which may be behind what they are.
std::vector<core::EndpointListEntry> FleetSimulation::announced_list() const {
  std::vector<core::EndpointListEntry> list = servers_.list();
  for (core::EndpointListEntry& entry : list) {
    if (const auto it = announced_.find(entry.endpoint.id); it != announced_.end()) entry = it->second;
  }
  return list;
}

void FleetSimulation::announce(const std::vector<core::EndpointListEntry>& changes) {
  for (const core::EndpointListEntry& entry : changes) announced_[entry.endpoint.id] = entry;
  for (const auto& router : routers_) router->gateway().endpoints_updated(EndpointListForm::delta, changes);
}

void FleetSimulation::run(Time span) {
  const Time until = network_.now() + span;
  const double rate = size_.fleet.requests_per_second * static_cast<double>(routers_.size());
  while (next_request_at_ < static_cast<double>(until)) {
    network_.run_until(static_cast<Time>(next_request_at_));
    GatewayHarness& router = *routers_[static_cast<std::size_t>(requests_sent_) % routers_.size()];
    router.request(function_name(picker_.next()), requests_sent_);
    ++requests_sent_;
    next_request_at_ += static_cast<double>(second) / rate;
  }
  network_.run_until(until);
}

void FleetSimulation::restart_router(std::size_t index) {
  auto started = start_router(static_cast<int>(index));
  replaced_.push_back(std::exchange(routers_[index], std::move(started)));
}

double FleetSimulation::end_routers() {
  const double before = allocated_bytes();
  routers_.clear();
  return before - allocated_bytes();
}

RequestOutcomes FleetSimulation::outcomes() const {
  RequestOutcomes sum;
  for (const Routers* routers : {&routers_, &replaced_}) {
    for (const auto& router : *routers) sum += router->outcomes();
  }
  return sum;
}

RequestCounts FleetSimulation::counts() const {
  RequestCounts sum;
  for (const Routers* routers : {&routers_, &replaced_}) {
    for (const auto& router : *routers) {
      const core::Counters& counters = router->gateway().tally();
      sum.accepted += static_cast<double>(counters.accepted);
      sum.attempts += static_cast<double>(counters.attempts);
      sum.expired += static_cast<double>(counters.expired);
    }
  }
  return sum;
}

double FleetSimulation::open_requests() const {
  double sum = 0;
  for (const Routers* routers : {&routers_, &replaced_}) {
    for (const auto& router : *routers) sum += static_cast<double>(router->gateway().open_requests());
  }
  return sum;
}

}  // namespace rushhill::scale
