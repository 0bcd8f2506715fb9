#include "frontends/fastcgi_front.h"

#include <algorithm>
#include <vector>

#include "frontends/fastcgi_connection.h"

namespace rushhill::frontends {
namespace {

constexpr Time sweep_period = 1'000;  // tenths of a millisecond; short beside the time-outs of connections

}  // namespace

FastCgiFront::FastCgiFront(transport::Reactor& reactor, core::Gateway& gateway, core::EventLog& log,
                           const FastCgiRules& rules, core::MemoryBudgets& memory)
    : reactor_(reactor), gateway_(gateway), log_(log), memory_(memory), rules_(rules),
      source_(gateway.add_source(1)), connections_(reactor, log, rules.connections) {
  close_timed_out();
}
FastCgiFront::~FastCgiFront() { reactor_.cancel(sweep_timer_); }

transport::Address FastCgiFront::listen(const transport::Address& address) {
  const auto accept = [this](const transport::PendingConnection& pending) {
    connections_.accept(pending, [&] { return std::make_shared<Connection>(*this, pending); });
  };
  // Shared with this router's previous process, which accepts until it has ended.
  constexpr bool shared = true;
  return connections_.accept_from(std::make_unique<transport::Listener>(reactor_, address, shared, accept));
}

void FastCgiFront::stop_listening() { connections_.stop_accepting(); }

std::size_t FastCgiFront::open_requests() const {
  std::size_t open = 0;
  for (const auto& [connection, share] : connections_) open += connection->open_requests();
  return open;
}

bool FastCgiFront::all_sent() const {
  return std::ranges::all_of(connections_, [](const auto& item) { return item.first->all_sent(); });
}

void FastCgiFront::finish() {
  for (const auto& [connection, share] : connections_) connection->finish();
}

void FastCgiFront::close_timed_out() {
  const Time now = reactor_.now();
  sweep_timer_ = reactor_.at(now + sweep_period, [this] { close_timed_out(); });
  std::vector<Connection*> timed_out;
  for (const auto& [connection, share] : connections_) {
    if (connection->has_timed_out(now)) timed_out.push_back(connection);
  }
  for (Connection* connection : timed_out) connections_.remove(*connection, ConnectionEnd::by_gateway);
}

void FastCgiFront::close_soon() {
  reactor_.cancel(sweep_timer_);
  sweep_timer_ = reactor_.at(reactor_.now(), [this] { close_timed_out(); });
}

Duration FastCgiFront::time_left(Duration requested, Time age) const {
  const Time left = std::max<Time>(to_ticks(requested) - age, 1);
  return to_duration(answer_by_ == 0 ? left : std::min(left, answer_by_ - reactor_.now()));
}

}  // namespace rushhill::frontends
