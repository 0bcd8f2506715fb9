#include "transport/socket_listener.h"

#include <cerrno>

#include "transport/loop.h"
#include "transport/sockets.h"

namespace rushhill::transport {
namespace {

constexpr int max_accepted_at_once = 64;  // connections per iteration, so that open ones are served too
constexpr int max_lost_at_once = 16;     // consecutive failures before a pause; each may be of one connection
constexpr Time no_capacity_pause = 100;  // tenths of a millisecond
// Limits of accept_all().
constexpr int max_lost_in_accept_all = 8'192;  // more than the connections in a full queue
constexpr int max_pauses = 50;  // in total, half of the time within which a client's disconnect must be known
constexpr int pause_ms = 1;

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

// The system has already established the connections in the queue, and their peers may have sent requests. So
// failures do not end this before the queue is empty, unless they last longer than the loop may be blocked.
void SocketListener::accept_all() {
  int lost = 0;
  int pauses = 0;
  while (lost < max_lost_in_accept_all && pauses < max_pauses) {
    const AcceptResult result = accept();
    if (result == AcceptResult::queue_empty || result == AcceptResult::no_capacity) return;
    if (result == AcceptResult::connection_lost) ++lost;
    if (result != AcceptResult::resources_exhausted) continue;
    ++pauses;
    loop_.system().poll(nullptr, 0, pause_ms);
  }
}

void SocketListener::watch(bool on) { loop_.watch(socket_.number(), *this, {.readable = on}); }

// A connection that was lost in the queue does not keep the others from being accepted. If there are only
// failures, the listener pauses instead of spinning on them.
void SocketListener::on_readable() {
  int lost = 0;  // in a row
  for (int i = 0; i < max_accepted_at_once; ++i) {
    const AcceptResult result = accept();
    if (result == AcceptResult::queue_empty) return;
    if (result == AcceptResult::no_capacity) return pause(no_capacity_pause);
    if (result == AcceptResult::accepted) backoff_.record_success();
    lost = result == AcceptResult::connection_lost ? lost + 1 : 0;
    if (result == AcceptResult::resources_exhausted || lost == max_lost_at_once)
      return pause(backoff_.pause_after_failure());
  }
}

// Stops accepting for a while; connections stay in the queue.
void SocketListener::pause(Time span) {
  watch(false);
  loop_.cancel(pause_timer_);
  pause_timer_ = loop_.at(loop_.now() + span, [this] { watch(true); });
}

// Returns `accepted` if a connection is in the queue. The predicate of accept_while() is called only then,
// because it may reserve capacity.
SocketListener::AcceptResult SocketListener::check_queue() {
  pollfd queue{.fd = socket_.number(), .events = POLLIN, .revents = 0};
  const int ready = loop_.system().poll(&queue, 1, 0);
  if (ready < 0) return errno == EINTR ? AcceptResult::connection_lost : AcceptResult::resources_exhausted;
  return ready == 0 ? AcceptResult::queue_empty : AcceptResult::accepted;
}

SocketListener::AcceptResult SocketListener::accept() {
  if (has_capacity_) {
    if (const AcceptResult next = check_queue(); next != AcceptResult::accepted) return next;
    if (!has_capacity_()) return AcceptResult::no_capacity;
  }
  SystemCalls& system = loop_.system();
  const int accepted = system.accept4(socket_.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted < 0) {
    if (errno == EAGAIN || errno == EWOULDBLOCK) return AcceptResult::queue_empty;
    return is_local_accept_failure(errno) ? AcceptResult::resources_exhausted : AcceptResult::connection_lost;
  }
  handler_(AcceptedSocket(FileDescriptor(system, accepted)));
  return AcceptResult::accepted;
}

}  // namespace rushhill::transport
