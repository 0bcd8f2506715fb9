#include "routing/routing_parts.h"

namespace rushhill::routing {
namespace {

SlowStartLimits slow_start_limits(const RoutingConfiguration& configuration) {
  return {.budget_multiple = configuration.slow_start.budget_multiple,
          .budget_span = configuration.slow_start.budget_span,
          .initial_capacity = configuration.slow_start.initial_capacity,
          .warm_up_span = configuration.slow_start.warm_up_span,
          .routers = configuration.routers,
          .router_number = configuration.router_number};
}

LoadBudgetLimits load_budget_limits(const RoutingConfiguration& configuration) {
  return {.orders_permitted = configuration.copies.prewarm,
          .window = configuration.load_budget.window,
          .free_orders = configuration.load_budget.free_loads,
          .orders_per_request = configuration.load_budget.loads_per_request,
          .earlier_orders_expected = configuration.load_budget.restored_after_restart};
}

}  // namespace

RoutingParts::RoutingParts(const RoutingConfiguration& settings, std::uint64_t seed, RoutingHost& router)
    : configuration(settings), host(router), random(seed), functions(configuration.function_memory_bytes),
      estimates(configuration.request_classes, observation), outliers(observation),
      load_budget(load_budget_limits(configuration)),
      tenant_quotas(configuration.tenants, configuration.routers),
      warm_up(slow_start_limits(configuration), estimates, fleet_load),
      retries(configuration, endpoints, estimates), placement(endpoints, observation),
      scorer(configuration, observation, estimates, outliers),
      selector({.endpoints = endpoints,
                .placement = placement,
                .retries = retries,
                .warm_up = warm_up,
                .outliers = outliers,
                .estimates = estimates,
                .scorer = scorer,
                .random = random,
                .keep_alive = configuration.copies.keep_alive}) {}

}  // namespace rushhill::routing
