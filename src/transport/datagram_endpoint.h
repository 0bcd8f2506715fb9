// A datagram socket of a reactor.
#pragma once

#include <memory>
#include <string_view>
#include <utility>

#include "transport/reactor.h"

namespace rushhill::transport {

// Sends and receives datagrams at an address. The handler is called with each that arrives.
class DatagramEndpoint {
 public:
  DatagramEndpoint(Reactor& reactor, const Address& address, DatagramHandler handler)
      : socket_(reactor.open_datagrams(address, std::move(handler))) {}
  // On a socket that this process was started with.
  DatagramEndpoint(Reactor& reactor, int inherited, DatagramHandler handler)
      : socket_(reactor.open_inherited_datagrams(inherited, std::move(handler))) {}

  // False: dropped, the system's queue is full.
  bool send(const Address& to, std::string_view bytes) { return socket_->send(to, bytes); }
  Address address() const { return socket_->address(); }

 private:
  std::unique_ptr<BoundSocket> socket_;
};

}  // namespace rushhill::transport
