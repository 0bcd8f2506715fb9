// Short messages between routers as datagrams on loopback: bounded, and dropped rather than kept waiting.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/peer_messenger.h"
#include "transport/datagram_endpoint.h"

namespace rushhill::transport {

class PeerLinks final : public core::PeerMessenger {
 public:
  using Heard = std::function<void(int router, const std::string& bytes)>;
  // `addresses` by router number; an empty one is a router that cannot be told.
  PeerLinks(Reactor& reactor, const std::string& listen, int me, const std::vector<std::string>& addresses,
            Heard heard);
  void send(int router, const std::string& bytes) override;
  std::uint64_t dropped() const { return dropped_; }

 private:
  void hear(const Address& from, std::string_view bytes);

  int me_;
  std::vector<std::optional<Address>> addresses_;
  Heard heard_;
  DatagramEndpoint datagrams_;
  std::uint64_t dropped_ = 0;
};

}  // namespace rushhill::transport
