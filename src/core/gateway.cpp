#include "core/gateway.h"

#include <algorithm>
#include <utility>

namespace rushhill::core {
namespace {

constexpr std::size_t max_peer_message = 256;  // bytes

}  // namespace

Gateway::Gateway(const RoutingConfiguration& configuration, std::uint64_t seed, const Ports& ports)
    : configuration_(configuration), ports_(ports), deferred_(ports.clock),
      policy_(make_routing_policy(configuration, seed, *this), ports.clock), requests_(ports.clock, seed),
      source_limiter_(configuration.open_request_limit), attempts_({.clock = ports.clock,
                                                                    .upstream = ports.upstream,
                                                                    .log = ports.log,
                                                                    .requests = requests_,
                                                                    .deferred = deferred_,
                                                                    .policy = policy_,
                                                                    .counters = counters_},
                                                                   configuration.retries.attempt_limit),
      endpoint_calls_({.clock = ports.clock,
                       .upstream = ports.upstream,
                       .deduplication = ports.deduplication,
                       .deferred = deferred_,
                       .policy = policy_,
                       .counters = counters_},
                      configuration.copies.prewarm_timeout),
      lifecycle_(
          {.clock = ports.clock,
           .log = ports.log,
           .deduplication = ports.deduplication,
           .request_memory = ports.request_memory,
           .requests = requests_,
           .attempts = attempts_,
           .source_limiter = source_limiter_,
           .deferred = deferred_,
           .policy = policy_,
           .counters = counters_},
          configuration.retries.retry_after ? configuration.retries.max_retry_after : Duration::zero()) {}

// Events from the front ends, service discovery, the other routers and the deduplication log.

RetrySafety Gateway::retry_safety_of(const std::string& request_class) const {
  const auto it = std::ranges::find(configuration_.request_classes, request_class, &RequestClass::name);
  return it == configuration_.request_classes.end() ? RetrySafety::at_most_once : it->retry_safety;
}

std::optional<RequestId> Gateway::accept(admission::SourceQuotas::Source source, Client& client,
                                         RoutingRequest routing_request, events::CloudEvent message) {
  return lifecycle_.accept(source, client, std::move(routing_request), std::move(message));
}

void Gateway::client_cancelled(RequestId request, std::uint64_t attempts_after_cancel) {
  lifecycle_.client_cancelled({.request = request, .attempts_after_cancel = attempts_after_cancel});
}

void Gateway::admission_decided(RequestId request, AdmissionVerdict verdict) {
  lifecycle_.admission_decided(request, verdict);
}

void Gateway::expire_all() {
  for (const RequestId request : requests_.unconcluded_requests()) lifecycle_.expire(request);
}

void Gateway::endpoints_updated(EndpointListForm form, const std::vector<EndpointListEntry>& entries) {
  std::vector<Endpoint> endpoints;
  for (const EndpointListEntry& entry : entries) endpoints.push_back(entry.endpoint);
  const EndpointAddresses::Map updates = addresses_.updates_from(form, entries);
  for (const auto& [endpoint, address] : updates) {
    if (addresses_.set(endpoint, address)) ports_.upstream.set_address(endpoint, address);
  }
  policy_.run([&](RoutingPolicy& policy, Timestamp now) { policy.endpoints_updated(now, form, endpoints); });
  // Unsent attempts to endpoints that are draining end now, so that the policy can retry them elsewhere.
  for (const EndpointListEntry& entry : entries) {
    if (entry.endpoint.state == EndpointState::draining) ports_.upstream.cancel_all_unsent(entry.endpoint.id);
  }
  for (const auto& [endpoint, address] : updates) {
    if (address.empty())
      ports_.upstream.cancel_all_unsent(endpoint);  // removed, or missing from a complete list
  }
}

void Gateway::gossip_received(int router_number, const std::string& bytes) {
  policy_.run(
      [&](RoutingPolicy& policy, Timestamp now) { policy.gossip_received(now, router_number, bytes); });
}

void Gateway::load_budget_restored(double prewarms) {
  policy_.run([&](RoutingPolicy& policy, Timestamp now) { policy.load_budget_restored(now, prewarms); });
}

// Events from the upstream transport.

bool Gateway::may_start_attempt(RequestId request) const { return lifecycle_.may_start_attempt(request); }

void Gateway::attempt_started(RequestId request) { lifecycle_.attempt_started(request); }

void Gateway::attempt_ended(RequestId request, int attempt_number, AttemptResult result) {
  lifecycle_.attempt_ended(request, attempt_number, std::move(result));
}

void Gateway::probe_ended(const EndpointId& endpoint, AttemptOutcome outcome, const LoadReport& report) {
  endpoint_calls_.probe_ended(endpoint, outcome, report);
}

void Gateway::prewarm_ended(const EndpointId& endpoint, const FunctionId& function, AttemptOutcome outcome,
                            int copies) {
  endpoint_calls_.prewarm_ended(endpoint, function, outcome, copies);
}

// Decisions of the routing policy, carried out.

void Gateway::send_attempt(RequestId request, const EndpointId& endpoint, const AttemptLimits& limits) {
  attempts_.start(request, endpoint, limits);
}

void Gateway::cancel_attempt(RequestId request, int attempt_number) {
  attempts_.cancel(request, attempt_number);
}

void Gateway::reject(RequestId request, Duration retry_after) { lifecycle_.reject(request, retry_after); }

void Gateway::fail(RequestId request) { lifecycle_.fail(request); }

void Gateway::set_timer(std::int64_t token, Timestamp at) {
  deferred_.run_at(at, [this, token] {
    policy_.run([token](RoutingPolicy& policy, Timestamp now) { policy.timer_fired(now, token); });
  });
}

void Gateway::probe(const EndpointId& endpoint) { endpoint_calls_.probe(endpoint); }

void Gateway::close_idle_connections(const EndpointId& endpoint) {
  ports_.upstream.close_idle_connections(endpoint);
}

void Gateway::prewarm(const EndpointId& endpoint, const FunctionId& function, int copies) {
  endpoint_calls_.prewarm(endpoint, function, copies);
}

void Gateway::evict(const EndpointId& endpoint, const FunctionId& function) {
  endpoint_calls_.evict(endpoint, function);
}

void Gateway::send_gossip(int router, const std::string& bytes) {
  if (!configuration_.reports.gossip || bytes.size() > max_peer_message) return;
  ++counters_.gossip_messages;
  ports_.peers.send(router, bytes);
}

void Gateway::watch_endpoints(bool on) { ports_.endpoint_lists.watch(on); }

void Gateway::resync_endpoints() { ports_.endpoint_lists.resync(); }

void Gateway::log(const std::string& line) { ports_.log.write(Level::info, "decision", {{"text", line}}); }

}  // namespace rushhill::core
