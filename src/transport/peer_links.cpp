#include "transport/peer_links.h"

#include <charconv>
#include <stdexcept>
#include <utility>

namespace rushhill::transport {
namespace {

constexpr std::string_view mark = "rushhill-peer-1 ";  // then the sender's number, a line feed, the bytes
constexpr std::size_t most_bytes = 256;                // of the module's message

std::vector<std::optional<Address>> parsed(const std::vector<std::string>& texts) {
  std::vector<std::optional<Address>> addresses;
  for (const std::string& text : texts) {
    addresses.push_back(text.empty() ? std::nullopt : std::optional(numeric_address(text)));
  }
  return addresses;
}

DatagramEndpoint opened(Reactor& reactor, const std::string& listen, transport::DatagramHandler heard) {
  if (listen.starts_with("fd:")) return {reactor, std::stoi(listen.substr(3)), std::move(heard)};
  return {reactor, numeric_address(listen), std::move(heard)};
}

}  // namespace

PeerLinks::PeerLinks(Reactor& reactor, const std::string& listen, int me,
                     const std::vector<std::string>& addresses, Heard heard)
    : me_(me), addresses_(parsed(addresses)), heard_(std::move(heard)),
      datagrams_(opened(reactor, listen,
                        [this](const Address& from, std::string_view bytes) { hear(from, bytes); })) {}

void PeerLinks::send(int router, const std::string& bytes) {
  const std::string message = std::string(mark) + std::to_string(me_) + "\n" + bytes;
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    const bool meant = router < 0 ? static_cast<int>(i) != me_ : static_cast<int>(i) == router;
    if (meant && addresses_[i] && !datagrams_.send(*addresses_[i], message)) ++dropped_;
  }
}

// A message counts only where it comes from the address of the router that it says it is from.
void PeerLinks::hear(const Address& from, std::string_view bytes) {
  const std::size_t end = bytes.find('\n');
  if (!bytes.starts_with(mark) || end == std::string_view::npos || bytes.size() - end - 1 > most_bytes)
    return;
  std::size_t sender = 0;
  const char* last = bytes.data() + end;
  const auto [stop, error] = std::from_chars(bytes.data() + mark.size(), last, sender);
  if (error != std::errc{} || stop != last || sender >= addresses_.size()) return;
  if (static_cast<int>(sender) == me_ || !addresses_[sender] || *addresses_[sender] != from) return;
  heard_(static_cast<int>(sender), std::string(bytes.substr(end + 1)));
}

}  // namespace rushhill::transport
