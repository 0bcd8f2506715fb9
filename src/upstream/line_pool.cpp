#include "upstream/line_pool.h"

#include <utility>

namespace rushhill::upstream {

namespace {

// Of an attempt's bytes: one to be renewed and one to be sent.
constexpr std::size_t copies_of_unsent = 2;

}  // namespace

using transport::UpstreamCall;
using transport::UpstreamCallKind;

std::vector<LineConnection*> LineEndpoint::idle_connections() const {
  std::vector<LineConnection*> idle;
  for (const auto& [connection, owner] : connections) {
    if (connection->idle()) idle.push_back(connection);
  }
  return idle;
}

LineConnection* LineEndpoint::longest_idle() const {
  LineConnection* oldest = nullptr;
  for (const auto& [connection, owner] : connections) {
    if (!connection->idle()) continue;
    if (oldest == nullptr || connection->idle_since() < oldest->idle_since()) oldest = connection;
  }
  return oldest;
}

LinePool::LinePool(transport::Reactor& reactor, const LinePoolLimits& limits, core::EventLog& event_log)
    : ConnectionPool(reactor, event_log), limits_(limits) {}

void LinePool::send(const core::AttemptCall& call) {
  const std::string* function = call.message.other("function");
  const std::string* number = call.message.other("number");
  LineExchange exchange{.call = {.kind = UpstreamCallKind::attempt,
                                 .endpoint = call.endpoint,
                                 .request = call.request,
                                 .attempt_number = call.attempt_number},
                        .tag = call.message.id,
                        .invocation = line_protocol::invocation(
                            call.message.id, call.message.type, function == nullptr ? "" : *function,
                            number == nullptr ? "" : *number, call.message.data),
                        .deadline = reactor().now() + to_ticks(call.time_left),
                        .start_before = to_ticks(call.start_before)};
  const std::size_t bytes = copies_of_unsent * exchange.invocation.size();
  if (limits_.memory != nullptr && !limits_.memory->admits(0, bytes))
    return exchange_failed_later(std::move(exchange), AttemptOutcome::not_sent);
  exchange.memory = core::MemoryCharge(limits_.memory, bytes);
  start(std::move(exchange));
}

void LinePool::probe(const EndpointId& id, Duration timeout) {
  const std::string tag = next_tag("p");
  start({.call = {.kind = UpstreamCallKind::probe,
                  .endpoint = id,
                  .expires_at = reactor().now() + to_ticks(timeout)},
         .tag = tag,
         .command = limits_.reports ? line_protocol::gauges(tag) : line_protocol::alive(tag)});
}

void LinePool::prewarm(const EndpointId& id, const FunctionId& function, int copies, Duration timeout) {
  const std::string tag = next_tag("o");
  start({.call = {.kind = UpstreamCallKind::prewarm,
                  .endpoint = id,
                  .function = function,
                  .expires_at = reactor().now() + to_ticks(timeout)},
         .tag = tag,
         .command = line_protocol::prewarm(tag, function, copies)});
}

void LinePool::evict(const EndpointId& id, const FunctionId& function) {
  start({.call = {.kind = UpstreamCallKind::evict, .endpoint = id, .function = function},
         .command = line_protocol::evict(function)});
}

void LinePool::cancel(RequestId request, int attempt_number) {
  const transport::AttemptKey attempt{request, attempt_number};
  if (LineConnection* connection = connection_of(attempt)) connection->cancel(attempt);
}

bool LinePool::cancel_unsent(RequestId request, int attempt_number) {
  const transport::AttemptKey attempt{request, attempt_number};
  LineConnection* connection = connection_of(attempt);
  return connection != nullptr && connection->cancel_if_unsent(connection->tag_of(attempt)).has_value();
}

void LinePool::cancel_all_unsent(const EndpointId& id) {
  const LineEndpoint* endpoint = find_endpoint(id);
  if (endpoint == nullptr) return;
  const auto connections = endpoint->connections;  // A copy, since cancelling may close a connection.
  for (const auto& [connection, owner] : connections) {
    for (const std::string& tag : connection->tags()) {
      if (auto cancelled = connection->cancel_if_unsent(tag))
        exchange_failed_later(std::move(*cancelled), AttemptOutcome::not_sent);
    }
  }
}

// Prefers an idle connection, then a new one, then the busy one with the fewest exchanges. A shared
// connection comes last, since an unreadable answer on it also fails the other exchanges.
void LinePool::start(LineExchange exchange) {
  LineEndpoint* endpoint = find_endpoint(exchange.call.endpoint);
  if (endpoint == nullptr || !endpoint->address)
    return exchange_failed_later(std::move(exchange), AttemptOutcome::connect_failed);
  const transport::Address& address = *endpoint->address;
  const Candidates found = healthy_candidates(*endpoint, exchange);
  LineConnection* connection = found.idle;
  if (connection == nullptr) connection = may_open() ? open_connection(*endpoint, address) : found.shared;
  if (connection == nullptr) return exchange_failed_later(std::move(exchange), AttemptOutcome::not_sent);
  track_attempt(exchange.call, *connection);
  connection->send(std::move(exchange));
}

LinePool::Candidates LinePool::candidates(const LineEndpoint& endpoint, const LineExchange& exchange) {
  Candidates found;
  for (const auto& [connection, owner] : endpoint.connections) {
    if (!connection->usable_for(exchange)) continue;
    if (connection->idle()) {
      if (found.idle == nullptr || connection->idle_since() >= found.idle->idle_since())
        found.idle = connection;
    } else if (found.shared == nullptr || connection->open_exchanges() < found.shared->open_exchanges()) {
      found.shared = connection;
    }
  }
  return found;
}

// Returns the candidates after closing idle connections that the endpoint has closed or sent bytes on.
LinePool::Candidates LinePool::healthy_candidates(const LineEndpoint& endpoint,
                                                  const LineExchange& exchange) {
  Candidates found = candidates(endpoint, exchange);
  while (found.idle != nullptr && !found.idle->healthy()) {
    remove(*found.idle);
    found = candidates(endpoint, exchange);
  }
  return found;
}

LineConnection* LinePool::open_connection(LineEndpoint& endpoint, const transport::Address& address) {
  LineConnectionOwner& owner = *this;
  const auto connection = std::make_shared<LineConnection>(
      reactor(), owner, endpoint,
      LineConnectionLimits{.exchanges = static_cast<std::size_t>(limits_.requests_per_connection),
                           .connect_timeout = limits_.connect_limit,
                           .idle_timeout = limits_.idle,
                           .answers = limits_.answers,
                           .memory = limits_.memory});
  add(connection);
  connection->connect(address);
  return connection.get();
}

bool LinePool::may_start_attempt(RequestId request) const { return observer().may_start_attempt(request); }

void LinePool::attempt_started(RequestId request) { observer().attempt_started(request); }

void LinePool::exchange_detached(const LineExchange& exchange) { untrack_attempt(exchange.call); }

void LinePool::connection_unusable(LineConnection& connection) { remove(connection); }

void LinePool::answer_unreadable(const LineConnection& connection) {
  event_log().write(core::Level::warning, "endpoint sent an unreadable answer; closing the connection",
                    {{"server", connection.endpoint().id}});
}

void LinePool::destroy(std::unique_ptr<LineEndpoint> endpoint) {
  reactor().post([released = std::shared_ptr<LineEndpoint>(std::move(endpoint))] {});
}

namespace {

AttemptOutcome outcome_of(UpstreamCallKind kind, line_protocol::Word word) {
  using line_protocol::Word;
  const bool probed = kind == UpstreamCallKind::probe && word == Word::pong;
  if (probed || word == Word::hit) return AttemptOutcome::succeeded;
  return word == Word::shed ? AttemptOutcome::overloaded : AttemptOutcome::error;
}

}  // namespace

void LinePool::exchange_answered(const LineExchange& exchange, line_protocol::Answer answer) {
  const UpstreamCall& call = exchange.call;
  if (call.kind == UpstreamCallKind::attempt) {
    auto result = line_protocol::attempt_result(std::move(answer));
    // The answer's word does not belong to an attempt; the attempt may have run.
    if (!result) return exchange_failed(exchange, AttemptOutcome::error);
    return observer().attempt_ended(call.request, call.attempt_number, std::move(*result));
  }
  const AttemptOutcome outcome = outcome_of(call.kind, answer.word);
  if (call.kind == UpstreamCallKind::probe)
    return observer().probe_ended(call.endpoint, outcome, answer.report);
  observer().prewarm_ended(call.endpoint, call.function, outcome, answer.copies);
}

void LinePool::exchange_failed(const LineExchange& exchange, AttemptOutcome outcome) {
  transport::report_end(observer(), exchange.call, outcome);
}

void LinePool::exchange_failed_later(LineExchange exchange, AttemptOutcome outcome) {
  report_end_later(std::move(exchange.call), outcome);
}

}  // namespace rushhill::upstream
