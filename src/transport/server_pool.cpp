#include "transport/server_pool.h"

#include <memory>
#include <utility>

#include "transport/upstream_requests.h"
#include "transport/upstream_responses.h"

namespace rushhill::transport {
namespace {

constexpr Time evict_timeout = 10'000;  // tenths of a millisecond; the response is not reported

}  // namespace

ServerPool::ServerPool(Reactor& reactor, const ServerPoolLimits& limits, core::EventLog& event_log)
    : ConnectionPool(reactor, event_log), limits_(limits) {}

std::string ServerPool::address(const EndpointId& id) const {
  const HttpEndpoint* endpoint = find_endpoint(id);
  return endpoint == nullptr ? "" : endpoint->address_text;
}

void ServerPool::send(const core::AttemptCall& call) {
  start({.call = {.kind = UpstreamCallKind::attempt,
                  .endpoint = call.endpoint,
                  .request = call.request,
                  .attempt_number = call.attempt_number},
         .bytes = attempt_request(limits_.router, call),
         .start_before = to_ticks(call.start_before)});
}

void ServerPool::probe(const EndpointId& id, Duration timeout) {
  start({.call = {.kind = UpstreamCallKind::probe,
                  .endpoint = id,
                  .expires_at = reactor().now() + to_ticks(timeout)},
         .bytes = probe_request(id)});
}

void ServerPool::prewarm(const EndpointId& id, const FunctionId& function, int copies, Duration timeout) {
  const bool query = copies == 0;
  start({.call = {.kind = query ? UpstreamCallKind::copy_query : UpstreamCallKind::prewarm,
                  .endpoint = id,
                  .function = function,
                  .expires_at = reactor().now() + to_ticks(timeout)},
         .bytes = query ? copy_query_request(limits_.router, id)
                        : prewarm_request(limits_.router, id, function, copies)});
}

void ServerPool::evict(const EndpointId& id, const FunctionId& function) {
  start({.call = {.kind = UpstreamCallKind::evict,
                  .endpoint = id,
                  .function = function,
                  .expires_at = reactor().now() + evict_timeout},
         .bytes = evict_request(limits_.router, id, function)});
}

void ServerPool::cancel(RequestId request, int attempt_number) {
  HttpConnection* connection = untrack({request, attempt_number});
  if (connection == nullptr) return;
  connection->abort();
  remove(*connection);
}

bool ServerPool::cancel_unsent(RequestId request, int attempt_number) {
  const HttpConnection* connection = connection_of({request, attempt_number});
  if (connection == nullptr || !connection->unsent()) return false;
  cancel(request, attempt_number);
  return true;
}

void ServerPool::cancel_all_unsent(const EndpointId& id) {
  const HttpEndpoint* endpoint = find_endpoint(id);
  if (endpoint == nullptr) return;
  for (const auto& [pointer, connection] : endpoint->connections) {
    if (!connection->unsent()) continue;
    post_while_alive([waiting = connection] {
      if (waiting->unsent()) waiting->fail_unsent();
    });
  }
}

void ServerPool::start(HttpExchange exchange) {
  HttpEndpoint* endpoint = find_endpoint(exchange.call.endpoint);
  if (endpoint == nullptr || !endpoint->address)
    return report_end_later(std::move(exchange.call), AttemptOutcome::connect_failed);
  if (HttpConnection* idle = pop_healthy_idle(*endpoint)) {
    track_attempt(exchange.call, *idle);
    return idle->reuse(std::move(exchange));
  }
  if (endpoint->connections.size() >= static_cast<std::size_t>(limits_.connections))
    return report_end_later(std::move(exchange.call), AttemptOutcome::connect_failed);
  // The limit on all connections says nothing about this endpoint, so the outcome is not a connect failure.
  if (total_reached() && !close_longest_idle())
    return report_end_later(std::move(exchange.call), AttemptOutcome::not_sent);
  HttpConnectionOwner& owner = *this;
  const auto connection =
      std::make_shared<HttpConnection>(reactor(), owner, *endpoint,
                                       HttpConnectionLimits{.connect_timeout = limits_.connect_limit,
                                                            .idle_timeout = limits_.idle,
                                                            .max_response_bytes = limits_.reply});
  add(connection);
  track_attempt(exchange.call, *connection);
  connection->connect(*endpoint->address, std::move(exchange));
}

// Returns the healthy idle connection that was used last, or nullptr. Removes unhealthy ones that it finds.
HttpConnection* ServerPool::pop_healthy_idle(HttpEndpoint& endpoint) {
  while (!endpoint.idle.empty()) {
    HttpConnection* connection = endpoint.idle.back();
    endpoint.idle.pop_back();
    if (connection->healthy()) return connection;
    remove(*connection);
  }
  return nullptr;
}

bool ServerPool::may_start_attempt(RequestId request) const { return observer().may_start_attempt(request); }

void ServerPool::attempt_started(RequestId request) { observer().attempt_started(request); }

void ServerPool::connection_idle(HttpConnection& connection) {
  connection.endpoint().idle.push_back(&connection);
}

void ServerPool::connection_unusable(HttpConnection& connection) { remove(connection); }

void ServerPool::exchange_answered(const HttpExchange& exchange, HttpResponse response) {
  const UpstreamCall& call = exchange.call;
  untrack_attempt(call);
  switch (call.kind) {
    case UpstreamCallKind::attempt:
      return observer().attempt_ended(call.request, call.attempt_number, attempt_result(std::move(response)));
    case UpstreamCallKind::probe: {
      const CallResult result = call_result(call, response);
      return observer().probe_ended(call.endpoint, result.outcome, result.report);
    }
    case UpstreamCallKind::prewarm:
    case UpstreamCallKind::copy_query: {
      const CallResult result = call_result(call, response);
      return observer().prewarm_ended(call.endpoint, call.function, result.outcome, result.copies);
    }
    case UpstreamCallKind::evict:
      return;
  }
}

void ServerPool::exchange_failed(const HttpExchange& exchange, AttemptOutcome outcome) {
  untrack_attempt(exchange.call);
  report_end(observer(), exchange.call, outcome);
}

}  // namespace rushhill::transport
