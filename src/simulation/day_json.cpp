#include "simulation/day_json.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <vector>

#include "simulation/request_class_names.h"

namespace rushhill::simulation {
namespace {

using Json = nlohmann::json;

// Names and values of all fields of an object, to be read or written one by one.
template <typename Server, typename Visit>
void visit_server(Server& server, Visit visit) {
  visit("id", server.id);
  visit("kind", server.kind);
  visit("location", server.location);
  visit("cell", server.cell);
  visit("cores", server.cores);
  visit("speed", server.speed);
  visit("memory-mb", server.memory_mb);
  visit("loads-at-once", server.concurrent_loads);
  visit("most-in-hand", server.max_jobs);
  visit("keep-alive", server.keep_alive);
}

template <typename Store, typename Visit>
void visit_store(Store& store, Visit visit) {
  visit("fetches-at-once", store.concurrent_fetches);
  visit("most-fetches", store.max_fetches);
  visit("fetch-share", store.fetch_share);
}

template <typename Function, typename Visit>
void visit_function(Function& function, Visit visit) {
  visit("name", function.name);
  visit("memory-mb", function.memory_mb);
  visit("lanes", function.lanes);
  visit("load", function.load);
  visit("work", function.work);
  visit("weight", function.weight);
}

// All but its promises.
template <typename RequestClass, typename Visit>
void visit_request_class(RequestClass& request_class, Visit visit) {
  visit("name", request_class.name);
  visit("due", request_class.latency_objective);
  visit("hard-limit", request_class.deadline_span);
  visit("memory-span", request_class.deduplication_span);
  visit("share", request_class.share);
}

// All but the kind.
template <typename AnyFault, typename Visit>
void visit_fault(AnyFault& fault, Visit visit) {
  visit("at", fault.at);
  visit("span", fault.span);
  visit("size", fault.size);
  visit("servers", fault.servers);
  visit("router", fault.router);
  visit("other", fault.other);
}

template <typename Rules, typename Visit>
void visit_rules(Rules& rules, Visit visit) {
  visit("drain-grace", rules.drain_grace);
  visit("fall-multiple", rules.budget_multiple);
  visit("fall-span", rules.budget_span);
  visit("cold-share", rules.initial_capacity);
  visit("cold-span", rules.warm_up_span);
  visit("load-window", rules.load_window);
  visit("load-free", rules.free_loads);
  visit("loads-per-event", rules.loads_per_request);
  visit("shots", rules.max_attempts);
  visit("second-copies", rules.hedging);
}

// All but objects and lists.
template <typename AnyDay, typename Visit>
void visit_day(AnyDay& day, Visit visit) {
  visit("seed", day.seed);
  visit("routers", day.routers);
  visit("events", day.events);
  visit("rate", day.rate);
  visit("tick", day.tick);
  visit("roster-lag-least", day.discovery_lag_minimum);
  visit("roster-lag-most", day.discovery_lag_maximum);
  visit("missing-answers", day.missing_answers);
  visit("together", day.together);
  visit("marks", day.marks);
  visit("repeats", day.repeats);
}

auto writer_to(Json& object) {
  return [&object](const char* name, const auto& value) { object[name] = value; };
}

// Reads a field where it is there; one of the wrong type is named.
auto reader_of(const Json& object) {
  return [&object](const char* name, auto& value) {
    const auto it = object.find(name);
    if (it == object.end()) return;
    try {
      it->get_to(value);
    } catch (const Json::exception&) {
      throw std::invalid_argument(std::string("field '") + name + "' is of the wrong type");
    }
  };
}

template <typename Item, typename ReadItem>
void read_list(const Json& object, const char* name, std::vector<Item>& items, ReadItem read_item) {
  const auto it = object.find(name);
  if (it == object.end()) return;
  if (!it->is_array()) throw std::invalid_argument(std::string("field '") + name + "' is not a list");
  for (const Json& row : *it) {
    if (!row.is_object())
      throw std::invalid_argument(std::string("an entry of '") + name + "' is not an object");
    items.push_back(read_item(row));
  }
}

ServerSpec read_server(const Json& row) {
  ServerSpec server;
  visit_server(server, reader_of(row));
  if (server.id.empty() || server.cores <= 0 || server.speed <= 0)
    throw std::invalid_argument("a server has no id, no cores or no speed");
  return server;
}

FunctionSpec read_function(const Json& row) {
  FunctionSpec function;
  visit_function(function, reader_of(row));
  return function;
}

// Reads the name of a value where it is there; one of no value is refused.
template <typename Value, typename Find>
void read_named(const Json& row, const char* field, Value& value, Find find) {
  std::string name;
  reader_of(row)(field, name);
  if (!row.contains(field)) return;
  const std::optional<Value> found = find(name);
  if (!found) throw std::invalid_argument(std::string("field '") + field + "' has no value '" + name + "'");
  value = *found;
}

RequestClassSpec read_request_class(const Json& row) {
  RequestClassSpec request_class;
  visit_request_class(request_class, reader_of(row));
  read_named(row, "effect", request_class.retry_safety, retry_safety_of);
  read_named(row, "group", request_class.deduplication_scope, deduplication_scope_of);
  return request_class;
}

Fault read_fault(const Json& row) {
  std::string name;
  reader_of(row)("kind", name);
  const std::optional<FaultKind> kind = fault_kind_of(name);
  if (!kind) throw std::invalid_argument("trouble '" + name + "' is of no known kind");
  Fault fault{.kind = *kind};
  visit_fault(fault, reader_of(row));
  return fault;
}

void check(const Day& day) {
  if (day.servers.empty() || day.functions.empty() || day.types.empty())
    throw std::invalid_argument("the day has no servers, no functions or no types");
  if (day.rate <= 0 || day.events <= 0 || day.routers <= 0)
    throw std::invalid_argument("rate, events and routers must be above 0");
}

}  // namespace

std::string to_json(const Day& day) {
  Json object;
  visit_day(day, writer_to(object));
  visit_store(day.store, writer_to(object["store"]));
  visit_rules(day.rules, writer_to(object["rules"]));
  for (const ServerSpec& server : day.servers)
    visit_server(server, writer_to(object["servers"].emplace_back(Json::object())));
  for (const FunctionSpec& function : day.functions)
    visit_function(function, writer_to(object["functions"].emplace_back(Json::object())));
  for (const RequestClassSpec& request_class : day.types) {
    Json& row = object["types"].emplace_back(Json::object());
    visit_request_class(request_class, writer_to(row));
    row["effect"] = name_of(request_class.retry_safety);
    row["group"] = name_of(request_class.deduplication_scope);
  }
  for (const Fault& fault : day.faults) {
    Json& row = object["troubles"].emplace_back(Json::object());
    row["kind"] = name_of(fault.kind);
    visit_fault(fault, writer_to(row));
  }
  return object.dump(1);
}

Day day_from_json(std::string_view text) {
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object()) throw std::invalid_argument("the day is not a JSON object");
  Day day;
  visit_day(day, reader_of(object));
  if (const auto it = object.find("store"); it != object.end()) visit_store(day.store, reader_of(*it));
  if (const auto it = object.find("rules"); it != object.end()) visit_rules(day.rules, reader_of(*it));
  read_list(object, "servers", day.servers, read_server);
  read_list(object, "functions", day.functions, read_function);
  read_list(object, "types", day.types, read_request_class);
  read_list(object, "troubles", day.faults, read_fault);
  check(day);
  return day;
}

}  // namespace rushhill::simulation
