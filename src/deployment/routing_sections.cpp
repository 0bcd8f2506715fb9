// The sections of the decisions. Keys that are only checked stand for facts that no decision needs.
#include <limits>

#include "deployment/fixed_sections.h"
#include "deployment/values.h"

namespace rushhill::deployment {
namespace {

using Config = DeploymentConfiguration;
using Text = const std::string&;

constexpr IntegerRange router_numbers{.least = 0, .most = 9999};
constexpr IntegerRange router_counts{.least = 1, .most = 10'000};
constexpr IntegerRange seeds{.least = 0, .most = std::numeric_limits<std::int64_t>::max()};
constexpr IntegerRange attempt_limits{.least = 1, .most = 100};
constexpr IntegerRange open_request_limits{.least = 1, .most = 1'000'000};
constexpr NumberRange shares{.least = 0, .most = 1};  // of a whole, and prices in points
constexpr NumberRange initial_capacities{.least = 0.001, .most = 1};
constexpr NumberRange budget_multiples{.least = 1, .most = 100};
constexpr NumberRange free_loads{.least = 0, .most = 1e6};
constexpr NumberRange loads_per_request{.least = 0, .most = 1e3};

}  // namespace

std::vector<ConfigurationKey> router_keys() {
  return {
      {"number", "0",
       [](Config& config, Text text) { config.routing.router_number = int_in(text, router_numbers); }},
      {"routers", "1",
       [](Config& config, Text text) { config.routing.routers = int_in(text, router_counts); }},
      {"location", "",
       [](Config& config, Text text) { config.routing.location = optional_identifier(text); }},
      {"tick", "20ms", [](Config& config, Text text) { config.routing.tick = positive_span(text); }},
      {"seed", "0",
       [](Config& config, Text text) { config.seed = static_cast<std::uint64_t>(integer_in(text, seeds)); }},
  };
}

std::vector<ConfigurationKey> rules_keys() {
  return {
      {"answer-grace", "16ms", [](Config&, Text text) { span(text); }},
      {"drain-grace", "2s", [](Config& config, Text text) { config.routing.drain_grace = span(text); }},
      {"ask-every", "10s", [](Config&, Text text) { positive_span(text); }},
      {"fall-multiple", "2",
       [](Config& config, Text text) {
         config.routing.slow_start.budget_multiple = number_in(text, budget_multiples);
       }},
      {"fall-span", "1500ms",
       [](Config& config, Text text) { config.routing.slow_start.budget_span = positive_span(text); }},
      {"cold-share", "0.16",
       [](Config& config, Text text) {
         config.routing.slow_start.initial_capacity = number_in(text, initial_capacities);
       }},
      {"cold-span", "16s",
       [](Config& config, Text text) { config.routing.slow_start.warm_up_span = positive_span(text); }},
      {"load-window", "0", [](Config& config, Text text) { config.routing.load_budget.window = span(text); }},
      {"load-free", "0",
       [](Config& config, Text text) {
         config.routing.load_budget.free_loads = number_in(text, free_loads);
       }},
      {"loads-per-event", "0",
       [](Config& config, Text text) {
         config.routing.load_budget.loads_per_request = number_in(text, loads_per_request);
       }},
  };
}

std::vector<ConfigurationKey> permissions_keys() {
  return {
      {"shots", "5",
       [](Config& config, Text text) {
         config.routing.retries.attempt_limit = int_in(text, attempt_limits);
       }},
      {"open", "20000",
       [](Config& config, Text text) {
         config.routing.open_request_limit = int_in(text, open_request_limits);
       }},
      {"call-off", "yes",
       [](Config& config, Text text) { config.routing.retries.cancel_attempts = yes_or_no(text); }},
      {"second-copies", "no",
       [](Config& config, Text text) { config.routing.retries.hedging = yes_or_no(text); }},
      {"probing", "yes", [](Config& config, Text text) { config.routing.reports.probes = yes_or_no(text); }},
      {"peers", "no", [](Config& config, Text text) { config.routing.reports.gossip = yes_or_no(text); }},
      {"retry-advice", "yes",
       [](Config& config, Text text) { config.routing.retries.retry_after = yes_or_no(text); }},
      {"longest-retry-advice", "500ms",
       [](Config& config, Text text) { config.routing.retries.max_retry_after = span(text); }},
      {"over-share-worth", "1",
       [](Config& config, Text text) { config.routing.over_quota_value = number_in(text, shares); }},
  };
}

std::vector<ConfigurationKey> functions_keys() {
  return {
      {"orders", "yes", [](Config& config, Text text) { config.routing.copies.prewarm = yes_or_no(text); }},
      {"when-missing", "load",
       [](Config& config, Text text) {
         config.routing.copies.missing_copy_is_reported =
             one_of<bool>(text, {{"load", false}, {"miss", true}});
       }},
      {"tells-warm", "yes",
       [](Config& config, Text text) { config.routing.copies.state_is_reported = yes_or_no(text); }},
      {"tells-crowd", "yes", [](Config&, Text text) { yes_or_no(text); }},
      {"keep-alive", "10s",
       [](Config& config, Text text) { config.routing.copies.keep_alive = positive_span(text); }},
      {"order-limit", "10s",
       [](Config& config, Text text) { config.routing.copies.prewarm_timeout = positive_span(text); }},
      {"memory-price", "0", [](Config&, Text text) { number_in(text, shares); }},
      {"crossing-price", "0",
       [](Config& config, Text text) { config.routing.prices.cross_location = number_in(text, shares); }},
      {"fetch-price", "0",
       [](Config& config, Text text) { config.routing.prices.load = number_in(text, shares); }},
  };
}

}  // namespace rushhill::deployment
