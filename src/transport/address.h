// Network addresses. Names are never looked up.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>

namespace rushhill::transport {

using Address = Poco::Net::SocketAddress;

// An address from digits alone; throws std::invalid_argument for anything that would need a look-up.
Address numeric_address(const std::string& text);

}  // namespace rushhill::transport
