#include "frontends/http_front.h"

#include <utility>

#include "frontends/http_connection.h"

namespace rushhill::frontends {

HttpFront::HttpFront(transport::Reactor& reactor, core::Gateway& gateway, const core::RequestReader& intake,
                     core::EventLog& log, const HttpRules& rules)
    : reactor_(reactor), gateway_(gateway), intake_(intake), rules_(rules),
      source_(gateway.add_source(rules.weight)), drain_window_(rules.drain_timeout),
      connections_(reactor, log, static_cast<std::size_t>(rules.connections)) {}
HttpFront::~HttpFront() = default;

transport::Address HttpFront::listen(const transport::Address& address, bool shared) {
  return connections_.accept_from(std::make_unique<transport::Listener>(
      reactor_, address, shared, [this](const auto& pending) { accept(pending); }));
}
transport::Address HttpFront::listen_inherited(int descriptor) {
  return connections_.accept_from(std::make_unique<transport::Listener>(
      reactor_, descriptor, [this](const auto& pending) { accept(pending); }));
}

void HttpFront::accept(const transport::PendingConnection& pending) {
  connections_.accept(pending, [&] { return std::make_shared<Connection>(*this, pending); });
}

void HttpFront::start_draining() {
  draining_ = true;
  drain_window_.start(reactor_.now());
  connections_.stop_accepting();
  for (const auto& [connection, share] : connections_) connection->start_draining();
}

}  // namespace rushhill::frontends
