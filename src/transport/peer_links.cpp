#include "transport/peer_links.h"

#include <charconv>
#include <stdexcept>
#include <utility>

namespace rushhill::transport {
namespace {

// A datagram consists of this prefix, the sender's number in digits, a line feed and the message.
constexpr std::string_view datagram_prefix = "rushhill-peer-1 ";
constexpr std::string_view inherited_prefix = "fd:";
constexpr std::size_t max_message_bytes = 256;

std::vector<std::optional<Address>> parse_addresses(const std::vector<std::string>& texts) {
  std::vector<std::optional<Address>> addresses;
  for (const std::string& text : texts) {
    addresses.push_back(text.empty() ? std::nullopt : std::optional(numeric_address(text)));
  }
  return addresses;
}

DatagramEndpoint open_endpoint(Reactor& reactor, const std::string& listen, DatagramHandler handler) {
  if (listen.starts_with(inherited_prefix))
    return {reactor, std::stoi(listen.substr(inherited_prefix.size())), std::move(handler)};
  return {reactor, numeric_address(listen), std::move(handler)};
}

}  // namespace

PeerLinks::PeerLinks(Reactor& reactor, const std::string& listen, int own_number,
                     const std::vector<std::string>& addresses, MessageHandler handler)
    : own_number_(own_number), addresses_(parse_addresses(addresses)), handler_(std::move(handler)),
      datagrams_(open_endpoint(
          reactor, listen, [this](const Address& from, std::string_view bytes) { receive(from, bytes); })) {}

void PeerLinks::send(int router, const std::string& bytes) {
  const std::string message = std::string(datagram_prefix) + std::to_string(own_number_) + "\n" + bytes;
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    const bool is_recipient = router < 0 ? static_cast<int>(i) != own_number_ : static_cast<int>(i) == router;
    const std::optional<Address>& address = addresses_[i];
    if (is_recipient && address && !datagrams_.send(*address, message)) ++dropped_;
  }
}

// A message is accepted only if it comes from the address of the router that it names as its sender.
void PeerLinks::receive(const Address& from, std::string_view bytes) {
  const std::size_t end = bytes.find('\n');
  if (!bytes.starts_with(datagram_prefix) || end == std::string_view::npos ||
      bytes.size() - end - 1 > max_message_bytes)
    return;
  std::size_t sender = 0;
  const char* last = bytes.data() + end;
  const auto [parsed_end, error] = std::from_chars(bytes.data() + datagram_prefix.size(), last, sender);
  if (error != std::errc{} || parsed_end != last || sender >= addresses_.size()) return;
  const std::optional<Address>& address = addresses_[sender];
  if (static_cast<int>(sender) == own_number_ || !address || *address != from) return;
  handler_(static_cast<int>(sender), std::string(bytes.substr(end + 1)));
}

}  // namespace rushhill::transport
