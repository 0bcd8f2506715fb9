// Short messages between routers as bare datagrams: the module's bytes alone, the sender known by its
// address.
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

class BarePeers final : public core::PeerMessenger {
 public:
  using Heard = std::function<void(int router, const std::string& bytes)>;
  // `addresses` by router number, our own among them; `all`: one address that reaches every router.
  BarePeers(Reactor& reactor, const Address& listen, int me, const std::vector<std::string>& addresses,
            const std::string& all, Heard heard);
  void send(int router, const std::string& bytes) override;
  std::uint64_t dropped() const { return dropped_; }
  Address address() const { return datagrams_.address(); }

 private:
  void hear(const Address& from, std::string_view bytes);

  int me_;
  std::vector<Address> addresses_;
  std::map<Address, int> routers_;  // by address; of one that stands twice, the first
  std::optional<Address> all_;
  Heard heard_;
  DatagramEndpoint datagrams_;
  std::uint64_t dropped_ = 0;
};

}  // namespace rushhill::transport
