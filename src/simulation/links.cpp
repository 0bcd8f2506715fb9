#include "simulation/links.h"

#include <utility>

namespace rushhill::simulation {
namespace {

constexpr const char* loopback = "127.0.0.1:0";

}  // namespace

Links::Links(transport::Reactor& reactor, const Day& day, std::vector<transport::Address> replicas)
    : reactor_(reactor), day_(day), replicas_(std::move(replicas)), faults_(day) {
  for (int from = 0; from < day_.routers; ++from) {
    for (int to = 0; to < day_.routers; ++to) listen({.from = from, .to = to});
  }
}
Links::~Links() = default;

void Links::listen(Direction direction) {
  listeners_.push_back(std::make_unique<transport::Listener>(
      reactor_, transport::numeric_address(loopback), false,
      [this, direction](const transport::PendingConnection& pending) {
        const transport::Address& there = replicas_[static_cast<std::size_t>(direction.to)];
        const auto connection =
            std::make_shared<LinkedConnection>(reactor_, *this, faults_, direction, pending, there);
        connections_.emplace(connection.get(), connection);
      }));
}

transport::Address Links::address(int from, int to) const {
  return listeners_[static_cast<std::size_t>(from * day_.routers + to)]->address();
}

void Links::play(Time start) {
  for (const Fault& fault : day_.faults) {
    if (!is_link_fault(fault.kind)) continue;
    reactor_.at(start + fault.at, [this, fault] { set_fault(fault, true); });
    reactor_.at(start + fault.at + fault.span, [this, fault] { set_fault(fault, false); });
  }
}

void Links::set_fault(const Fault& fault, bool active) {
  faults_.set(fault, active);
  // What was held back may pass now, by which a connection can end.
  const auto connections = connections_;
  for (const auto& [connection, owned] : connections) {
    if (connections_.contains(connection)) connection->forward_held();
  }
}

void Links::connection_ended(LinkedConnection& connection) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  reactor_.post([ended = it->second] {});
  connections_.erase(it);
}

}  // namespace rushhill::simulation
