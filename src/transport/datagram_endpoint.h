// A datagram socket of a reactor.
#pragma once

#include <memory>
#include <string_view>
#include <utility>

#include "transport/reactor.h"

namespace rushhill::transport {

// Sends and receives datagrams at an address. The handler is called with each datagram that arrives.
class DatagramEndpoint {
 public:
  DatagramEndpoint(Reactor& reactor, const Address& address, DatagramHandler handler)
      : socket_(reactor.open_datagrams(address, std::move(handler))) {}
  // Uses an inherited datagram socket, which was open when this process started.
  DatagramEndpoint(Reactor& reactor, int descriptor, DatagramHandler handler)
      : socket_(reactor.open_inherited_datagrams(descriptor, std::move(handler))) {}

  // Returns false if the system did not accept the datagram, which is then dropped.
  bool send(const Address& to, std::string_view bytes) { return socket_->send(to, bytes); }
  Address address() const { return socket_->address(); }

 private:
  std::unique_ptr<BoundSocket> socket_;
};

}  // namespace rushhill::transport
