// Sockets that keep an address bound: listeners, datagram sockets and reserved addresses.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "transport/address.h"

namespace rushhill::transport {

// A connection that has reached a listener and that no stream has adopted yet.
class PendingConnection {
 public:
  PendingConnection() = default;
  PendingConnection(const PendingConnection&) = delete;
  PendingConnection& operator=(const PendingConnection&) = delete;
  PendingConnection(PendingConnection&&) = delete;
  PendingConnection& operator=(PendingConnection&&) = delete;
  virtual ~PendingConnection() = default;
  // Closes the connection.
  virtual void refuse() const = 0;
};

// Called with each new connection, which it adopts or refuses.
using AcceptHandler = std::function<void(const PendingConnection&)>;
// Called with each datagram and the address of its sender.
using DatagramHandler = std::function<void(const Address&, std::string_view)>;

// Keeps its address bound until it is destroyed.
class BoundSocket {
 public:
  BoundSocket() = default;
  BoundSocket(const BoundSocket&) = delete;
  BoundSocket& operator=(const BoundSocket&) = delete;
  BoundSocket(BoundSocket&&) = delete;
  BoundSocket& operator=(BoundSocket&&) = delete;
  virtual ~BoundSocket() = default;

  virtual Address address() const = 0;
  // For datagram sockets only. Returns false if the system did not accept the datagram, which is then
  // dropped.
  virtual bool send(const Address&, std::string_view) { return false; }
  // For listeners only. Accepts every connection in the queue; connections that are left there are reset when
  // the listener is closed.
  virtual void accept_all() {}
  // For listeners only. Sets a predicate that is called before each connection is accepted. While it returns
  // false, connections stay in the queue, and it is called again later.
  virtual void accept_while(std::function<bool()>) {}
};

}  // namespace rushhill::transport
