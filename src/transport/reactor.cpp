#include "transport/reactor.h"

#include <Poco/Net/IPAddress.h>
#include <time.h>

#include <charconv>
#include <stdexcept>

namespace rushhill::transport {

namespace net = Poco::Net;

std::int64_t monotonic_ns() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<std::int64_t>(now.tv_sec) * 1'000'000'000 + now.tv_nsec;
}

Address numeric_address(const std::string& text) {
  const auto colon = text.rfind(':');
  std::string host = text.substr(0, colon == std::string::npos ? 0 : colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  net::IPAddress ip_address;
  unsigned port = 65536;
  const char* first = text.data() + (colon == std::string::npos ? text.size() : colon + 1);
  const auto [end, error] = std::from_chars(first, text.data() + text.size(), port);
  if (error != std::errc{} || end != text.data() + text.size() || port > 65535 ||
      !net::IPAddress::tryParse(host, ip_address))
    throw std::invalid_argument("'" + text +
                                "' is not a numeric IP address with a port, such as 127.0.0.1:8080");
  return {ip_address, static_cast<Poco::UInt16>(port)};
}

std::shared_ptr<Stream> Stream::connect(Reactor& reactor, const Address& address, StreamHandler& handler) {
  return reactor.connect(address, handler);
}
std::shared_ptr<Stream> Stream::adopt(Reactor& reactor, const PendingConnection& connection,
                                      StreamHandler& handler) {
  return reactor.adopt(connection, handler);
}

}  // namespace rushhill::transport
