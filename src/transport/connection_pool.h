// What the pools of connections to endpoints share, whatever the protocol: the endpoints and their addresses,
// which connections are open, which attempt is on which of them, and how calls without an answer end. When a
// connection is opened, shared or reused is each pool's own rule.
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

// An endpoint and its open connections. A pool's own endpoint type derives from it and adds
//   std::vector<Connection*> idle_connections() const;  // in the order in which they are closed
//   Connection* longest_idle() const;                   // nullptr: none is idle
//   void connection_removed(Connection&);               // called before a connection is closed
template <typename PooledConnection>
struct PooledEndpoint {
  using Connection = PooledConnection;

  EndpointId id{};
  std::string address_text{};        // empty: it has left the endpoint list
  std::optional<Address> address{};  // nothing: it cannot be reached
  std::map<Connection*, std::shared_ptr<Connection>, ByNumber> connections{};
};

// A pool of connections to endpoints. `Endpoint` is derived from PooledEndpoint; its connections have
// endpoint(), idle_since(), retire() (no further call goes on it) and close().
template <typename Endpoint>
class ConnectionPool : public core::UpstreamTransport {
 public:
  using Connection = typename Endpoint::Connection;

  // The observer is called for the end of every call; it has to be named before the first one.
  void report_to(core::UpstreamObserver& observer) { observer_ = &observer; }

  void close_idle(const EndpointId& id) override {
    const auto it = endpoints_.find(id);
    if (it == endpoints_.end()) return;
    for (Connection* connection : it->second->idle_connections()) remove(*connection);
  }

  // An address that cannot be read is logged, and the endpoint counts as unreachable.
  // NOLINTNEXTLINE(bugprone-easily-swappable-parameters): the interface's; the check spares other overrides
  void set_address(const EndpointId& id, const std::string& address) override {
    auto& known = endpoints_[id];
    if (!known) known = std::make_unique<Endpoint>();
    Endpoint& endpoint = *known;
    endpoint.id = id;
    const bool unchanged = endpoint.address_text == address && (endpoint.address || address.empty());
    if (unchanged) return drop_if_unused(id);
    endpoint.address_text = address;
    resolve(endpoint);
    for (const auto& [connection, owner] : endpoint.connections) connection->retire();
    for (Connection* connection : endpoint.idle_connections()) remove(*connection);
    drop_if_unused(id);
  }

  // Open connections, to all endpoints together.
  std::size_t connections() const { return connections_; }

 protected:
  ConnectionPool(Reactor& reactor, core::EventLog& event_log) : reactor_(reactor), event_log_(event_log) {}

  Reactor& reactor() const { return reactor_; }
  core::EventLog& event_log() const { return event_log_; }
  core::UpstreamObserver& observer() const { return *observer_; }
  std::size_t endpoint_count() const { return endpoints_.size(); }

  // nullptr: it is not known.
  Endpoint* find_endpoint(const EndpointId& id) const {
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : it->second.get();
  }

  // Counts a new connection among its endpoint's, which own it from now on.
  void add(const std::shared_ptr<Connection>& connection) {
    ++connections_;
    connection->endpoint().connections.emplace(connection.get(), connection);
  }

  // Closes a connection. Nothing happens where that has been done before. It may be the one that is calling:
  // it is destroyed when that call has returned.
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

  // Closes the connection that has been idle longest, whichever endpoint's it is. False: none is idle.
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

  // Notes which connection an attempt is on, and that it is on none any more. Other calls are not noted.
  void track_attempt(const UpstreamCall& call, Connection& connection) {
    if (call.kind == UpstreamCallKind::attempt) attempts_[{call.request, call.attempt_number}] = &connection;
  }
  void untrack_attempt(const UpstreamCall& call) {
    if (call.kind == UpstreamCallKind::attempt) attempts_.erase({call.request, call.attempt_number});
  }
  // The connection that an attempt is on; nullptr: on none.
  Connection* connection_of(const AttemptKey& attempt) const {
    const auto it = attempts_.find(attempt);
    return it == attempts_.end() ? nullptr : it->second;
  }
  // The same, and the attempt is on none from now on.
  Connection* untrack(const AttemptKey& attempt) {
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end()) return nullptr;
    Connection* connection = it->second;
    attempts_.erase(it);
    return connection;
  }

  // Reports the end of a call when what runs now has returned.
  void report_end_later(UpstreamCall call, AttemptOutcome outcome) {
    post_while_alive([this, call = std::move(call), outcome] { report_end(observer(), call, outcome); });
  }

  // Runs the function when what runs now has returned, unless the pool is gone by then.
  template <typename Function>
  void post_while_alive(Function function) {
    reactor_.post([function = std::move(function), alive = std::weak_ptr(alive_)]() mutable {
      if (!alive.expired()) function();
    });
  }

 private:
  // Destroys an endpoint that is no longer used, which a call under way may still refer to.
  virtual void destroy(std::unique_ptr<Endpoint> endpoint) { endpoint.reset(); }

  // Reads the endpoint's address from its text.
  void resolve(Endpoint& endpoint) const {
    endpoint.address.reset();
    if (endpoint.address_text.empty()) return;
    try {
      endpoint.address = numeric_address(endpoint.address_text);
    } catch (const std::invalid_argument& error) {
      event_log_.write(core::Level::warning, "server cannot be reached",
                       {{"server", endpoint.id}, {"reason", error.what()}});
    }
  }

  // Drops an endpoint that has left the endpoint list and has no connection left.
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
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // posted calls are void once it is gone
};

}  // namespace rushhill::transport
