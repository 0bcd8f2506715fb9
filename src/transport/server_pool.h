// Runs calls on endpoints over HTTP/1.1: a pool of connections to each, with one exchange at a time on a
// connection. docs/servers.md is the contract.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "transport/connection_pool.h"
#include "transport/http_connection.h"

namespace rushhill::transport {

// Bounds of the pool and of its connections.
struct PoolBounds {
  int router = 0;         // this router's number, sent to endpoints so that their records can name the sender
  int connections = 256;  // to one endpoint
  std::size_t total = 0;  // to all of them together; 0: no bound
  Time connect_limit = 0;   // tenths of a millisecond
  Time idle = 0;            // tenths of a millisecond until an idle connection is closed
  std::uint64_t reply = 0;  // bytes of a response's body
};

// An endpoint and its connections, of which the one used last is used next.
struct HttpEndpoint : PooledEndpoint<HttpConnection> {
  std::vector<HttpConnection*> idle{};  // the last used at the back

  std::vector<HttpConnection*> idle_connections() const { return idle; }
  HttpConnection* longest_idle() const { return idle.empty() ? nullptr : idle.front(); }
  void connection_removed(HttpConnection& connection) { std::erase(idle, &connection); }
};

// The pool. Every call ends once, with what is known of it: where no connection may be opened, at once.
class ServerPool final : public ConnectionPool<HttpEndpoint>, private HttpConnectionOwner {
 public:
  ServerPool(Reactor& reactor, const PoolBounds& bounds, core::EventLog& event_log);

  void send(const core::AttemptCall& call) override;
  void cancel(RequestId request, int attempt_number) override;
  bool cancel_unsent(RequestId request, int attempt_number) override;
  void cancel_all_unsent(const EndpointId& id) override;
  void probe(const EndpointId& id, Duration timeout) override;
  void prewarm(const EndpointId& id, const FunctionId& function, int copies, Duration timeout) override;
  void evict(const EndpointId& id, const FunctionId& function) override;

  // Where an endpoint is reached now; empty: nowhere.
  std::string address(const EndpointId& id) const;

 private:
  void attempt_started(RequestId request) override;
  void connection_idle(HttpConnection& connection) override;
  void connection_unusable(HttpConnection& connection) override;
  void exchange_answered(const HttpExchange& exchange, HttpResponse response) override;
  void exchange_failed(const HttpExchange& exchange, AttemptOutcome outcome) override;

  void start(HttpExchange exchange);
  HttpConnection* take_idle(HttpEndpoint& endpoint);
  bool total_reached() const { return bounds_.total > 0 && connections() >= bounds_.total; }

  PoolBounds bounds_;
};

}  // namespace rushhill::transport
