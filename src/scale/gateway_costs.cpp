// Costs of the core with its routing policy, on simulated servers.

#include "emulator/network.h"
#include "scale/cost_support.h"
#include "scale/function_picker.h"
#include "scale/gateway_harness.h"
#include "scale/part_costs.h"

namespace rushhill::scale {
namespace {

// A second of one router.
Figures second_cost(double requests_per_second, Counter& counter) {
  const FleetSize fleet{.servers = gateway_servers, .requests_per_second = requests_per_second};
  emulator::Network network(router_latency);
  SimulatedServers servers(network, fleet);
  NoPeers no_peers;
  GatewayHarness router(configuration_of(fleet), servers, no_peers, 1);
  router.gateway().endpoints_updated(EndpointListForm::complete, servers.list());
  FunctionPicker picker(fleet, 1);
  RequestId number = 0;
  auto next_request_at = static_cast<double>(network.now());
  const auto run = [&](Time span) {
    const Time until = network.now() + span;
    while (next_request_at < static_cast<double>(until)) {
      network.run_until(static_cast<Time>(next_request_at));
      router.request(function_name(picker.next()), ++number);
      next_request_at += static_cast<double>(second) / fleet.requests_per_second;
    }
    network.run_until(until);
  };
  run(policy_warm_up);
  return metered(counter, to_seconds(measured_span), [&] { run(measured_span); });
}

Figures complete_list_cost(double server_count, Counter& counter) {
  const FleetSize fleet{.servers = static_cast<int>(server_count), .functions = 1};
  emulator::Network network(router_latency);
  SimulatedServers servers(network, fleet);
  NoPeers no_peers;
  GatewayHarness router(configuration_of(fleet), servers, no_peers, 1);
  const std::vector<core::EndpointListEntry> list = servers.list();
  router.gateway().endpoints_updated(EndpointListForm::complete, list);
  return metered(counter, repetitions, [&] {
    for (int i = 0; i < repetitions; ++i)
      router.gateway().endpoints_updated(EndpointListForm::complete, list);
  });
}

}  // namespace

std::vector<Cost> gateway_costs() {
  return {{"core.second-by-requests", "Gateway: src/core/gateway.cpp, with its module and hollow servers",
           "second", "requests a second", "100 servers, 15,000 functions by rank", request_rates(),
           low_request_rates(), second_cost},
          {"core.list-by-servers", "Gateway::roster: src/core/gateway.cpp, with its module", "whole list",
           "servers", "no request yet", server_counts(), few_server_counts(), complete_list_cost}};
}

}  // namespace rushhill::scale
