// Addresses that this process has bound: listeners, which accept connections, and ends of datagrams.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "transport/address.h"

namespace rushhill::transport {

// A connection that has come to a listener and has not been adopted yet.
class PendingConnection {
 public:
  PendingConnection() = default;
  PendingConnection(const PendingConnection&) = delete;
  PendingConnection& operator=(const PendingConnection&) = delete;
  PendingConnection(PendingConnection&&) = delete;
  PendingConnection& operator=(PendingConnection&&) = delete;
  virtual ~PendingConnection() = default;
  // Closes it.
  virtual void refuse() const = 0;
};

// Called with each connection: to adopt or to refuse it.
using AcceptHandler = std::function<void(const PendingConnection&)>;
// Called with each datagram and the address that it came from.
using DatagramHandler = std::function<void(const Address&, std::string_view)>;

// Keeps its address bound while it lives.
class BoundSocket {
 public:
  BoundSocket() = default;
  BoundSocket(const BoundSocket&) = delete;
  BoundSocket& operator=(const BoundSocket&) = delete;
  BoundSocket(BoundSocket&&) = delete;
  BoundSocket& operator=(BoundSocket&&) = delete;
  virtual ~BoundSocket() = default;

  virtual Address address() const = 0;
  // Datagrams only. False: dropped, the system's queue is full.
  virtual bool send(const Address&, std::string_view) { return false; }
  // Listeners only: accepts every connection in the queue, which would be reset when the listener goes.
  virtual void accept_all() {}
  // Listeners only: the predicate is asked before each connection is accepted. While it says no, connections
  // stay in the queue and it is asked again.
  virtual void accept_while(std::function<bool()>) {}
};

}  // namespace rushhill::transport
