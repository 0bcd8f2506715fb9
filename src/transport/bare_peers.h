// Short messages between routers as bare datagrams: the message alone, the sender known by its address.
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

// Sends to routers and receives from them. A message that cannot be sent at once is dropped.
class BarePeers final : public core::PeerMessenger {
 public:
  // Called with each message and the number of the router that sent it.
  using MessageHandler = std::function<void(int router, const std::string& bytes)>;
  // `addresses` by router number, our own among them; `broadcast`: one address that reaches every router, or
  // empty. Throws std::invalid_argument for an address that is not numeric.
  BarePeers(Reactor& reactor, const Address& listen, int own_number,
            const std::vector<std::string>& addresses, const std::string& broadcast, MessageHandler handler);
  // To one router; `router` below 0: to all others.
  void send(int router, const std::string& bytes) override;
  // Messages that the system did not take.
  std::uint64_t dropped() const { return dropped_; }
  Address address() const { return datagrams_.address(); }

 private:
  void receive(const Address& from, std::string_view bytes);

  int own_number_;
  std::vector<Address> addresses_;
  std::map<Address, int> routers_;  // by address; the first one of an address that is listed twice
  std::optional<Address> broadcast_;
  MessageHandler handler_;
  DatagramEndpoint datagrams_;
  std::uint64_t dropped_ = 0;
};

}  // namespace rushhill::transport
