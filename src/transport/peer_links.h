// Short messages between routers as datagrams that name their sender. Messages are bounded in size.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/peer_messenger.h"
#include "transport/datagram_endpoint.h"

namespace rushhill::transport {

// Sends to routers and receives from them. A message that cannot be sent at once is dropped.
class PeerLinks final : public core::PeerMessenger {
 public:
  // Called with each message and the number of the router that sent it.
  using MessageHandler = std::function<void(int router, const std::string& bytes)>;
  // `listen`: an address, or `fd:` and the number of an inherited socket. `addresses` by router number; an
  // empty one is a router that cannot be reached. Throws std::invalid_argument for an address that is not
  // numeric.
  PeerLinks(Reactor& reactor, const std::string& listen, int own_number,
            const std::vector<std::string>& addresses, MessageHandler handler);
  // To one router; `router` below 0: to all others.
  void send(int router, const std::string& bytes) override;
  // Messages that the system did not take.
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
