// Network addresses. Host names are never resolved.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>

namespace rushhill::transport {

using Address = Poco::Net::SocketAddress;

// Parses a numeric IP address with a port, such as 127.0.0.1:8080. Throws std::invalid_argument for anything
// else, such as a host name.
Address numeric_address(const std::string& text);

}  // namespace rushhill::transport
