// Sends calls to endpoints over HTTP/1.1, on a pool of connections with one exchange at a time on each.
// docs/servers.md is the contract with the endpoints.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "transport/connection_pool.h"
#include "transport/http_connection.h"

namespace rushhill::transport {

// Limits of the pool and of its connections.
struct ServerPoolLimits {
  int router = 0;           // this router's number, which endpoints put into their records
  int connections = 256;    // maximum to one endpoint
  std::size_t total = 0;    // maximum to all endpoints together; 0 means no limit
  Time connect_limit = 0;   // tenths of a millisecond
  Time idle = 0;            // tenths of a millisecond after which an idle connection is closed
  std::uint64_t reply = 0;  // maximum bytes of a response body
};

// An endpoint and its connections. The idle connection that was used last is the first to be used again.
struct HttpEndpoint : PooledEndpoint<HttpConnection> {
  std::vector<HttpConnection*> idle{};  // the one that was used last is at the back

  std::vector<HttpConnection*> idle_connections() const { return idle; }
  HttpConnection* longest_idle() const { return idle.empty() ? nullptr : idle.front(); }
  void connection_removed(HttpConnection& connection) { std::erase(idle, &connection); }
};

// The pool. Every call that is not cancelled ends exactly once, with what is known about it. If no connection
// may be opened for a call, the call fails without waiting for one.
class ServerPool final : public ConnectionPool<HttpEndpoint>, private HttpConnectionOwner {
 public:
  ServerPool(Reactor& reactor, const ServerPoolLimits& limits, core::EventLog& event_log);

  void send(const core::AttemptCall& call) override;
  void cancel(RequestId request, int attempt_number) override;
  bool cancel_unsent(RequestId request, int attempt_number) override;
  void cancel_all_unsent(const EndpointId& id) override;
  void probe(const EndpointId& id, Duration timeout) override;
  void prewarm(const EndpointId& id, const FunctionId& function, int copies, Duration timeout) override;
  void evict(const EndpointId& id, const FunctionId& function) override;

  // Returns the current address of an endpoint, or an empty string if it has none.
  std::string address(const EndpointId& id) const;

 private:
  bool may_start_attempt(RequestId request) const override;
  void attempt_started(RequestId request) override;
  void connection_idle(HttpConnection& connection) override;
  void connection_unusable(HttpConnection& connection) override;
  void exchange_answered(const HttpExchange& exchange, HttpResponse response) override;
  void exchange_failed(const HttpExchange& exchange, AttemptOutcome outcome) override;

  void start(HttpExchange exchange);
  HttpConnection* pop_healthy_idle(HttpEndpoint& endpoint);
  bool total_reached() const { return limits_.total > 0 && connections() >= limits_.total; }

  ServerPoolLimits limits_;
};

}  // namespace rushhill::transport
