// A listening socket of a reactor.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "transport/reactor.h"

namespace rushhill::transport {

// Accepts connections at an address until it is destroyed, and calls the handler with each of them.
class Listener {
 public:
  // Listens on an address, which other processes can use too if `shared` is set; port 0 lets the system
  // choose the port. The second constructor uses an inherited listening socket, which was open when this
  // process started.
  Listener(Reactor& reactor, const Address& address, bool shared, AcceptHandler handler)
      : socket_(reactor.listen(address, shared, std::move(handler))) {}
  Listener(Reactor& reactor, int descriptor, AcceptHandler handler)
      : socket_(reactor.listen_inherited(descriptor, std::move(handler))) {}

  Address address() const { return socket_->address(); }
  // See BoundSocket.
  void accept_all() { socket_->accept_all(); }
  void accept_while(std::function<bool()> has_capacity) { socket_->accept_while(std::move(has_capacity)); }

 private:
  std::unique_ptr<BoundSocket> socket_;
};

}  // namespace rushhill::transport
