// Base of the connection pools of all protocols. It keeps the endpoints with their addresses and open
// connections, tracks the connection of each attempt, and reports the end of calls that get no response. Each
// pool has its own rules for opening, sharing and reusing connections.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "core/event_log.h"
#include "core/upstream_transport.h"
#include "transport/address.h"
#include "transport/numbered.h"
#include "transport/reactor.h"
#include "transport/upstream_call.h"

namespace rushhill::transport {

// An endpoint and its open connections. Each pool derives its own endpoint type, which adds
//   std::vector<Connection*> idle_connections() const;  // in the order in which they are closed
//   Connection* longest_idle() const;                   // nullptr if no connection is idle
//   void connection_removed(Connection&);               // called before a connection is closed
template <typename PooledConnection>
struct PooledEndpoint {
  using Connection = PooledConnection;

  EndpointId id{};
  std::string address_text{};        // empty once the endpoint has left the endpoint list
  std::optional<Address> address{};  // not set if the endpoint cannot be reached
  std::map<Connection*, std::shared_ptr<Connection>, ByNumber> connections{};
};

// A pool of connections to endpoints. `Endpoint` derives from PooledEndpoint. Its connections have
// endpoint(), idle_since(), close(), and retire(), after which no further call is sent on the connection.
template <typename Endpoint>
class ConnectionPool : public core::UpstreamTransport {
 public:
  using Connection = typename Endpoint::Connection;

  // Sets the observer that is notified when calls end. It must be set before the first call is sent.
  void report_to(core::UpstreamObserver& observer) { observer_ = &observer; }

  void close_idle_connections(const EndpointId& id) override {
    const auto it = endpoints_.find(id);
    if (it == endpoints_.end()) return;
    for (Connection* connection : it->second->idle_connections()) remove(*connection);
  }

  // An address that cannot be parsed is logged, and the endpoint is treated as unreachable.
  // NOLINTNEXTLINE(bugprone-easily-swappable-parameters): set by the interface; other overrides are exempt
  void set_address(const EndpointId& id, const std::string& address) override {
    auto& slot = endpoints_[id];
    if (!slot) slot = std::make_unique<Endpoint>();
    Endpoint& endpoint = *slot;
    endpoint.id = id;
    const bool unchanged = endpoint.address_text == address && (endpoint.address || address.empty());
    if (unchanged) return drop_if_unused(id);
    endpoint.address_text = address;
    parse_address(endpoint);
    for (const auto& [connection, owner] : endpoint.connections) connection->retire();
    for (Connection* connection : endpoint.idle_connections()) remove(*connection);
    drop_if_unused(id);
  }

  // Number of connections to all endpoints, including those that are being established.
  std::size_t connections() const { return connections_; }

 protected:
  ConnectionPool(Reactor& reactor, core::EventLog& event_log) : reactor_(reactor), event_log_(event_log) {}

  Reactor& reactor() const { return reactor_; }
  core::EventLog& event_log() const { return event_log_; }
  core::UpstreamObserver& observer() const { return *observer_; }
  std::size_t endpoint_count() const { return endpoints_.size(); }

  // Returns nullptr if the endpoint is unknown.
  Endpoint* find_endpoint(const EndpointId& id) const {
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : it->second.get();
  }

  // Adds a new connection to its endpoint, which owns it from now on.
  void add(const std::shared_ptr<Connection>& connection) {
    ++connections_;
    connection->endpoint().connections.emplace(connection.get(), connection);
  }

  // Closes a connection and removes it from its endpoint. Does nothing if the connection was removed before.
  // The connection may be the caller, so it is destroyed only after the current handler has returned.
  void remove(Connection& connection) {
    Endpoint& endpoint = connection.endpoint();
    const auto it = endpoint.connections.find(&connection);
    if (it == endpoint.connections.end()) return;
    endpoint.connection_removed(connection);
    connection.close();
    --connections_;
    post_while_alive([this, closed = it->second, id = endpoint.id] { drop_if_unused(id); });
    endpoint.connections.erase(it);
  }

  // Closes the connection that has been idle longest, to any endpoint. Returns false if none is idle.
  bool close_longest_idle() {
    Connection* oldest = nullptr;
    for (const auto& [id, endpoint] : endpoints_) {
      Connection* candidate = endpoint->longest_idle();
      if (candidate == nullptr) continue;
      if (oldest == nullptr || candidate->idle_since() < oldest->idle_since()) oldest = candidate;
    }
    if (oldest != nullptr) remove(*oldest);
    return oldest != nullptr;
  }

  // Records the connection that an attempt uses, and removes that record. Only attempts are tracked; calls of
  // other kinds are ignored.
  void track_attempt(const UpstreamCall& call, Connection& connection) {
    if (call.kind == UpstreamCallKind::attempt) attempts_[{call.request, call.attempt_number}] = &connection;
  }
  void untrack_attempt(const UpstreamCall& call) {
    if (call.kind == UpstreamCallKind::attempt) attempts_.erase({call.request, call.attempt_number});
  }
  // Returns the connection that an attempt uses, or nullptr if none is recorded.
  Connection* connection_of(const AttemptKey& attempt) const {
    const auto it = attempts_.find(attempt);
    return it == attempts_.end() ? nullptr : it->second;
  }
  // Returns the same and removes the record.
  Connection* untrack(const AttemptKey& attempt) {
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end()) return nullptr;
    Connection* connection = it->second;
    attempts_.erase(it);
    return connection;
  }

  // Reports the end of a call once the current handler has returned.
  void report_end_later(UpstreamCall call, AttemptOutcome outcome) {
    post_while_alive([this, call = std::move(call), outcome] { report_end(observer(), call, outcome); });
  }

  // Runs the function once the current handler has returned, unless the pool has been destroyed by then.
  template <typename Function>
  void post_while_alive(Function function) {
    reactor_.post([function = std::move(function), alive = std::weak_ptr(alive_)]() mutable {
      if (!alive.expired()) function();
    });
  }

 private:
  // Destroys an endpoint that is no longer used. A pool overrides this to delay the destruction if a running
  // call may still refer to the endpoint.
  virtual void destroy(std::unique_ptr<Endpoint> endpoint) { endpoint.reset(); }

  // Sets the endpoint's address from its text.
  void parse_address(Endpoint& endpoint) const {
    endpoint.address.reset();
    if (endpoint.address_text.empty()) return;
    try {
      endpoint.address = numeric_address(endpoint.address_text);
    } catch (const std::invalid_argument& error) {
      event_log_.write(core::Level::warning, "server address is invalid; the server cannot be reached",
                       {{"server", endpoint.id}, {"reason", error.what()}});
    }
  }

  // Removes an endpoint that has left the endpoint list and has no connections.
  void drop_if_unused(const EndpointId& id) {
    const auto it = endpoints_.find(id);
    if (it == endpoints_.end()) return;
    if (!it->second->address_text.empty() || !it->second->connections.empty()) return;
    destroy(std::move(it->second));
    endpoints_.erase(it);
  }

  Reactor& reactor_;
  core::EventLog& event_log_;
  core::UpstreamObserver* observer_ = nullptr;
  std::map<EndpointId, std::unique_ptr<Endpoint>> endpoints_;
  std::map<AttemptKey, Connection*> attempts_;
  std::size_t connections_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // expires with the pool
};

}  // namespace rushhill::transport
