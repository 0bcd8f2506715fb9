// Sends calls to endpoints over the platform's line protocol, on a pool of connections that carry several
// exchanges at once. docs/platform.md specifies the protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "transport/connection_pool.h"
#include "upstream/line_connection.h"

namespace rushhill::upstream {

// Limits of the pool and of its connections.
struct LinePoolLimits {
  int requests_per_connection = 1;  // open at once
  std::size_t connections = 256;    // to all endpoints together
  Time connect_limit = 0;           // tenths of a millisecond
  Time idle = 0;                    // tenths of a millisecond; shorter than the idle timeout of the endpoints
  bool reports = false;             // whether probes ask for the load report
  line_protocol::Bounds answers{};
  // Charged for unsent attempts and incomplete answers; null if it is not limited.
  core::MemoryBudget* memory = nullptr;
};

// An endpoint and its connections. A connection is idle if no exchange is open on it.
struct LineEndpoint : transport::PooledEndpoint<LineConnection> {
  std::vector<LineConnection*> idle_connections() const;
  LineConnection* longest_idle() const;
  void connection_removed(LineConnection&) {}
};

// The pool. Reports the end of every call to its observer exactly once, except for evict commands and
// cancelled calls, whose end is not reported.
class LinePool final : public transport::ConnectionPool<LineEndpoint>, private LineConnectionOwner {
 public:
  LinePool(transport::Reactor& reactor, const LinePoolLimits& limits, core::EventLog& event_log);

  void send(const core::AttemptCall& call) override;
  void cancel(RequestId request, int attempt_number) override;
  bool cancel_unsent(RequestId request, int attempt_number) override;
  void cancel_all_unsent(const EndpointId& id) override;
  void probe(const EndpointId& id, Duration timeout) override;
  void prewarm(const EndpointId& id, const FunctionId& function, int copies, Duration timeout) override;
  void evict(const EndpointId& id, const FunctionId& function) override;

  // Returns the number of endpoints that are on the endpoint list or still have connections.
  std::size_t known_endpoints() const { return endpoint_count(); }

 private:
  // Connections on which an exchange may be sent; nullptr if there is none of that kind.
  struct Candidates {
    LineConnection* idle = nullptr;    // the idle one that was used last
    LineConnection* shared = nullptr;  // the busy one with the fewest exchanges
  };

  bool may_start_attempt(RequestId request) const override;
  void attempt_started(RequestId request) override;
  void exchange_detached(const LineExchange& exchange) override;
  void exchange_answered(const LineExchange& exchange, line_protocol::Answer answer) override;
  void exchange_failed(const LineExchange& exchange, AttemptOutcome outcome) override;
  void exchange_failed_later(LineExchange exchange, AttemptOutcome outcome) override;
  void retry(LineExchange exchange) override { start(std::move(exchange)); }
  void connection_unusable(LineConnection& connection) override;
  void answer_unreadable(const LineConnection& connection) override;
  void destroy(std::unique_ptr<LineEndpoint> endpoint) override;

  void start(LineExchange exchange);
  static Candidates candidates(const LineEndpoint& endpoint, const LineExchange& exchange);
  Candidates healthy_candidates(const LineEndpoint& endpoint, const LineExchange& exchange);
  bool may_open() { return connections() < limits_.connections || close_longest_idle(); }
  LineConnection* open_connection(LineEndpoint& endpoint, const transport::Address& address);
  std::string next_tag(const char* prefix) { return prefix + std::to_string(next_tag_++); }

  LinePoolLimits limits_;
  std::uint64_t next_tag_ = 1;
};

}  // namespace rushhill::upstream
