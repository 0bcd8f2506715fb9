#include "transport/bare_peers.h"

#include <utility>

namespace rushhill::transport {
namespace {

constexpr std::size_t most_bytes = 256;  // of a datagram, by the platform's protocol

}  // namespace

BarePeers::BarePeers(Reactor& reactor, const Address& listen, int me,
                     const std::vector<std::string>& addresses, const std::string& all, Heard heard)
    : me_(me), heard_(std::move(heard)),
      datagrams_(reactor, listen,
                 [this](const Address& from, std::string_view bytes) { hear(from, bytes); }) {
  for (const std::string& address : addresses) {
    addresses_.push_back(numeric_address(address));
    routers_.try_emplace(addresses_.back(), static_cast<int>(addresses_.size()) - 1);
  }
  if (!all.empty()) all_ = numeric_address(all);
}

void BarePeers::send(int router, const std::string& bytes) {
  if (bytes.size() > most_bytes) return;
  const auto send = [&](const Address& to) { dropped_ += datagrams_.send(to, bytes) ? 0 : 1; };
  if (router < 0 && all_) return send(*all_);
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    const bool meant = router < 0 ? static_cast<int>(i) != me_ : static_cast<int>(i) == router;
    if (meant) send(addresses_[i]);
  }
}

void BarePeers::hear(const Address& from, std::string_view bytes) {
  if (bytes.size() > most_bytes) return;
  const auto it = routers_.find(from);
  if (it != routers_.end() && it->second != me_) heard_(it->second, std::string(bytes));
}

}  // namespace rushhill::transport
