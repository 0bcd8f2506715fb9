#include "settings/deployment.h"

#include <array>

namespace rushhill::settings {
namespace {

constexpr std::array effect_words{"free", "guarded", "single_shot"};
constexpr std::array group_words{"all", "zone", "cell"};
constexpr std::array condition_words{"active", "leaving", "left"};

RequestClass read_traffic_type(const Json& entry) {
  const Fields fields(entry, "services");
  RequestClass type;
  type.name = fields.text("name");
  type.latency_objective = floor_time(fields.whole("promise"));
  type.deadline_span = floor_time(fields.whole("deadline"));
  type.priority_weight = fields.number("worth", 1);
  type.late_value_share = fields.number("late-share", 0);
  type.retry_safety = fields.word<RetrySafety>("effect", effect_words);
  if (fields.find("group") != nullptr)
    type.deduplication_scope = fields.word<DeduplicationScope>("group", group_words);
  type.deduplication_span = floor_time(fields.whole("memory-span", 0));
  type.stream = fields.flag("stream");
  type.latency_objective_stretch = fields.number("aim-stretch", 0);
  return type;
}

void read_family(const Fields& family, const Json* kinds, RoutingConfiguration& deployment) {
  deployment.orders = family.flag("placement-calls");
  deployment.miss_answers = family.text("not-loaded", "load") == "miss";
  deployment.tells_warm = family.flag("marks-cold");
  deployment.tells_crowd = family.flag("notes-peers-in-hand");
  deployment.keep_alive = floor_time(family.whole("keep", 0));
  deployment.order_limit = ceil_time(family.whole("answer-within", 0));
  deployment.load_window = ceil_time(family.whole("load-window", 0));
  deployment.load_free = family.number("load-free", 0);
  deployment.loads_per_event = family.number("loads-per-request", 0);
  deployment.memory_price = family.number("memory-price", 0);
  if (kinds == nullptr || family.find("kind-memory-mb") == nullptr) return;
  const Json& memory = family.list("kind-memory-mb");
  for (std::size_t i = 0; i < memory.size() && kinds->is_array() && i < kinds->size(); ++i) {
    if (memory[i].is_number() && (*kinds)[i].is_string()) {
      deployment.kind_memory_mb[(*kinds)[i].get<std::string>()] = memory[i].get<double>();
    }
  }
}

}  // namespace

RoutingConfiguration read_deployment(const Fields& info) {
  RoutingConfiguration deployment;
  deployment.router_number = static_cast<int>(info.whole("me", 0));
  deployment.routers = static_cast<int>(info.whole("balancers", 1));
  deployment.location = info.text("zone", "");
  deployment.tick = ceil_time(info.whole("quantum", 0));
  deployment.over_share_worth = info.number("over-share-worth", 1);
  deployment.roster_on_request = info.text("discovery", "pushed") == "on_request";
  deployment.prices = info.numbers("penalties");
  deployment.result_mix = info.numbers("result-mix");
  deployment.locations = info.texts("dcs");
  deployment.stages = info.texts("stages");
  deployment.stage = static_cast<int>(info.whole("tier", 0));
  deployment.importance_by_work = info.text("worth-by", "request") == "work";
  deployment.rating_kind = info.text("weight-kind", "");
  if (info.find("clients") != nullptr) {
    deployment.clients_mark_repeats = info.object("clients").flag("marks-retry");
  }
  if (info.find("reporting") != nullptr) {
    deployment.reports = info.object("reporting").text("how", "");
    deployment.report_names = info.object("reporting").texts("names");
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
  deployment.answer_grace = floor_time(rules.whole("grace-to-answer", 0));
  deployment.drain_grace = floor_time(rules.whole("drain-grace", 0));
  deployment.ask_every = floor_time(rules.whole("ask-every", 0));
  deployment.fall_multiple = rules.number("fall-multiple", 1);
  deployment.fall_span = ceil_time(rules.whole("fall", 0));
  deployment.cold_share = rules.number("cold-share", 1);
  deployment.cold_span = ceil_time(rules.whole("cold", 0));
  const Fields permissions = info.object("permissions");
  deployment.attempt_limit = static_cast<int>(permissions.whole("send-cap", 1));
  deployment.open_cap = static_cast<int>(permissions.whole("open-cap", 0));
  deployment.cancel = permissions.flag("cancel");
  deployment.second_copies = permissions.flag("second-copies");
  deployment.probing = permissions.flag("probing");
  deployment.peers = permissions.flag("peers");
  deployment.retry_advice = permissions.flag("retry-after");
  deployment.longest_retry_advice = floor_time(permissions.whole("max-retry-after", 0));
  deployment.shots_a_connection = static_cast<int>(permissions.whole("multiplex", 1));
  deployment.connection_idle = floor_time(permissions.whole("conn-idle", 0));
  deployment.cpu_per_event = static_cast<Time>(permissions.number("cpu-us-per-request", 0));
  deployment.cpu_per_second = static_cast<Time>(permissions.number("cpu-us-per-s", 0));
  deployment.connect_limit = ceil_time(permissions.whole("connect-timeout", 0));
  if (info.find("family-info") != nullptr)
    read_family(info.object("family-info"), info.find("kinds"), deployment);
  return deployment;
}

Endpoint read_server(const Json& entry) {
  const Fields fields(entry, "rows");
  Endpoint server;
  server.id = fields.text("server");
  const std::int64_t born = fields.whole("born", 0);
  server.started = born == 0 ? 0 : ceil_time(born);
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
