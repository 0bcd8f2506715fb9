// Costs of the routing policy alone: requests, ticks, endpoint lists, memory, messages about load.

#include <utility>

#include "scale/cost_support.h"
#include "scale/part_costs.h"
#include "scale/policy_harness.h"

namespace rushhill::scale {
namespace {

constexpr int list_changes = 40;         // of one server each
constexpr int restarted_stride = 7;      // from one restarted server to the next
constexpr Time meet_all = 110 * second;  // until functions called in turn are all met and none forgotten
constexpr int few_servers = 64;          // beside which functions are varied
constexpr int memory_servers = 250;      // beside which memory by functions is measured
constexpr int all_met_functions = 14'400;

constexpr const char* request_functions =
    "RoutingPolicy::request_received, EndpointSelector, Placement: src/routing";
constexpr const char* tick_functions = "PeriodicMaintenance: src/routing";
constexpr const char* list_functions = "RoutingPolicy::endpoints_updated, WarmIndex, Placement: src/routing";
constexpr const char* memory_types = "FunctionRecord, EndpointRecord, BelievedCopy: src/routing";
constexpr const char* probe_functions = "EndpointMonitor: src/routing";

constexpr const char* per_request = "request";
constexpr const char* per_tick = "tick, 10 a second";
constexpr const char* per_change = "change of one server";
constexpr const char* per_policy = "module";

constexpr const char* by_servers = "servers";
constexpr const char* by_functions_held = "functions held";
constexpr const char* by_requests = "requests a second";

constexpr const char* usual_fleet = "15,000 functions by rank, 162 requests a second, 680 routers";
constexpr const char* usual_functions = "1,000 servers, 15,000 functions by rank";
constexpr const char* few_servers_in_turn = "64 servers, 162 requests a second in turn";

Time warm_up_for(const FleetSize& fleet) { return fleet.round_robin ? meet_all : policy_warm_up; }

Figures request_cost(const FleetSize& fleet, Counter& counter) {
  PolicyHarness policy(fleet, counter);
  policy.run(policy_warm_up);
  policy.clear();
  const double before = user_ns();
  policy.run(measured_span);
  const double spent = user_ns() - before;
  const PolicyTally& tally = policy.tally();
  const auto received = static_cast<double>(tally.received);
  require(tally.rejected + tally.failed == 0, "requests were rejected");
  Figures figures{{figure_name::instructions, policy.meters().requests.sum() / received},
                  {"attempts", static_cast<double>(tally.attempts) / received}};
  // With ticks and the simulated servers.
  if (spent >= least_timed_ns) figures[figure_name::user_time] = spent / received;
  return figures;
}

Figures tick_cost(const FleetSize& fleet, Counter& counter) {
  PolicyHarness policy(fleet, counter);
  policy.run(warm_up_for(fleet));
  policy.clear();
  policy.run(measured_span);
  const Meter& ticks = policy.meters().ticks;
  return {{figure_name::instructions, ticks.sum() / static_cast<double>(ticks.sections())}};
}

Figures change_cost(const FleetSize& fleet, Counter& counter) {
  PolicyHarness policy(fleet, counter);
  policy.run(warm_up_for(fleet));
  policy.clear();
  for (int i = 0; i < list_changes; ++i) policy.restart_server(i * restarted_stride);
  const double change = policy.meters().lists.sum() / list_changes;
  // Each function's servers are ranked anew at its first request after a change.
  policy.clear();
  for (int i = 0; i < list_changes; ++i) {
    policy.restart_server(i * restarted_stride);
    policy.send_request();
  }
  return {{figure_name::instructions, change},
          {figure_name::next_request, policy.meters().requests.sum() / list_changes}};
}

Figures complete_list_cost(const FleetSize& fleet, Counter& counter) {
  PolicyHarness policy(fleet, counter);
  policy.run(warm_up_for(fleet));
  policy.clear();
  for (int i = 0; i < repetitions; ++i) policy.send_complete_list();
  return {{figure_name::instructions, policy.meters().lists.sum() / repetitions}};
}

Figures memory_cost(const FleetSize& fleet, Counter& counter) {
  const double before = resident_bytes();
  PolicyHarness policy(fleet, counter);
  policy.run(meet_all);
  const double grown = resident_bytes() - before;  // with the simulated servers
  const auto met = static_cast<double>(policy.functions_met());
  return {{figure_name::bytes, policy.end_policy()},
          {figure_name::resident, grown},
          {figure_name::functions_met, met}};
}

Figures probing_cost(const FleetSize& fleet, Counter& counter) {
  PolicyHarness policy(fleet, counter);
  policy.run(policy_warm_up);
  policy.clear();
  policy.run(measured_span);
  const double seconds = to_seconds(measured_span);
  return {{figure_name::messages, static_cast<double>(policy.tally().gossip_messages) / seconds},
          {figure_name::port_bytes, static_cast<double>(policy.tally().gossip_bytes) / seconds}};
}

using Measurement = Figures (*)(const FleetSize& fleet, Counter& counter);

// Measures in a fleet of which one size is varied.
template <typename Number>
auto varying(Number FleetSize::*varied, const FleetSize& fleet, Measurement measurement) {
  return [varied, fleet, measurement](double size, Counter& counter) {
    FleetSize varied_fleet = fleet;
    varied_fleet.*varied = static_cast<Number>(size);
    return measurement(varied_fleet, counter);
  };
}

FleetSize round_robin_fleet(int servers) { return {.servers = servers, .round_robin = true}; }

std::vector<double> function_counts() { return {938, 1'875, 3'750, 7'500, 15'000}; }
std::vector<double> few_function_counts() { return doubling(16, 5); }
std::vector<double> held_function_counts() { return doubling(900, 5); }

void add_request_costs(std::vector<Cost>& costs) {
  costs.push_back({"module.request-by-servers", request_functions, per_request, by_servers, usual_fleet,
                   server_counts(), few_server_counts(), varying(&FleetSize::servers, {}, request_cost)});
  costs.push_back({"module.request-by-functions", request_functions, per_request, "functions",
                   "1,000 servers, 162 requests a second", function_counts(), few_function_counts(),
                   varying(&FleetSize::functions, {}, request_cost)});
  costs.push_back({"module.request-by-requests", request_functions, per_request, by_requests, usual_functions,
                   request_rates(), low_request_rates(),
                   varying(&FleetSize::requests_per_second, {}, request_cost)});
  costs.push_back({"module.request-by-tenants", request_functions, per_request, "tenants",
                   "100 servers, 15,000 functions by rank, 162 requests a second", doubling(64, 5),
                   doubling(8, 5), varying(&FleetSize::tenants, {.servers = gateway_servers}, request_cost)});
}

void add_tick_costs(std::vector<Cost>& costs) {
  costs.push_back({"module.tick-by-servers", tick_functions, per_tick, by_servers, usual_fleet,
                   server_counts(), few_server_counts(), varying(&FleetSize::servers, {}, tick_cost)});
  costs.push_back({"module.tick-by-functions-held", tick_functions, per_tick, by_functions_held,
                   few_servers_in_turn, held_function_counts(), few_function_counts(),
                   varying(&FleetSize::functions, round_robin_fleet(few_servers), tick_cost)});
  costs.push_back({"module.tick-by-requests", tick_functions, per_tick, by_requests, usual_functions,
                   request_rates(), low_request_rates(),
                   varying(&FleetSize::requests_per_second, {}, tick_cost)});
}

void add_list_costs(std::vector<Cost>& costs) {
  costs.push_back({"module.change-by-servers", list_functions, per_change, by_servers, usual_fleet,
                   server_counts(), few_server_counts(), varying(&FleetSize::servers, {}, change_cost)});
  costs.push_back({"module.change-by-functions-held", list_functions, per_change, by_functions_held,
                   few_servers_in_turn, held_function_counts(), few_function_counts(),
                   varying(&FleetSize::functions, round_robin_fleet(few_servers), change_cost)});
  costs.push_back({"module.list-by-servers", list_functions, "whole list", by_servers, usual_fleet,
                   server_counts(), few_server_counts(),
                   varying(&FleetSize::servers, {}, complete_list_cost)});
}

void add_memory_costs(std::vector<Cost>& costs) {
  FleetSize all_met = round_robin_fleet(few_servers);
  all_met.functions = all_met_functions;
  costs.push_back({"module.memory-by-servers", memory_types, per_policy, by_servers,
                   "15,000 functions by rank, 162 requests a second", server_counts(), few_server_counts(),
                   varying(&FleetSize::servers, {}, memory_cost)});
  costs.push_back({"module.memory-by-servers-all-met", memory_types, per_policy, by_servers,
                   "14,400 functions in turn, 162 requests a second", server_counts(), few_server_counts(),
                   varying(&FleetSize::servers, all_met, memory_cost)});
  costs.push_back({"module.memory-by-functions-held", memory_types, per_policy, by_functions_held,
                   "250 servers, 162 requests a second in turn", held_function_counts(),
                   few_function_counts(),
                   varying(&FleetSize::functions, round_robin_fleet(memory_servers), memory_cost)});
}

void add_probe_costs(std::vector<Cost>& costs) {
  costs.push_back({"module.probe-messages-by-servers", probe_functions, "second, whole fleet", by_servers,
                   "load reports by probe and peers permitted", server_counts(), few_server_counts(),
                   varying(&FleetSize::servers, {.probing = true}, probing_cost)});
}

}  // namespace

std::vector<Cost> policy_costs() {
  std::vector<Cost> costs;
  add_request_costs(costs);
  add_tick_costs(costs);
  add_list_costs(costs);
  add_memory_costs(costs);
  add_probe_costs(costs);
  return costs;
}

}  // namespace rushhill::scale
