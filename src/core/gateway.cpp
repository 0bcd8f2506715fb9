#include "core/gateway.h"

#include <algorithm>
#include <utility>

namespace rushhill::core {
namespace {

constexpr std::size_t peer_message_limit = 256;  // bytes; what one message to a peer may hold

}  // namespace

Gateway::Gateway(const RoutingConfiguration& deployment, std::uint64_t seed, const Ports& ports)
    : configuration_(deployment), to_(ports), deferred_(ports.clock),
      policy_(make_routing_policy(deployment, seed, *this), ports.clock), requests_(ports.clock, seed),
      room_(deployment.open_request_limit), attempts_({.clock = ports.clock,
                                                       .upstream = ports.upstream,
                                                       .log = ports.log,
                                                       .requests = requests_,
                                                       .deferred = deferred_,
                                                       .policy = policy_,
                                                       .tally = tally_},
                                                      deployment.retries.attempt_limit),
      server_calls_({.clock = ports.clock,
                     .upstream = ports.upstream,
                     .deduplication = ports.deduplication,
                     .deferred = deferred_,
                     .policy = policy_,
                     .tally = tally_},
                    to_ticks(deployment.copies.prewarm_timeout)),
      lifecycle_({.clock = ports.clock,
                  .log = ports.log,
                  .deduplication = ports.deduplication,
                  .requests = requests_,
                  .attempts = attempts_,
                  .room = room_,
                  .deferred = deferred_,
                  .policy = policy_,
                  .tally = tally_},
                 deployment.retries.retry_after ? to_ticks(deployment.retries.longest_retry_after) : 0) {}

// What happens: from the front ends, the server list, the peers and the ledger.

RetrySafety Gateway::effect_of(const std::string& traffic_type) const {
  const auto it = std::ranges::find(configuration_.request_classes, traffic_type, &RequestClass::name);
  return it == configuration_.request_classes.end() ? RetrySafety::at_most_once : it->retry_safety;
}

std::optional<RequestId> Gateway::accept(admission::Shares::Source source, Client& client,
                                         RoutingRequest told, events::CloudEvent message) {
  return lifecycle_.accept(source, client, std::move(told), std::move(message));
}

void Gateway::client_cancelled(RequestId event, std::uint64_t unread) { lifecycle_.cancelled(event, unread); }

void Gateway::admission_decided(RequestId event, AdmissionVerdict how) { lifecycle_.verdict(event, how); }

void Gateway::expire_all() {
  for (const RequestId event : requests_.not_concluded()) lifecycle_.expire(event);
}

void Gateway::endpoints_updated(EndpointListForm form, const std::vector<EndpointListEntry>& entries) {
  std::vector<Endpoint> servers;
  for (const EndpointListEntry& entry : entries) servers.push_back(entry.endpoint);
  const EndpointAddresses::Map listed = addresses_.listed(form, entries);
  for (const auto& [server, address] : listed) {
    if (addresses_.set(server, address)) to_.upstream.set_address(server, address);
  }
  policy_.run([&](RoutingPolicy& policy, Timestamp now) { policy.endpoints_updated(now, form, servers); });
  // What was chosen before the message came and has not left yet is chosen again elsewhere.
  for (const EndpointListEntry& entry : entries) {
    if (entry.endpoint.state == EndpointState::draining) to_.upstream.cancel_all_unsent(entry.endpoint.id);
  }
  for (const auto& [server, address] : listed) {
    if (address.empty()) to_.upstream.cancel_all_unsent(server);  // has left, or is missing from a whole list
  }
}

void Gateway::gossip_received(int router_number, const std::string& bytes) {
  policy_.run(
      [&](RoutingPolicy& policy, Timestamp now) { policy.gossip_received(now, router_number, bytes); });
}

void Gateway::load_budget_restored(double orders) {
  policy_.run([&](RoutingPolicy& policy, Timestamp now) { policy.load_budget_restored(now, orders); });
}

// Ends of what the carrier was asked for.

void Gateway::attempt_started(RequestId event) { lifecycle_.attempt_started(event); }

void Gateway::attempt_ended(RequestId event, int leg, AttemptResult result) {
  lifecycle_.attempt_ended(event, leg, std::move(result));
}

void Gateway::probe_ended(const EndpointId& server, AttemptOutcome ending, const LoadReport& report) {
  server_calls_.probe_ended(server, ending, report);
}

void Gateway::prewarm_ended(const EndpointId& server, const FunctionId& function, AttemptOutcome ending,
                            int copies) {
  server_calls_.prewarm_ended(server, function, ending, copies);
}

// What the decision module asks for.

void Gateway::send_attempt(RequestId event, const EndpointId& server, Duration timeout) {
  attempts_.start(event, server, to_ticks(timeout));
}

void Gateway::cancel_attempt(RequestId event, int leg) { attempts_.cancel(event, leg); }

void Gateway::reject(RequestId event, Duration retry_after) {
  lifecycle_.reject(event, to_ticks(retry_after));
}

void Gateway::fail(RequestId event) { lifecycle_.fail(event); }

void Gateway::set_timer(std::int64_t token, Timestamp at) {
  deferred_.run_at(to_ticks(at), [this, token] {
    policy_.run([token](RoutingPolicy& policy, Timestamp now) { policy.timer_fired(now, token); });
  });
}

void Gateway::probe(const EndpointId& server) { server_calls_.probe(server); }

void Gateway::close_idle(const EndpointId& server) { to_.upstream.close_idle(server); }

void Gateway::prewarm(const EndpointId& server, const FunctionId& function, int copies) {
  server_calls_.prewarm(server, function, copies);
}

void Gateway::evict(const EndpointId& server, const FunctionId& function) {
  server_calls_.evict(server, function);
}

void Gateway::send_gossip(int router, const std::string& bytes) {
  if (!configuration_.reports.gossip || bytes.size() > peer_message_limit) return;
  ++tally_.gossip_messages;
  to_.peers.send(router, bytes);
}

void Gateway::watch_endpoints(bool on) { to_.endpoint_lists.watch(on); }

void Gateway::resync_endpoints() { to_.endpoint_lists.resync(); }

void Gateway::log(const std::string& line) { to_.log.write(Level::info, "decision", {{"text", line}}); }

}  // namespace rushhill::core
