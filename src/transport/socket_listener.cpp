#include "transport/socket_listener.h"

#include <cerrno>

#include "transport/loop.h"
#include "transport/sockets.h"

namespace rushhill::transport {
namespace {

constexpr int max_accepted_at_once = 64;  // connections an iteration, so that open ones get their share
constexpr int max_lost_at_once = 16;      // failures in a row until a pause; each may be one connection's
constexpr Time no_capacity_pause = 100;   // tenths of a millisecond
// For accept_all():
constexpr int max_lost_in_all = 8'192;  // more than a full queue's
constexpr int max_rests = 50;  // together half of the time in which a client's leaving is to be known
constexpr int rest_ms = 1;

}  // namespace

SocketListener::SocketListener(Loop& loop, FileDescriptor socket, AcceptHandler handler)
    : loop_(loop), socket_(std::move(socket)), handler_(std::move(handler)) {
  set_non_blocking(socket_);
  watch(true);
}

SocketListener::~SocketListener() {
  loop_.cancel(pause_timer_);
  watch(false);
}

Address SocketListener::address() const { return local_address(loop_.system(), socket_); }

// The system has accepted the connections in the queue for us, and their peers may have sent requests
// already: no failure ends this before the queue is empty, but those that last for longer than the loop may
// be blocked.
void SocketListener::accept_all() {
  int lost = 0;
  int rests = 0;
  while (lost < max_lost_in_all && rests < max_rests) {
    const AcceptResult result = accept();
    if (result == AcceptResult::queue_empty || result == AcceptResult::no_capacity) return;
    if (result == AcceptResult::connection_lost) ++lost;
    if (result != AcceptResult::resources_exhausted) continue;
    ++rests;
    loop_.system().poll(nullptr, 0, rest_ms);
  }
}

void SocketListener::watch(bool on) { loop_.watch(socket_.number(), *this, {.readable = on}); }

// A connection that was lost in the queue leaves the others to be accepted; where there is nothing but
// failures, a pause instead of spinning on them.
void SocketListener::on_readable() {
  int lost = 0;  // in a row
  for (int i = 0; i < max_accepted_at_once; ++i) {
    const AcceptResult result = accept();
    if (result == AcceptResult::queue_empty) return;
    if (result == AcceptResult::no_capacity) return pause(no_capacity_pause);
    if (result == AcceptResult::accepted) backoff_.succeeded();
    lost = result == AcceptResult::connection_lost ? lost + 1 : 0;
    if (result == AcceptResult::resources_exhausted || lost == max_lost_at_once)
      return pause(backoff_.failed());
  }
}

// Connections that cannot be accepted now stay in the queue.
void SocketListener::pause(Time span) {
  watch(false);
  loop_.cancel(pause_timer_);
  pause_timer_ = loop_.at(loop_.now() + span, [this] { watch(true); });
}

// Whether a connection waits: only then is the predicate asked, which may reserve capacity.
SocketListener::AcceptResult SocketListener::next_waiting() {
  pollfd queue{.fd = socket_.number(), .events = POLLIN, .revents = 0};
  const int ready = loop_.system().poll(&queue, 1, 0);
  if (ready < 0) return errno == EINTR ? AcceptResult::connection_lost : AcceptResult::resources_exhausted;
  return ready == 0 ? AcceptResult::queue_empty : AcceptResult::accepted;
}

SocketListener::AcceptResult SocketListener::accept() {
  if (has_capacity_) {
    if (const AcceptResult next = next_waiting(); next != AcceptResult::accepted) return next;
    if (!has_capacity_()) return AcceptResult::no_capacity;
  }
  SystemCalls& system = loop_.system();
  const int accepted = system.accept4(socket_.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted < 0) {
    if (errno == EAGAIN || errno == EWOULDBLOCK) return AcceptResult::queue_empty;
    return cannot_accept(errno) ? AcceptResult::resources_exhausted : AcceptResult::connection_lost;
  }
  handler_(AcceptedSocket(FileDescriptor(system, accepted)));
  return AcceptResult::accepted;
}

}  // namespace rushhill::transport
