#include "transport/socket_listener.h"

#include <cerrno>

#include "transport/loop.h"
#include "transport/sockets.h"

namespace rushhill::transport {
namespace {

constexpr int accepted_at_once = 64;     // connections an iteration, so that open ones get their part
constexpr int most_lost_at_once = 16;    // failures in a row until a pause; each may be one connection's
constexpr Time no_room_pause = 100;      // tenths of a millisecond
constexpr int most_lost_in_all = 8'192;  // at the end: more than a full queue's
constexpr int most_rests = 50;           // likewise, together half of what a client is owed that leaves then
constexpr int rest_ms = 1;

}  // namespace

SocketListener::SocketListener(Loop& loop, FileDescriptor socket, AcceptHandler accepted)
    : loop_(loop), socket_(std::move(socket)), accepted_(std::move(accepted)) {
  set_non_blocking(socket_);
  watch(true);
}

SocketListener::~SocketListener() {
  loop_.cancel(pause_);
  watch(false);
}

Address SocketListener::address() const { return local_address(loop_.system(), socket_); }

// The system has taken what stands in the queue for us, and its peers may have sent requests already: no
// failure ends this before the queue is empty, but those that last for longer than the loop may stand still.
void SocketListener::accept_all() {
  int lost = 0, rests = 0;
  while (lost < most_lost_in_all && rests < most_rests) {
    const Taken taken = take();
    if (taken == Taken::none_waiting || taken == Taken::no_room) return;
    if (taken == Taken::lost_one) ++lost;
    if (taken != Taken::machine_lacks) continue;
    ++rests;
    loop_.system().poll(nullptr, 0, rest_ms);
  }
}

void SocketListener::watch(bool on) { loop_.watch(socket_.number(), *this, {.readable = on}); }

// A connection that was lost in the queue leaves the others to be taken; where there is nothing else but
// failures, a pause instead of spinning on them.
void SocketListener::on_readable() {
  int lost = 0;
  for (int i = 0; i < accepted_at_once; ++i) {
    switch (take()) {
      case Taken::connection:
        lost = 0;
        backoff_.succeeded();
        break;
      case Taken::none_waiting:
        return;
      case Taken::no_room:
        return pause(no_room_pause);
      case Taken::lost_one:
        if (++lost < most_lost_at_once) break;
        [[fallthrough]];
      case Taken::machine_lacks:
        return pause(backoff_.failed());
    }
  }
}

// What cannot be taken now stays in the queue.
void SocketListener::pause(Time span) {
  watch(false);
  loop_.cancel(pause_);
  pause_ = loop_.at(loop_.now() + span, [this] { watch(true); });
}

// Whether a connection waits: no room is made for nobody.
SocketListener::Taken SocketListener::next_waiting() {
  pollfd queue{.fd = socket_.number(), .events = POLLIN, .revents = 0};
  const int ready = loop_.system().poll(&queue, 1, 0);
  if (ready < 0) return errno == EINTR ? Taken::lost_one : Taken::machine_lacks;
  return ready == 0 ? Taken::none_waiting : Taken::connection;
}

SocketListener::Taken SocketListener::take() {
  if (room_) {
    if (const Taken next = next_waiting(); next != Taken::connection) return next;
    if (!room_()) return Taken::no_room;
  }
  SystemCalls& system = loop_.system();
  const int accepted = system.accept4(socket_.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted < 0) {
    if (errno == EAGAIN || errno == EWOULDBLOCK) return Taken::none_waiting;
    return cannot_accept(errno) ? Taken::machine_lacks : Taken::lost_one;
  }
  accepted_(SocketArrival(FileDescriptor(system, accepted)));
  return Taken::connection;
}

}  // namespace rushhill::transport
