// The clients' connections of a frontend, and the listener that they come from.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <utility>

#include "core/event_log.h"
#include "frontends/eviction.h"
#include "frontends/request_accounting.h"
#include "transport/listener.h"
#include "transport/numbered.h"

namespace rushhill::frontends {

// Holds the connections in the order in which they came, `limit` of them at most: beyond that one that may
// be evicted is closed for the next. `Connection` is what Eviction asks for, is Numbered, and has
// close(ConnectionEnd), called once when it leaves the table.
template <typename Connection>
class ConnectionTable {
 public:
  // All outlive the table.
  ConnectionTable(transport::Reactor& reactor, core::EventLog& log, std::size_t limit)
      : reactor_(reactor), log_(log), limit_(limit), eviction_(limit) {}
  ~ConnectionTable() {
    while (!connections_.empty()) remove(*connections_.begin()->first, ConnectionEnd::by_gateway);
  }
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;
  ConnectionTable(ConnectionTable&&) = delete;
  ConnectionTable& operator=(ConnectionTable&&) = delete;

  // Accepts what comes to the listener as long as there is room; returns where it listens.
  transport::Address accept_from(std::unique_ptr<transport::Listener> listener) {
    listener_ = std::move(listener);
    listener_->accept_while([this] {
      return eviction_.make_room(connections_, reactor_.now(), [this](Connection& connection) {
        remove(connection, ConnectionEnd::by_gateway);
      });
    });
    return listener_->address();
  }
  // Accepts what has come to the listener until now, and closes it; nothing where it is closed.
  void stop_accepting() {
    if (!listener_) return;
    listener_->accept_all();  // what is left in its queue is reset
    listener_.reset();
  }

  // Takes the connection that `create` makes of the pending one, or refuses it in a full table.
  template <typename Create>
  void accept(const transport::PendingConnection& pending, const Create& create) {
    if (connections_.size() >= limit_) {
      log_.write(core::Level::warning, "connection refused: too many", {});
      return pending.refuse();
    }
    const std::shared_ptr<Connection> connection = create();
    connections_.emplace(connection.get(), connection);
  }
  // Closes the connection; it may be the caller, which lives on until the present call has returned.
  // Nothing where it has been removed before.
  void remove(Connection& connection, ConnectionEnd end) {
    const auto it = connections_.find(&connection);
    if (it == connections_.end()) return;
    reactor_.post([removed = it->second] {});
    connections_.erase(it);
    connection.close(end);
  }

  std::size_t size() const { return connections_.size(); }
  // Pairs of the connection and the share that holds it; not to be removed from meanwhile.
  auto begin() const { return connections_.begin(); }
  auto end() const { return connections_.end(); }

 private:
  transport::Reactor& reactor_;
  core::EventLog& log_;
  std::size_t limit_;
  std::unique_ptr<transport::Listener> listener_;
  std::map<Connection*, std::shared_ptr<Connection>, transport::ByNumber> connections_;
  Eviction<Connection> eviction_;
};

}  // namespace rushhill::frontends
