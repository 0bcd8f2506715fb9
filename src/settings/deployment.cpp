#include "settings/deployment.h"

#include <array>
#include <map>
#include <string>

namespace rushhill::settings {
namespace {

constexpr std::array effect_words{"free", "guarded", "single_shot"};
constexpr std::array group_words{"all", "zone", "cell"};
constexpr std::array condition_words{"active", "leaving", "left"};

RequestClass read_traffic_type(const Json& entry) {
  const Fields fields(entry, "services");
  RequestClass type;
  type.name = fields.text("name");
  type.latency_objective = floor_duration(fields.whole("promise"));
  type.deadline_span = floor_duration(fields.whole("deadline"));
  type.priority_weight = fields.number("worth", 1);
  type.late_value_share = fields.number("late-share", 0);
  type.retry_safety = fields.word<RetrySafety>("effect", effect_words);
  if (fields.find("group") != nullptr)
    type.deduplication_scope = fields.word<DeduplicationScope>("group", group_words);
  type.deduplication_span = floor_duration(fields.whole("memory-span", 0));
  type.stream = fields.flag("stream");
  type.latency_objective_stretch = fields.number("aim-stretch", 0);
  return type;
}

double price(const std::map<std::string, double>& prices, const char* name) {
  const auto it = prices.find(name);
  return it == prices.end() ? 0 : it->second;
}

void read_family(const Fields& family, RoutingConfiguration& deployment) {
  deployment.copies.prewarm = family.flag("placement-calls");
  deployment.copies.missing_is_answered = family.text("not-loaded", "load") == "miss";
  deployment.copies.state_is_reported = family.flag("marks-cold");
  deployment.copies.keep_alive = floor_duration(family.whole("keep", 0));
  deployment.copies.prewarm_timeout = ceil_duration(family.whole("answer-within", 0));
  deployment.load_budget.window = ceil_duration(family.whole("load-window", 0));
  deployment.load_budget.free_loads = family.number("load-free", 0);
  deployment.load_budget.loads_per_request = family.number("loads-per-request", 0);
}

// Fields that no decision needs are still checked, so that a malformed description is rejected as before.
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
  RoutingConfiguration deployment;
  deployment.router_number = static_cast<int>(info.whole("me", 0));
  deployment.routers = static_cast<int>(info.whole("balancers", 1));
  deployment.location = info.text("zone", "");
  deployment.tick = ceil_duration(info.whole("quantum", 0));
  deployment.over_quota_value = info.number("over-share-worth", 1);
  deployment.endpoints_on_request = info.text("discovery", "pushed") == "on_request";
  const std::map<std::string, double> prices = info.numbers("penalties");
  deployment.prices.cross_location = price(prices, "cross-zone");
  deployment.prices.load = price(prices, "origin");
  if (info.find("reporting") != nullptr) {
    deployment.reports.load_reports = info.object("reporting").text("how", "");
  }
  for (const Json& entry : info.list("services"))
    deployment.request_classes.push_back(read_traffic_type(entry));
  if (info.find("tenants") != nullptr) {
    for (const Json& entry : info.list("tenants")) {
      const Fields fields(entry, "tenants");
      deployment.tenants.push_back(
          {fields.text("name"), fields.number("share", 0), fields.number("quota-per-s", 0)});
    }
  }
  const Fields rules = info.object("obligations");
  deployment.drain_grace = floor_duration(rules.whole("drain-grace", 0));
  deployment.slow_start.budget_multiple = rules.number("fall-multiple", 1);
  deployment.slow_start.budget_span = ceil_duration(rules.whole("fall", 0));
  deployment.slow_start.initial_capacity = rules.number("cold-share", 1);
  deployment.slow_start.warm_up_span = ceil_duration(rules.whole("cold", 0));
  const Fields permissions = info.object("permissions");
  deployment.retries.attempt_limit = static_cast<int>(permissions.whole("send-cap", 1));
  deployment.open_request_limit = static_cast<int>(permissions.whole("open-cap", 0));
  deployment.retries.cancel_attempts = permissions.flag("cancel");
  deployment.retries.hedging = permissions.flag("second-copies");
  deployment.reports.probes = permissions.flag("probing");
  deployment.reports.gossip = permissions.flag("peers");
  deployment.retries.retry_after = permissions.flag("retry-after");
  deployment.retries.longest_retry_after = floor_duration(permissions.whole("max-retry-after", 0));
  deployment.requests_per_connection = static_cast<int>(permissions.whole("multiplex", 1));
  deployment.connection_idle_timeout = floor_duration(permissions.whole("conn-idle", 0));
  deployment.connect_timeout = ceil_duration(permissions.whole("connect-timeout", 0));
  if (info.find("family-info") != nullptr) {
    const Fields family = info.object("family-info");
    read_family(family, deployment);
    check_unused_family_fields(family, info.find("kinds"));
  }
  check_unused_fields(info);
  return deployment;
}

Endpoint read_server(const Json& entry) {
  const Fields fields(entry, "rows");
  Endpoint server;
  server.id = fields.text("server");
  const std::int64_t born = fields.whole("born", 0);
  server.started = born == 0 ? Timestamp{} : Timestamp{ceil_duration(born)};
  server.rating = fields.number("rating", 1);
  server.kind = fields.text("class-of-host", "");
  server.location = fields.text("failure-domain", "");
  server.cell = static_cast<int>(fields.whole("block", 0));
  if (fields.find("condition") != nullptr) {
    server.state = fields.word<EndpointState>("condition", condition_words);
  }
  return server;
}

}  // namespace rushhill::settings
