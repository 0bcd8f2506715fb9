#include "transport/unframed_peer_links.h"

#include <utility>

namespace rushhill::transport {
namespace {

constexpr std::size_t max_message_bytes = 256;  // the limit of the platform's protocol

}  // namespace

UnframedPeerLinks::UnframedPeerLinks(Reactor& reactor, const Address& listen, int own_number,
                                     const std::vector<std::string>& addresses, const std::string& broadcast,
                                     MessageHandler handler)
    : own_number_(own_number), handler_(std::move(handler)),
      datagrams_(reactor, listen,
                 [this](const Address& from, std::string_view bytes) { receive(from, bytes); }) {
  for (const std::string& address : addresses) {
    addresses_.push_back(numeric_address(address));
    routers_.try_emplace(addresses_.back(), static_cast<int>(addresses_.size()) - 1);
  }
  if (!broadcast.empty()) broadcast_ = numeric_address(broadcast);
}

void UnframedPeerLinks::send(int router, const std::string& bytes) {
  if (bytes.size() > max_message_bytes) return;
  const auto send_to = [&](const Address& to) { dropped_ += datagrams_.send(to, bytes) ? 0 : 1; };
  if (router < 0 && broadcast_) return send_to(*broadcast_);
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    const bool is_recipient = router < 0 ? static_cast<int>(i) != own_number_ : static_cast<int>(i) == router;
    if (is_recipient) send_to(addresses_[i]);
  }
}

void UnframedPeerLinks::receive(const Address& from, std::string_view bytes) {
  if (bytes.size() > max_message_bytes) return;
  const auto it = routers_.find(from);
  if (it != routers_.end() && it->second != own_number_) handler_(it->second, std::string(bytes));
}

}  // namespace rushhill::transport
