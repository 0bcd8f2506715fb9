#include "simulation/day_deployment.h"

#include <sstream>

#include "simulation/request_class_names.h"

namespace rushhill::simulation {
namespace {

constexpr double ticks_per_millisecond = 10;

std::string milliseconds(Time time) {
  std::ostringstream text;
  text << static_cast<double>(time) / ticks_per_millisecond << "ms";
  return text.str();
}

const char* yes_or_no(bool value) { return value ? "yes" : "no"; }

void write_router(std::ostream& out, const Day& day, int router) {
  const ServerSpec& near = day.servers[static_cast<std::size_t>(router) % day.servers.size()];
  out << "[router]\nnumber = " << router << "\nrouters = " << day.routers
      << "\ntick = " << milliseconds(day.tick) << "\nlocation = " << near.location << "\n\n";
}

void write_rules(std::ostream& out, const RuleParameters& rules) {
  out << "[rules]\ndrain-grace = " << milliseconds(rules.drain_grace)
      << "\nfall-multiple = " << rules.budget_multiple << "\nfall-span = " << milliseconds(rules.budget_span)
      << "\ncold-share = " << rules.initial_capacity << "\ncold-span = " << milliseconds(rules.warm_up_span)
      << "\nload-window = " << milliseconds(rules.load_window) << "\nload-free = " << rules.free_loads
      << "\nloads-per-event = " << rules.loads_per_request << "\n\n";
}

void write_permissions(std::ostream& out, const RuleParameters& rules, bool has_peers) {
  out << "[permissions]\nshots = " << rules.max_attempts << "\nsecond-copies = " << yes_or_no(rules.hedging)
      << "\npeers = " << yes_or_no(has_peers) << "\n\n";
}

void write_functions(std::ostream& out, const Day& day) {
  out << "[functions]\nwhen-missing = " << (day.missing_answers ? "miss" : "load")
      << "\nkeep-alive = " << milliseconds(day.servers.front().keep_alive) << "\n\n";
}

void write_routers(std::ostream& out, const std::vector<std::string>& addresses) {
  for (std::size_t i = 0; i < addresses.size(); ++i) out << "router-" << i << " = " << addresses[i] << "\n";
  out << "\n";
}

void write_peers(std::ostream& out, const DeploymentAddresses& addresses) {
  if (addresses.peer_listen.empty()) return;
  out << "[peers]\nlisten = " << addresses.peer_listen << "\n";
  write_routers(out, addresses.peers);
}

void write_replicas(std::ostream& out, int router, const std::vector<std::string>& replicas) {
  if (replicas.empty()) return;
  out << "[replica]\nlisten = " << replicas[static_cast<std::size_t>(router)] << "\ndeployment = day\n";
  write_routers(out, replicas);
}

void write_mqtt(std::ostream& out, const Day& day, int router, const std::string& broker) {
  if (broker.empty()) return;
  out << "[mqtt]\naddress = " << broker << "\nclient = router-" << router << "\nretry = 50ms\n\n";
  for (const RequestClassSpec& request_class : day.types)
    out << "[mqtt-topic " << request_class.name << "]\nfilter = events/" << request_class.name
        << "/+\ngroup = routers\nqos = 1\nevent-type = " << request_class.name
        << "\nfunction = {1}\nweight = " << request_class.share << "\n\n";
}

void write_request_class(std::ostream& out, const RequestClassSpec& request_class) {
  out << "[traffic " << request_class.name << "]\ndue = " << milliseconds(request_class.latency_objective)
      << "\nhard-limit = " << milliseconds(request_class.deadline_span)
      << "\neffect = " << name_of(request_class.retry_safety)
      << "\ngroup = " << name_of(request_class.deduplication_scope)
      << "\nmemory-span = " << milliseconds(request_class.deduplication_span) << "\nlate-share = 0.3\n";
}

}  // namespace

std::string deployment_of(const Day& day, int router, const DeploymentAddresses& addresses) {
  std::ostringstream out;
  write_router(out, day, router);
  write_rules(out, day.rules);
  write_permissions(out, day.rules, !addresses.peer_listen.empty());
  write_functions(out, day);
  out << "[http]\nlisten = " << addresses.listen << "\n\n";
  out << "[roster]\naddress = " << addresses.discovery << "\n\n";
  write_peers(out, addresses);
  write_replicas(out, router, addresses.replicas);
  write_mqtt(out, day, router, addresses.broker);
  for (const RequestClassSpec& request_class : day.types) {
    write_request_class(out, request_class);
    if (!addresses.replicas.empty() && request_class.retry_safety != RetrySafety::idempotent)
      out << "marks = " << day.marks << "\n";
    out << "\n";
  }
  return out.str();
}

}  // namespace rushhill::simulation
