// Short messages between routers as datagrams that contain nothing but the message. The receiver identifies
// the sender by its address.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/peer_messenger.h"
#include "transport/datagram_endpoint.h"

namespace rushhill::transport {

// Sends messages to other routers and receives theirs. A message that cannot be sent at once is dropped.
class UnframedPeerLinks final : public core::PeerMessenger {
 public:
  // Called with each message and the number of the router that sent it.
  using MessageHandler = std::function<void(int router, const std::string& bytes)>;
  // `addresses` has the address of each router at the index of its number, including our own. `broadcast` is
  // an address that reaches every router, or empty. Throws std::invalid_argument if an address is not
  // numeric.
  UnframedPeerLinks(Reactor& reactor, const Address& listen, int own_number,
                    const std::vector<std::string>& addresses, const std::string& broadcast,
                    MessageHandler handler);
  // Sends to one router, or to all others if `router` is negative.
  void send(int router, const std::string& bytes) override;
  // Number of datagrams that the system did not accept.
  std::uint64_t dropped() const { return dropped_; }
  Address address() const { return datagrams_.address(); }

 private:
  void receive(const Address& from, std::string_view bytes);

  int own_number_;
  std::vector<Address> addresses_;
  std::map<Address, int> routers_;  // numbers by address; the lowest if several routers share an address
  std::optional<Address> broadcast_;
  MessageHandler handler_;
  DatagramEndpoint datagrams_;
  std::uint64_t dropped_ = 0;
};

}  // namespace rushhill::transport
