#include "simulation/linked_connection.h"

#include <algorithm>
#include <utility>

namespace rushhill::simulation {
namespace {

constexpr std::size_t most_held = 1024 * 1024;  // bytes in one direction; then the sender has to wait
constexpr Time throttle_interval = 100;  // tenths of a millisecond between two parts of a throttled link
constexpr Time ticks_per_second = 10'000;
constexpr double ticks_per_millisecond = 10;

}  // namespace

LinkedConnection::LinkedConnection(transport::Reactor& reactor, LinkedConnectionOwner& owner,
                                   LinkFaults& faults, Direction direction,
                                   const transport::PendingConnection& pending,
                                   const transport::Address& there)
    : reactor_(reactor), owner_(owner),
      faults_(faults), ends_{End{*this, direction}, End{*this, direction.reversed()}} {
  ends_[0].stream = transport::Stream::adopt(reactor, pending, ends_[0]);
  ends_[1].stream = transport::Stream::connect(reactor, there, ends_[1]);
  if (!faults.active(direction, FaultKind::link_twice)) return;
  duplicate_ = std::make_unique<Duplicate>();
  duplicate_->stream = transport::Stream::connect(reactor, there, *duplicate_);
}

LinkedConnection::~LinkedConnection() {
  for (End& end : ends_) {
    reactor_.cancel(end.timer);
    if (end.stream) end.stream->close();
  }
  if (duplicate_) duplicate_->stream->close();
}

void LinkedConnection::close(bool resets) {
  if (std::exchange(closed_, true)) return;
  for (End& end : ends_) {
    reactor_.cancel(end.timer);
    if (resets) end.stream->reset();
    end.stream->close();
  }
  owner_.connection_ended(*this);
}

void LinkedConnection::forward_held() {
  for (End& end : ends_) forward(end);
}

void LinkedConnection::received(End& end, std::string_view bytes) {
  std::string text(bytes);
  faults_.maybe_garble(end.direction, text);
  if (faults_.active(end.direction, FaultKind::link_cut)) {
    other_end(end).stream->write(faults_.cut(text));
    return close(true);
  }
  const double* delay_ms = faults_.size(end.direction, FaultKind::link_delay);
  const Time delay = delay_ms == nullptr ? 0 : static_cast<Time>(*delay_ms * ticks_per_millisecond);
  end.held.push_back({.due = reactor_.now() + delay, .bytes = std::move(text)});
  end.held_size += bytes.size();
  if (end.held_size > most_held) end.stream->set_reading(false);
  forward(end);
}

void LinkedConnection::forward(End& end) {
  reactor_.cancel(end.timer);
  if (faults_.active(end.direction, FaultKind::link_drop)) return;
  const Time now = reactor_.now();
  forward_due(end, now);
  if (end.held_size <= most_held && !end.over) end.stream->set_reading(true);
  if (end.held.empty()) {
    if (end.over) close(false);
    return;
  }
  const Time when = std::max(end.held.front().due, now + throttle_interval);
  end.timer = reactor_.at(when, [this, &end] { forward(end); });
}

// As much as a throttled link passes within one interval.
void LinkedConnection::forward_due(End& end, Time now) {
  std::size_t left = allowance(end);
  while (!end.held.empty() && end.held.front().due <= now && left > 0) {
    std::string& bytes = end.held.front().bytes;
    const std::string part = bytes.substr(0, left);
    left -= part.size();
    end.held_size -= part.size();
    write(end, part);
    bytes.erase(0, part.size());
    if (bytes.empty()) end.held.pop_front();
  }
}

void LinkedConnection::write(const End& end, const std::string& bytes) {
  other_end(end).stream->write(bytes);
  if (duplicate_ && &end == &ends_[0] && !duplicate_->over) duplicate_->stream->write(bytes);
}

std::size_t LinkedConnection::allowance(const End& end) const {
  const double* bytes_per_second = faults_.size(end.direction, FaultKind::link_throttle);
  if (bytes_per_second == nullptr) return most_held * 2;
  const auto allowed = static_cast<std::size_t>(*bytes_per_second * throttle_interval / ticks_per_second);
  return std::max<std::size_t>(allowed, 1);
}

// Also the end of a connection does not pass a link that is down.
void LinkedConnection::closed(End& end, transport::CloseReason reason) {
  end.over = true;
  const bool broken = reason != transport::CloseReason::closed_by_peer;
  if (broken && end.held.empty() && !faults_.active(end.direction, FaultKind::link_drop))
    return close(reason == transport::CloseReason::reset);
  forward(end);
}

}  // namespace rushhill::simulation
