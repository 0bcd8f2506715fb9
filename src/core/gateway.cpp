#include "core/gateway.h"

#include <algorithm>
#include <utility>

namespace rushhill::core {
namespace {

constexpr std::size_t peer_message_limit = 256;  // bytes; what one message to a peer may hold

}  // namespace

Gateway::Gateway(const Deployment& deployment, std::uint64_t seed, const Ports& ports)
    : deployment_(deployment), to_(ports), deferred_(ports.clock),
      decisions_(make_router(deployment, seed, *this), ports.clock), requests_(ports.clock, seed),
      room_(deployment.open_cap), attempts_({.clock = ports.clock,
                                             .carrier = ports.carrier,
                                             .log = ports.diary,
                                             .requests = requests_,
                                             .deferred = deferred_,
                                             .decisions = decisions_,
                                             .tally = tally_},
                                            deployment.shot_cap),
      server_calls_({.clock = ports.clock,
                     .carrier = ports.carrier,
                     .ledger = ports.ledger,
                     .deferred = deferred_,
                     .decisions = decisions_,
                     .tally = tally_},
                    deployment.order_limit),
      lifecycle_({.clock = ports.clock,
                  .log = ports.diary,
                  .ledger = ports.ledger,
                  .requests = requests_,
                  .attempts = attempts_,
                  .room = room_,
                  .deferred = deferred_,
                  .decisions = decisions_,
                  .tally = tally_},
                 deployment.retry_advice ? deployment.longest_retry_advice : 0) {}

// What happens: from the front ends, the server list, the peers and the ledger.

Effect Gateway::effect_of(const std::string& traffic_type) const {
  const auto it = std::ranges::find(deployment_.traffic_types, traffic_type, &TrafficType::name);
  return it == deployment_.traffic_types.end() ? Effect::at_most_once : it->effect;
}

std::optional<EventId> Gateway::take(admission::Shares::Source source, Client& client, Event told,
                                     events::CloudEvent message) {
  return lifecycle_.accept(source, client, std::move(told), std::move(message));
}

void Gateway::client_gone(EventId event, std::uint64_t unread) { lifecycle_.cancelled(event, unread); }

void Gateway::marked(EventId event, Taking how) { lifecycle_.verdict(event, how); }

void Gateway::end_all() {
  for (const EventId event : requests_.not_concluded()) lifecycle_.expire(event);
}

void Gateway::roster(RosterForm form, const std::vector<RosterEntry>& entries) {
  std::vector<ModelServer> servers;
  for (const RosterEntry& entry : entries) servers.push_back(entry.server);
  const ServerAddresses::Map listed = addresses_.listed(form, entries);
  for (const auto& [server, address] : listed) {
    if (addresses_.set(server, address)) to_.carrier.reach(server, address);
  }
  decisions_.run([&](Router& router, Time now) { router.roster(now, form, servers); });
  // What was chosen before the message came and has not left yet is chosen again elsewhere.
  for (const RosterEntry& entry : entries) {
    if (entry.server.condition == Condition::leaving) to_.carrier.recall_all(entry.server.id);
  }
  for (const auto& [server, address] : listed) {
    if (address.empty()) to_.carrier.recall_all(server);  // has left, or is missing from a whole list
  }
}

void Gateway::peer_told(int router_number, const std::string& bytes) {
  decisions_.run([&](Router& router, Time now) { router.told(now, router_number, bytes); });
}

void Gateway::ration_known(double orders) {
  decisions_.run([&](Router& router, Time now) { router.ration_known(now, orders); });
}

// Ends of what the carrier was asked for.

void Gateway::attempt_started(EventId event) { lifecycle_.attempt_started(event); }

void Gateway::shot_ended(EventId event, int leg, ShotResult result) {
  lifecycle_.attempt_ended(event, leg, std::move(result));
}

void Gateway::probe_ended(const ServerId& server, Ending ending, const LoadReport& report) {
  server_calls_.probe_ended(server, ending, report);
}

void Gateway::order_ended(const ServerId& server, const FunctionId& function, Ending ending, int copies) {
  server_calls_.order_ended(server, function, ending, copies);
}

// What the decision module asks for.

void Gateway::shoot(EventId event, const ServerId& server, Time time_out) {
  attempts_.start(event, server, time_out);
}

void Gateway::call_off(EventId event, int leg) { attempts_.cancel(event, leg); }

void Gateway::shed(EventId event, Time come_back) { lifecycle_.reject(event, come_back); }

void Gateway::abandon(EventId event) { lifecycle_.fail(event); }

void Gateway::wake(std::int64_t token, Time at) {
  deferred_.run_at(
      at, [this, token] { decisions_.run([token](Router& router, Time now) { router.woken(now, token); }); });
}

void Gateway::probe(const ServerId& server) { server_calls_.probe(server); }

void Gateway::close_idle(const ServerId& server) { to_.carrier.close_idle(server); }

void Gateway::order(const ServerId& server, const FunctionId& function, int copies) {
  server_calls_.order(server, function, copies);
}

void Gateway::unload(const ServerId& server, const FunctionId& function) {
  server_calls_.unload(server, function);
}

void Gateway::tell(int router, const std::string& bytes) {
  if (!deployment_.peers || bytes.size() > peer_message_limit) return;
  ++tally_.told;
  to_.peers.tell(router, bytes);
}

void Gateway::follow(bool on) { to_.roster.follow(on); }

void Gateway::reload() { to_.roster.reload(); }

void Gateway::log(const std::string& line) { to_.diary.line(Level::info, "decision", {{"text", line}}); }

}  // namespace rushhill::core
