// Short messages between routers as datagrams that name their sender.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/peer_messenger.h"
#include "transport/datagram_endpoint.h"

namespace rushhill::transport {

// Sends messages to other routers and receives theirs. A message that cannot be sent at once is dropped, and
// so is a received one that is too long.
class PeerLinks final : public core::PeerMessenger {
 public:
  // Called with each message and the number of the router that sent it.
  using MessageHandler = std::function<void(int router, const std::string& bytes)>;
  // `listen` is an address, or `fd:` and the number of an inherited socket. `addresses` has the address of
  // each router at the index of its number, or an empty string if the router cannot be reached. Throws
  // std::invalid_argument if an address is not numeric.
  PeerLinks(Reactor& reactor, const std::string& listen, int own_number,
            const std::vector<std::string>& addresses, MessageHandler handler);
  // Sends to one router, or to all others if `router` is negative.
  void send(int router, const std::string& bytes) override;
  // Number of datagrams that the system did not accept.
  std::uint64_t dropped() const { return dropped_; }

 private:
  void receive(const Address& from, std::string_view bytes);

  int own_number_;
  std::vector<std::optional<Address>> addresses_;
  MessageHandler handler_;
  DatagramEndpoint datagrams_;
  std::uint64_t dropped_ = 0;
};

}  // namespace rushhill::transport
