// A listening socket of a reactor.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "transport/reactor.h"

namespace rushhill::transport {

// Accepts connections at an address while it lives. The handler is called with each.
class Listener {
 public:
  // Listens on an address (port 0: the system chooses), shared with other processes where asked, or on a
  // listening socket that this process was started with.
  Listener(Reactor& reactor, const Address& address, bool shared, AcceptHandler handler)
      : socket_(reactor.listen(address, shared, std::move(handler))) {}
  Listener(Reactor& reactor, int inherited, AcceptHandler handler)
      : socket_(reactor.listen_inherited(inherited, std::move(handler))) {}

  Address address() const { return socket_->address(); }
  // See BoundSocket.
  void accept_all() { socket_->accept_all(); }
  void accept_while(std::function<bool()> has_room) { socket_->accept_while(std::move(has_room)); }

 private:
  std::unique_ptr<BoundSocket> socket_;
};

}  // namespace rushhill::transport
