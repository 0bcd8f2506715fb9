#include "simulation/discovery_connection.h"

#include <algorithm>
#include <cstddef>

namespace rushhill::simulation {
namespace {

using Json = nlohmann::json;

constexpr std::size_t longest_line = 1024 * 1024;  // bytes

}  // namespace

DiscoveryConnection::DiscoveryConnection(transport::Reactor& reactor, DiscoveryConnectionOwner& owner,
                                         const transport::PendingConnection& pending)
    : owner_(owner) {
  stream_ = transport::Stream::adopt(reactor, pending, *this);
}
DiscoveryConnection::~DiscoveryConnection() { stream_->close(); }

Time DiscoveryConnection::reserve_moment(Time due) {
  last_moment_ = std::max(due, last_moment_);
  return last_moment_;
}

void DiscoveryConnection::on_data(std::string_view bytes) {
  input_ += bytes;
  for (std::size_t end = input_.find('\n'); end != std::string::npos; end = input_.find('\n')) {
    const Json message = Json::parse(input_.substr(0, end), nullptr, false);
    input_.erase(0, end + 1);
    if (!message.is_object()) return close();
    receive(message);
  }
  if (input_.size() > longest_line) close();
}

void DiscoveryConnection::receive(const Json& message) {
  if (message.contains("announce")) owner_.announce(message["announce"]);
  if (!message.contains("ask")) return;
  router_ = message.value("router", 0);
  const std::string request = message.value("ask", "");
  if (request == "rest") follows_ = false;
  if (request == "follow") follows_ = true;
  if (request == "follow" || request == "reload") owner_.send_complete_list(*this);
}

void DiscoveryConnection::on_closed(transport::CloseReason) { close(); }

void DiscoveryConnection::close() {
  stream_->close();
  owner_.connection_ended(*this);
}

}  // namespace rushhill::simulation
