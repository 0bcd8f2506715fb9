#include "scale/fleet_size.h"

#include <array>
#include <cstdio>

#include "scale/assumptions.h"

namespace rushhill::scale {
namespace {

constexpr double tenant_quota = 1e6;  // requests a second; never reached
constexpr int attempt_limit = 3;
constexpr Time tick = 10;  // of the policy's timer
constexpr Time warm_up_span = 16 * second;
constexpr Time load_budget_span = second + second / 2;
constexpr unsigned name_multiplier = 2'654'435'761U;  // spreads the names of functions evenly
constexpr std::size_t longest_name = 32;

}  // namespace

std::string server_name(int number) {
  std::array<char, longest_name> text{};
  std::snprintf(text.data(), text.size(), "host-%05d", number);
  return text.data();
}

std::string function_name(int number) {
  std::array<char, longest_name> text{};
  std::snprintf(text.data(), text.size(), "%016x", static_cast<unsigned>(number) * name_multiplier);
  return text.data();
}

std::string location_of(int number) {
  const int zone = number % zone_count;
  std::array<char, longest_name> text{};
  std::snprintf(text.data(), text.size(), "region-%d/zone-%d", zone % region_count, zone);
  return text.data();
}

std::string region_of(const std::string& location) { return location.substr(0, location.find('/')); }

std::vector<Endpoint> server_list(int servers) {
  std::vector<Endpoint> list;
  for (int i = 0; i < servers; ++i) {
    list.push_back({.id = server_name(i),
                    .rating = 2,
                    .kind = "std",
                    .location = location_of(i),
                    .cell = i / servers_per_rack});
  }
  return list;
}

RoutingConfiguration configuration_of(const FleetSize& fleet) {
  RoutingConfiguration configuration;
  configuration.routers = fleet.routers;
  configuration.location = location_of(0);
  configuration.tick = to_duration(tick);
  configuration.retries.attempt_limit = attempt_limit;
  configuration.copies.state_is_reported = true;
  configuration.copies.keep_alive = to_duration(copy_idle_limit);
  configuration.slow_start.warm_up_span = to_duration(warm_up_span);
  configuration.slow_start.budget_span = to_duration(load_budget_span);
  configuration.reports.probes = fleet.probing;
  configuration.reports.gossip = fleet.probing;
  if (fleet.probing) {
    configuration.reports.load_reports = "probe";
    configuration.routers = 1;  // this one probes all servers: its messages are those of the whole fleet
  }
  configuration.request_classes = {{.name = request_class_name,
                                    .latency_objective = to_duration(latency_target),
                                    .deadline_span = to_duration(request_deadline),
                                    .retry_safety = RetrySafety::idempotent}};
  for (int i = 0; i < fleet.tenants; ++i) {
    configuration.tenants.push_back(
        {.name = tenant_prefix + std::to_string(i), .share = 1, .quota_per_s = tenant_quota});
  }
  return configuration;
}

}  // namespace rushhill::scale
