#include "checker/day_rules.h"

#include <algorithm>

namespace rushhill::checker {
namespace {

using Json = nlohmann::json;

constexpr double milliseconds_per_second = 1'000;

Ns span_at(const Json& object, const char* key) { return object.at(key).get<Ns>() * day_tick; }

double mean_work(const Json& functions) {
  double work = 0;
  double weight = 0;
  for (const Json& function : functions) {
    work += function.at("weight").get<double>() * function.at("work").get<double>();
    weight += function.at("weight").get<double>();
  }
  return work / weight;
}

// The usual lag, and the longest that a scripted fault adds.
Ns discovery_lag(const Json& day) {
  double fault_seconds = 0;
  for (const Json& fault : day.value("troubles", Json::array())) {
    if (fault.at("kind") == "roster-lag")
      fault_seconds = std::max(fault_seconds, fault.at("size").get<double>());
  }
  return span_at(day, "roster-lag-most") +
         static_cast<Ns>(fault_seconds * milliseconds_per_second) * millisecond;
}

RequestClass request_class_of(const Json& type) {
  return {.effect = type.at("effect").get<std::string>(),
          .group = type.at("group").get<std::string>(),
          .latency_objective = span_at(type, "due"),
          .deduplication_span = span_at(type, "memory-span"),
          .deadline_span = type.value("hard-limit", Ns{0}) * day_tick};
}

}  // namespace

const RequestClass& DayRules::request_class(const std::string& name) const {
  static const RequestClass highest_rank{.effect = "at-most-once", .group = "all"};
  const auto found = request_classes.find(name);
  return found == request_classes.end() ? highest_rank : found->second;
}

DayRules read_day_rules(const Json& day) {
  const Json& rules = day.at("rules");
  DayRules result{.drain_grace = span_at(rules, "drain-grace"),
                  .budget_multiple = rules.at("fall-multiple").get<double>(),
                  .budget_span = span_at(rules, "fall-span"),
                  .initial_capacity = rules.at("cold-share").get<double>(),
                  .warm_up_span = span_at(rules, "cold-span"),
                  .load_window = span_at(rules, "load-window"),
                  .free_loads = rules.at("load-free").get<double>(),
                  .loads_per_request = rules.at("loads-per-event").get<double>(),
                  .attempt_limit = rules.at("shots").get<int>(),
                  .hedging = rules.at("second-copies").get<bool>(),
                  .expected_requests = day.at("events").get<std::int64_t>(),
                  .mean_work = mean_work(day.at("functions")),
                  .discovery_lag = discovery_lag(day),
                  .request_classes = {},
                  .servers = {}};
  for (const Json& type : day.at("types"))
    result.request_classes[type.at("name").get<std::string>()] = request_class_of(type);
  for (const Json& server : day.at("servers"))
    result.servers[server.at("id").get<std::string>()] = {
        .location = server.at("location").get<std::string>(),
        .cell = std::to_string(server.at("cell").get<int>())};
  return result;
}

}  // namespace rushhill::checker
