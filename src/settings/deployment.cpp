#include "settings/deployment.h"

#include <array>
#include <map>
#include <string>

namespace rushhill::settings {
namespace {

constexpr std::array retry_safety_values{"free", "guarded", "single_shot"};
constexpr std::array deduplication_scope_values{"all", "zone", "cell"};
constexpr std::array endpoint_state_values{"active", "leaving", "left"};

RequestClass read_request_class(const Json& entry) {
  const Fields fields(entry, "services");
  RequestClass request_class;
  request_class.name = fields.text("name");
  request_class.latency_objective = floor_duration(fields.whole("promise"));
  request_class.deadline_span = floor_duration(fields.whole("deadline"));
  request_class.priority_weight = fields.number("worth", 1);
  request_class.late_value_share = fields.number("late-share", 0);
  request_class.retry_safety = fields.word<RetrySafety>("effect", retry_safety_values);
  if (fields.find("group") != nullptr)
    request_class.deduplication_scope = fields.word<DeduplicationScope>("group", deduplication_scope_values);
  request_class.deduplication_span = floor_duration(fields.whole("memory-span", 0));
  request_class.stream = fields.flag("stream");
  request_class.latency_objective_stretch = fields.number("aim-stretch", 0);
  return request_class;
}

double price_or_zero(const std::map<std::string, double>& prices, const char* name) {
  const auto it = prices.find(name);
  return it == prices.end() ? 0 : it->second;
}

void read_family_info(const Fields& family, RoutingConfiguration& configuration) {
  configuration.copies.prewarm = family.flag("placement-calls");
  configuration.copies.missing_copy_is_reported = family.text("not-loaded", "load") == "miss";
  configuration.copies.state_is_reported = family.flag("marks-cold");
  configuration.copies.keep_alive = floor_duration(family.whole("keep", 0));
  configuration.copies.prewarm_timeout = ceil_duration(family.whole("answer-within", 0));
  configuration.load_budget.window = ceil_duration(family.whole("load-window", 0));
  configuration.load_budget.free_loads = family.number("load-free", 0);
  configuration.load_budget.loads_per_request = family.number("loads-per-request", 0);
}

// Checks the fields that routing does not use, so that malformed settings are always rejected.
void check_unused_family_fields(const Fields& family, const Json* kinds) {
  family.flag("notes-peers-in-hand");
  family.number("memory-price", 0);
  if (kinds != nullptr && family.find("kind-memory-mb") != nullptr) family.list("kind-memory-mb");
}

void check_unused_fields(const Fields& info) {
  info.numbers("result-mix");
  info.texts("dcs");
  info.texts("stages");
  info.whole("tier", 0);
  info.text("worth-by", "request");
  info.text("weight-kind", "");
  if (info.find("clients") != nullptr) info.object("clients").flag("marks-retry");
  if (info.find("reporting") != nullptr) info.object("reporting").texts("names");
  const Fields rules = info.object("obligations");
  rules.whole("grace-to-answer", 0);
  rules.whole("ask-every", 0);
  const Fields permissions = info.object("permissions");
  permissions.number("cpu-us-per-request", 0);
  permissions.number("cpu-us-per-s", 0);
}

}  // namespace

RoutingConfiguration read_deployment(const Fields& info) {
  RoutingConfiguration configuration;
  configuration.router_number = static_cast<int>(info.whole("me", 0));
  configuration.routers = static_cast<int>(info.whole("balancers", 1));
  configuration.location = info.text("zone", "");
  configuration.tick = ceil_duration(info.whole("quantum", 0));
  configuration.over_quota_value = info.number("over-share-worth", 1);
  configuration.endpoint_watch_on_request = info.text("discovery", "pushed") == "on_request";
  const std::map<std::string, double> prices = info.numbers("penalties");
  configuration.prices.cross_location = price_or_zero(prices, "cross-zone");
  configuration.prices.load = price_or_zero(prices, "origin");
  if (info.find("reporting") != nullptr) {
    configuration.reports.load_reports = info.object("reporting").text("how", "");
  }
  for (const Json& entry : info.list("services"))
    configuration.request_classes.push_back(read_request_class(entry));
  if (info.find("tenants") != nullptr) {
    for (const Json& entry : info.list("tenants")) {
      const Fields fields(entry, "tenants");
      configuration.tenants.push_back(
          {fields.text("name"), fields.number("share", 0), fields.number("quota-per-s", 0)});
    }
  }
  const Fields rules = info.object("obligations");
  configuration.drain_grace = floor_duration(rules.whole("drain-grace", 0));
  configuration.slow_start.budget_multiple = rules.number("fall-multiple", 1);
  configuration.slow_start.budget_span = ceil_duration(rules.whole("fall", 0));
  configuration.slow_start.initial_capacity = rules.number("cold-share", 1);
  configuration.slow_start.warm_up_span = ceil_duration(rules.whole("cold", 0));
  const Fields permissions = info.object("permissions");
  configuration.retries.attempt_limit = static_cast<int>(permissions.whole("send-cap", 1));
  configuration.open_request_limit = static_cast<int>(permissions.whole("open-cap", 0));
  configuration.retries.cancel_attempts = permissions.flag("cancel");
  configuration.retries.hedging = permissions.flag("second-copies");
  configuration.reports.probes = permissions.flag("probing");
  configuration.reports.gossip = permissions.flag("peers");
  configuration.retries.retry_after = permissions.flag("retry-after");
  configuration.retries.max_retry_after = floor_duration(permissions.whole("max-retry-after", 0));
  configuration.requests_per_connection = static_cast<int>(permissions.whole("multiplex", 1));
  configuration.connection_idle_timeout = floor_duration(permissions.whole("conn-idle", 0));
  configuration.connect_timeout = ceil_duration(permissions.whole("connect-timeout", 0));
  if (info.find("family-info") != nullptr) {
    const Fields family = info.object("family-info");
    read_family_info(family, configuration);
    check_unused_family_fields(family, info.find("kinds"));
  }
  check_unused_fields(info);
  return configuration;
}

Endpoint read_server(const Json& entry) {
  const Fields fields(entry, "rows");
  Endpoint endpoint;
  endpoint.id = fields.text("server");
  const std::int64_t started_ns = fields.whole("born", 0);
  endpoint.started = started_ns == 0 ? Timestamp{} : Timestamp{ceil_duration(started_ns)};
  endpoint.rating = fields.number("rating", 1);
  endpoint.kind = fields.text("class-of-host", "");
  endpoint.location = fields.text("failure-domain", "");
  endpoint.cell = static_cast<int>(fields.whole("block", 0));
  if (fields.find("condition") != nullptr) {
    endpoint.state = fields.word<EndpointState>("condition", endpoint_state_values);
  }
  return endpoint;
}

}  // namespace rushhill::settings
