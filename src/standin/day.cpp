#include "standin/day.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>

namespace rushhill::standin {
namespace {

using Json = nlohmann::json;

constexpr std::array kind_names{
    "silence",        "mute-head",    "mute-half",    "reset",         "refuse",      "slow",
    "fail-fast",      "crash",        "lose-answers", "trickle",       "garbage",     "close-on-use",
    "drain",          "roster-lag",   "roster-break", "roster-twice",  "store-slow",  "store-refuse",
    "router-restart", "burst",        "broker-drop",  "broker-twice",  "router-kill", "router-stall",
    "link-drop",      "link-one-way", "link-delay",   "link-throttle", "link-cut",    "link-garble",
    "link-twice"};

std::string ms(Time time) {
  std::ostringstream text;
  text << static_cast<double>(time) / 10 << "ms";
  return text.str();
}

// Reads a field where it is there; a mistyped one is named.
template <typename Value>
void read(const Json& object, const char* name, Value& into) {
  const auto it = object.find(name);
  if (it == object.end()) return;
  try {
    it->get_to(into);
  } catch (const Json::exception&) {
    throw std::invalid_argument(std::string("field '") + name + "' is of the wrong type");
  }
}

template <typename Item, typename Read>
void read_list(const Json& object, const char* name, std::vector<Item>& into, Read read_item) {
  const auto it = object.find(name);
  if (it == object.end()) return;
  if (!it->is_array()) throw std::invalid_argument(std::string("field '") + name + "' is not a list");
  for (const Json& row : *it) {
    if (!row.is_object())
      throw std::invalid_argument(std::string("an entry of '") + name + "' is not an object");
    Item item;
    read_item(row, item);
    into.push_back(std::move(item));
  }
}

}  // namespace

const char* name_of(FaultKind kind) { return kind_names[static_cast<std::size_t>(kind)]; }

const FunctionSpec* Day::function(std::string_view name) const {
  const auto it = std::ranges::find(functions, name, &FunctionSpec::name);
  return it == functions.end() ? nullptr : &*it;
}
const RequestClassSpec* Day::type(std::string_view name) const {
  const auto it = std::ranges::find(types, name, &RequestClassSpec::name);
  return it == types.end() ? nullptr : &*it;
}
double Day::mean_work() const {
  double work = 0, weight = 0;
  for (const FunctionSpec& make : functions) {
    work += make.weight * static_cast<double>(make.work);
    weight += make.weight;
  }
  return work / weight;
}
Time Day::span() const { return static_cast<Time>(static_cast<double>(events) / rate * 10'000); }

std::string to_json(const Day& day) {
  Json object{{"seed", day.seed},
              {"routers", day.routers},
              {"events", day.events},
              {"rate", day.rate},
              {"tick", day.tick},
              {"roster-lag-least", day.discovery_lag_minimum},
              {"roster-lag-most", day.discovery_lag_maximum},
              {"missing-answers", day.missing_answers},
              {"together", day.together},
              {"marks", day.marks},
              {"repeats", day.repeats}};
  object["store"] = {{"fetches-at-once", day.store.concurrent_fetches},
                     {"most-fetches", day.store.max_fetches},
                     {"fetch-share", day.store.fetch_share}};
  const RuleParameters& rules = day.rules;
  object["rules"] = {{"drain-grace", rules.drain_grace}, {"fall-multiple", rules.budget_multiple},
                     {"fall-span", rules.budget_span},   {"cold-share", rules.initial_capacity},
                     {"cold-span", rules.warm_up_span},  {"load-window", rules.load_window},
                     {"load-free", rules.free_loads},    {"loads-per-event", rules.loads_per_request},
                     {"shots", rules.max_attempts},      {"second-copies", rules.hedging}};
  for (const ServerSpec& make : day.servers) {
    object["servers"].push_back({{"id", make.id},
                                 {"kind", make.kind},
                                 {"location", make.location},
                                 {"cell", make.cell},
                                 {"cores", make.cores},
                                 {"speed", make.speed},
                                 {"memory-mb", make.memory_mb},
                                 {"loads-at-once", make.concurrent_loads},
                                 {"most-in-hand", make.max_jobs},
                                 {"keep-alive", make.keep_alive}});
  }
  for (const FunctionSpec& make : day.functions) {
    object["functions"].push_back({{"name", make.name},
                                   {"memory-mb", make.memory_mb},
                                   {"lanes", make.lanes},
                                   {"load", make.load},
                                   {"work", make.work},
                                   {"weight", make.weight}});
  }
  for (const RequestClassSpec& make : day.types) {
    object["types"].push_back({{"name", make.name},
                               {"due", make.due},
                               {"hard-limit", make.deadline_span},
                               {"effect", make.effect},
                               {"group", make.group},
                               {"memory-span", make.memory_span},
                               {"share", make.share}});
  }
  for (const Fault& fault : day.faults) {
    object["troubles"].push_back({{"kind", name_of(fault.kind)},
                                  {"at", fault.at},
                                  {"span", fault.span},
                                  {"size", fault.size},
                                  {"servers", fault.servers},
                                  {"router", fault.router},
                                  {"other", fault.other}});
  }
  return object.dump(1);
}

Day day_from_json(std::string_view text) {
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object()) throw std::invalid_argument("the day is not a JSON object");
  Day day;
  read(object, "seed", day.seed);
  read(object, "routers", day.routers);
  read(object, "events", day.events);
  read(object, "rate", day.rate);
  read(object, "tick", day.tick);
  read(object, "roster-lag-least", day.discovery_lag_minimum);
  read(object, "roster-lag-most", day.discovery_lag_maximum);
  read(object, "missing-answers", day.missing_answers);
  read(object, "together", day.together);
  read(object, "marks", day.marks);
  read(object, "repeats", day.repeats);
  if (const auto it = object.find("store"); it != object.end()) {
    read(*it, "fetches-at-once", day.store.concurrent_fetches);
    read(*it, "most-fetches", day.store.max_fetches);
    read(*it, "fetch-share", day.store.fetch_share);
  }
  if (const auto it = object.find("rules"); it != object.end()) {
    RuleParameters& rules = day.rules;
    read(*it, "drain-grace", rules.drain_grace);
    read(*it, "fall-multiple", rules.budget_multiple);
    read(*it, "fall-span", rules.budget_span);
    read(*it, "cold-share", rules.initial_capacity);
    read(*it, "cold-span", rules.warm_up_span);
    read(*it, "load-window", rules.load_window);
    read(*it, "load-free", rules.free_loads);
    read(*it, "loads-per-event", rules.loads_per_request);
    read(*it, "shots", rules.max_attempts);
    read(*it, "second-copies", rules.hedging);
  }
  read_list(object, "servers", day.servers, [](const Json& row, ServerSpec& make) {
    read(row, "id", make.id);
    read(row, "kind", make.kind);
    read(row, "location", make.location);
    read(row, "cell", make.cell);
    read(row, "cores", make.cores);
    read(row, "speed", make.speed);
    read(row, "memory-mb", make.memory_mb);
    read(row, "loads-at-once", make.concurrent_loads);
    read(row, "most-in-hand", make.max_jobs);
    read(row, "keep-alive", make.keep_alive);
    if (make.id.empty() || make.cores <= 0 || make.speed <= 0)
      throw std::invalid_argument("a server has no id, no cores or no speed");
  });
  read_list(object, "functions", day.functions, [](const Json& row, FunctionSpec& make) {
    read(row, "name", make.name);
    read(row, "memory-mb", make.memory_mb);
    read(row, "lanes", make.lanes);
    read(row, "load", make.load);
    read(row, "work", make.work);
    read(row, "weight", make.weight);
  });
  read_list(object, "types", day.types, [](const Json& row, RequestClassSpec& make) {
    read(row, "name", make.name);
    read(row, "due", make.due);
    read(row, "hard-limit", make.deadline_span);
    read(row, "effect", make.effect);
    read(row, "group", make.group);
    read(row, "memory-span", make.memory_span);
    read(row, "share", make.share);
  });
  read_list(object, "troubles", day.faults, [](const Json& row, Fault& fault) {
    std::string kind;
    read(row, "kind", kind);
    const auto it = std::ranges::find(kind_names, kind);
    if (it == kind_names.end()) throw std::invalid_argument("trouble '" + kind + "' is of no known kind");
    fault.kind = static_cast<FaultKind>(it - kind_names.begin());
    read(row, "at", fault.at);
    read(row, "span", fault.span);
    read(row, "size", fault.size);
    read(row, "servers", fault.servers);
    read(row, "router", fault.router);
    read(row, "other", fault.other);
  });
  if (day.servers.empty() || day.functions.empty() || day.types.empty())
    throw std::invalid_argument("the day has no servers, no functions or no types");
  if (day.rate <= 0 || day.events <= 0 || day.routers <= 0)
    throw std::invalid_argument("rate, events and routers must be above 0");
  return day;
}

std::string deployment_of(const Day& day, int router, const std::string& listen, const std::string& roster,
                          const std::string& peer_listen, const std::vector<std::string>& peers,
                          const std::string& broker, const std::vector<std::string>& replicas) {
  std::ostringstream out;
  const RuleParameters& rules = day.rules;
  const ServerSpec& near = day.servers[static_cast<std::size_t>(router) % day.servers.size()];
  out << "[router]\nnumber = " << router << "\nrouters = " << day.routers << "\ntick = " << ms(day.tick)
      << "\nlocation = " << near.location << "\n\n[rules]\ndrain-grace = " << ms(rules.drain_grace)
      << "\nfall-multiple = " << rules.budget_multiple << "\nfall-span = " << ms(rules.budget_span)
      << "\ncold-share = " << rules.initial_capacity << "\ncold-span = " << ms(rules.warm_up_span)
      << "\nload-window = " << ms(rules.load_window) << "\nload-free = " << rules.free_loads
      << "\nloads-per-event = " << rules.loads_per_request
      << "\n\n[permissions]\nshots = " << rules.max_attempts
      << "\nsecond-copies = " << (rules.hedging ? "yes" : "no")
      << "\npeers = " << (peer_listen.empty() ? "no" : "yes")
      << "\n\n[functions]\nwhen-missing = " << (day.missing_answers ? "miss" : "load")
      << "\nkeep-alive = " << ms(day.servers.front().keep_alive) << "\n\n[http]\nlisten = " << listen
      << "\n\n[roster]\naddress = " << roster << "\n\n";
  if (!peer_listen.empty()) {
    out << "[peers]\nlisten = " << peer_listen << "\n";
    for (std::size_t i = 0; i < peers.size(); ++i) out << "router-" << i << " = " << peers[i] << "\n";
    out << "\n";
  }
  if (!replicas.empty()) {
    out << "[replica]\nlisten = " << replicas[static_cast<std::size_t>(router)] << "\ndeployment = day\n";
    for (std::size_t i = 0; i < replicas.size(); ++i) out << "router-" << i << " = " << replicas[i] << "\n";
    out << "\n";
  }
  if (!broker.empty()) {
    out << "[mqtt]\naddress = " << broker << "\nclient = router-" << router << "\nretry = 50ms\n\n";
    for (const RequestClassSpec& type : day.types) {
      out << "[mqtt-topic " << type.name << "]\nfilter = events/" << type.name
          << "/+\ngroup = routers\nqos = 1\nevent-type = " << type.name
          << "\nfunction = {1}\nweight = " << type.share << "\n\n";
    }
  }
  for (const RequestClassSpec& type : day.types) {
    out << "[traffic " << type.name << "]\ndue = " << ms(type.due)
        << "\nhard-limit = " << ms(type.deadline_span) << "\neffect = " << type.effect
        << "\ngroup = " << type.group << "\nmemory-span = " << ms(type.memory_span) << "\nlate-share = 0.3\n"
        << (replicas.empty() || type.effect == "reissuable" ? "" : "marks = " + day.marks + "\n") << "\n";
  }
  return out.str();
}

Day scripted_bad_day(std::int64_t events, double rate, std::uint64_t seed, bool missing_answers, bool calm) {
  Day day;
  day.missing_answers = missing_answers;
  day.tick = calm ? 4'000 : 200;
  day.seed = seed;
  day.events = events;
  day.rate = rate;
  day.rules.load_window = 50'000;
  day.rules.free_loads = 4;
  day.rules.loads_per_request = 0.2;
  std::mt19937_64 chance(seed);
  const auto draw = [&](double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(chance);
  };
  constexpr int servers = 14;
  for (int i = 0; i < servers; ++i) {
    ServerSpec make;
    make.id = "box-" + std::to_string(i);
    make.location = i % 2 == 0 ? "old-godown" : "new-office";
    make.cell = i / 4 + (i % 2) * 100;
    make.kind = i % 3 == 0 ? "plain-pair" : "quick-pair";
    make.speed = i % 3 == 0 ? draw(0.9, 1.1) : draw(1.3, 1.6);
    day.servers.push_back(make);
  }
  constexpr int functions = 40;
  for (int i = 0; i < functions; ++i) {
    FunctionSpec make;
    make.name = "ward-" + std::to_string(i);
    make.memory_mb = std::floor(draw(300, 700));
    make.lanes = i % 2 + 1;
    make.load = static_cast<Time>(draw(3'000, 6'000));
    make.work = static_cast<Time>(draw(150, 350));
    make.weight = std::pow(i + 1, -0.9);
    day.functions.push_back(make);
  }
  const Time limit = calm ? 50'000 : 25'000;
  day.types = {{"date-lookup", 7'500, limit, "reissuable", "all", 0, 0.8},
               {"counter-form", 7'500, limit, "numbered", "location", 50'000, 0.1},
               {"fee-booking", 7'500, limit, "at-most-once", "all", 0, 0.1}};
  // The day's troubles, spread over its length and over the servers; each has room to end.
  const Time length = day.span();
  const auto at = [&](double part) { return static_cast<Time>(part * static_cast<double>(length)); };
  std::vector<std::string> ids;
  for (const ServerSpec& make : day.servers) ids.push_back(make.id);
  std::ranges::shuffle(ids, chance);
  using enum FaultKind;
  const auto add = [&](FaultKind kind, double from, double part, double size, std::vector<std::string> of,
                       int router = 0) {
    day.faults.push_back({kind, at(from), at(part), size, std::move(of), router});
  };
  add(slow, 0.08, 0.12, 4, {ids[0]});
  add(mute_half, 0.10, 0.06, 1, {ids[1]});
  add(reset, 0.14, 0.04, 1, {ids[2]});
  add(silence, 0.18, 0.08, 1, {ids[3], ids[4]});
  add(close_on_use, 0.20, 0.04, 1, {ids[5]});
  add(discovery_lag, 0.22, 0.20, 2, {});
  add(fail_fast, 0.26, 0.06, 1, {ids[6]});
  add(refuse, 0.28, 0.05, 1, {ids[7]});
  add(crash, 0.32, 0.05, 1, {ids[8], ids[9]});
  add(mute_head, 0.36, 0.05, 1, {ids[10]});
  add(garbage, 0.40, 0.04, 1, {ids[11]});
  add(discovery_contradiction, 0.43, 0.05, 1, {ids[12]});
  add(lose_answers, 0.45, 0.05, 1, {ids[0]});
  add(byte_at_a_time, 0.48, 0.06, 1, {ids[1]});
  add(router_restart, 0.52, 0.03, 1, {}, 1);
  add(drain, 0.55, 0.10, 1, {ids[2]});
  add(drain, 0.60, 0.10, 1, {ids[5]});
  add(drain, 0.65, 0.10, 1, {ids[12]});
  add(store_slow, 0.66, 0.08, 3, {});
  add(discovery_outage, 0.70, 0.02, 1, {});
  add(burst, 0.74, 0.06, 1.6, {});
  add(broker_drop, 0.34, 0.10, 1, {});
  add(broker_twice, 0.58, 0.10, 1, {});
  add(store_refuse, 0.82, 0.03, 1, {});
  add(silence, 0.86, 0.05, 1, {ids[13]});
  return day;
}

void add_router_faults(Day& day, const RouterFaults& faults) {
  std::mt19937_64 chance(day.seed ^ 0x5eedULL);
  const auto draw = [&](double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(chance);
  };
  const auto router = [&] { return static_cast<int>(draw(0, day.routers)); };
  using enum FaultKind;
  constexpr Time second = 10'000;
  constexpr Time quiet = 3 * second;  // at the day's end, so that whoever was away is back and heard
  // Each ends before the next of its group begins: what is to be shown is that one thing at a time is borne.
  const auto row = [&](double every, const std::vector<FaultKind>& kinds, double shortest, double longest) {
    for (Time at = static_cast<Time>(draw(1, every) * second); at < day.span() - quiet;) {
      Fault fault{.kind = kinds[static_cast<std::size_t>(draw(0, static_cast<double>(kinds.size())))],
                  .at = at,
                  .span = static_cast<Time>(draw(shortest, longest) * second),
                  .router = router()};
      if (fault.kind >= link_drop)
        fault.other = (fault.router + 1 + static_cast<int>(draw(0, day.routers - 1))) % day.routers;
      if (fault.kind == link_delay) fault.size = draw(5, 200);
      if (fault.kind == link_throttle) fault.size = draw(2'000, 50'000);
      at += fault.span + static_cast<Time>(draw(0.5, every) * second);
      if (fault.at + fault.span < day.span() - quiet) day.faults.push_back(fault);
    }
  };
  std::vector<FaultKind> of_routers;
  if (faults.stalls) of_routers.push_back(router_stall);
  if (faults.crashes) of_routers.insert(of_routers.end(), 2, router_kill);
  if (faults.restarts) of_routers.push_back(router_restart);
  if (!of_routers.empty()) row(2, of_routers, 0.2, 4);
  if (faults.links && day.routers > 1)
    row(1, {link_drop, link_one_way, link_delay, link_throttle, link_cut, link_garble, link_twice}, 0.3, 4);
}

Day grown_day(int servers, int routers, int functions, std::int64_t events, double rate, std::uint64_t seed) {
  Day day;
  day.missing_answers = true;
  day.seed = seed;
  day.events = events;
  day.rate = rate;
  day.routers = routers;
  day.rules.load_window = 50'000;
  day.rules.free_loads = 4;
  day.rules.loads_per_request = 0.2;
  std::mt19937_64 chance(seed);
  const auto draw = [&](double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(chance);
  };
  constexpr const char* locations[] = {"old-godown", "new-office", "river-side"};
  for (int i = 0; i < servers; ++i) {
    ServerSpec make;
    make.id = "box-" + std::to_string(i);
    make.location = locations[i % 3];
    make.cell = i / 12 + (i % 3) * 1000;
    make.kind = i % 3 == 0 ? "plain-pair" : "quick-four";
    make.cores = i % 3 == 0 ? 2 : 4;
    make.memory_mb = 3'000 * make.cores;
    make.speed = i % 3 == 0 ? draw(0.9, 1.1) : draw(1.3, 1.6);
    day.servers.push_back(make);
  }
  for (int i = 0; i < functions; ++i) {
    FunctionSpec make;
    make.name = "ward-" + std::to_string(i);
    make.memory_mb = std::floor(draw(200, 500));
    make.lanes = i % 2 + 1;
    make.load = static_cast<Time>(draw(3'000, 6'000));
    make.work = static_cast<Time>(draw(150, 350));
    make.weight = std::pow(i + 1, -1.1);
    day.functions.push_back(make);
  }
  day.store.concurrent_fetches = 2.0 * servers;
  day.store.max_fetches = 8.0 * servers;
  day.types = {{"date-lookup", 7'500, 25'000, "reissuable", "all", 0, 0.8},
               {"counter-form", 7'500, 25'000, "numbered", "location", 50'000, 0.1},
               {"fee-booking", 7'500, 25'000, "at-most-once", "all", 0, 0.1}};
  const auto at = [&](double part) { return static_cast<Time>(part * static_cast<double>(day.span())); };
  std::vector<std::string> ids;
  for (const ServerSpec& make : day.servers) ids.push_back(make.id);
  std::ranges::shuffle(ids, chance);
  const auto some = [&](std::size_t from) {
    const std::size_t count = std::max<std::size_t>(ids.size() / 20, 1);
    return std::vector<std::string>(
        ids.begin() + static_cast<std::ptrdiff_t>(std::min(from * count, ids.size() - count)),
        ids.begin() + static_cast<std::ptrdiff_t>(std::min((from + 1) * count, ids.size())));
  };
  using enum FaultKind;
  day.faults = {{slow, at(0.15), at(0.15), 4, some(0)},      {crash, at(0.35), at(0.1), 1, some(1)},
                {router_restart, at(0.45), at(0.03), 1, {}}, {burst, at(0.55), at(0.1), 1.5, {}},
                {silence, at(0.7), at(0.05), 1, some(2)},    {store_slow, at(0.8), at(0.08), 3, {}}};
  return day;
}

}  // namespace rushhill::standin
