#include "transport/socket_listener.h"

#include <poll.h>

#include <cerrno>

#include "transport/loop.h"
#include "transport/sockets.h"

namespace rushhill::transport {
namespace {

constexpr int accepted_at_once = 64;  // connections an iteration, so that open ones get their part
constexpr Time accept_pause = 100;    // tenths of a millisecond, when there is no room or no descriptor left

}  // namespace

SocketListener::SocketListener(Loop& loop, FileDescriptor socket, Accepted accepted)
    : loop_(loop), socket_(std::move(socket)), accepted_(std::move(accepted)) {
  set_non_blocking(socket_);
  watch(true);
}

SocketListener::~SocketListener() {
  loop_.withdraw(pause_);
  watch(false);
}

Address SocketListener::address() const { return local_address(loop_.system(), socket_); }

void SocketListener::take_all() {
  while (take()) {}
}

void SocketListener::watch(bool on) { loop_.watch(socket_.number(), *this, {.readable = on}); }

void SocketListener::on_readable() {
  for (int i = 0; i < accepted_at_once && take(); ++i) {}
}

// What cannot be taken now stays in the queue: a pause instead of spinning on it.
void SocketListener::pause() {
  watch(false);
  loop_.withdraw(pause_);
  pause_ = loop_.at(loop_.now() + accept_pause, [this] { watch(true); });
}

bool SocketListener::take() {
  if (room_) {
    pollfd queue{.fd = socket_.number(), .events = POLLIN, .revents = 0};
    if (::poll(&queue, 1, 0) != 1) return false;  // no room is made for nobody
    if (!room_()) {
      pause();
      return false;
    }
  }
  SystemCalls& system = loop_.system();
  const int accepted = system.accept4(socket_.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted < 0) {
    if (!would_block(errno) && errno != ECONNABORTED) pause();  // no descriptor left
    return false;
  }
  accepted_(SocketArrival(FileDescriptor(system, accepted)));
  return true;
}

}  // namespace rushhill::transport
