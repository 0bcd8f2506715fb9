#include "transport/socket_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <utility>

#include "transport/loop.h"
#include "transport/sockets.h"

namespace rushhill::transport {
namespace {

// Bytes read in an iteration from a connection that a peer opened; all its open requests fit.
constexpr std::size_t max_iteration_bytes = 1024 * 1024;
constexpr int keepalive_idle_s = 5;      // without a byte, until the system probes whether the peer is there
constexpr int keepalive_interval_s = 1;  // between two probes
constexpr int keepalive_probes = 3;      // without an answer, which end the connection
constexpr int milliseconds_per_second = 1000;
constexpr int max_tries = 8;  // of a call that a signal interrupts
constexpr Time time_units_per_ms = 10;
constexpr Time negligible_age = 200;  // tenths of a millisecond; what is read so soon counts as read at once

}  // namespace

SocketStream::SocketStream(Loop& loop, StreamHandler& handler) : loop_(loop), handler_(&handler) {}

SocketStream::SocketStream(Loop& loop, StreamHandler& handler, FileDescriptor accepted)
    : EventSource(true), loop_(loop), socket_(std::move(accepted)), handler_(&handler) {}

// The socket is made here: a failure for lack of a descriptor is reported like any other loss, as its own
// kind.
void SocketStream::connect(const Address& address) {
  if (!begin_connect(address)) {
    const bool local = cannot_begin(errno);
    socket_.close();
    return local ? fail_to_begin() : lose_soon(CloseReason::connect_failed);
  }
  set_option(loop_.system(), socket_, IPPROTO_TCP, TCP_NODELAY, 1);
  wait_for({.readable = wanted_.readable, .writable = true});
}

// A signal that interrupts connect() leaves the connection to be set up on.
bool SocketStream::begin_connect(const Address& address) {
  SystemCalls& system = loop_.system();
  socket_ =
      FileDescriptor(system, system.socket(address.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket_.open()) return false;
  return system.connect(socket_.number(), address.addr(), address.length()) == 0 || errno == EINPROGRESS ||
         errno == EINTR;
}

// Reported after a pause: the handler may try again at once, and must not spin.
void SocketStream::fail_to_begin() {
  begin_pause_ = loop_.at(loop_.now() + loop_.connect_backoff().failed(),
                          [self = shared_from_this()] { self->lose(CloseReason::not_started); });
}

void SocketStream::establish() {
  established_ = true;
  arrived_after_ = loop_.looked_before();
  set_option(loop_.system(), socket_, IPPROTO_TCP, TCP_NODELAY, 1);
  set_reading(true);
}

void SocketStream::write(std::string_view bytes) {
  if (closed()) return;
  unsent_.append(bytes);
  if (established_ && !wanted_.writable && !failed_) flush();
}

bool SocketStream::cancel_unsent(std::size_t from, std::size_t count) {
  if (from < handed_over_ || from - handed_over_ + count > unsent_.size()) return false;
  unsent_.erase(from - handed_over_, count);
  return true;
}

void SocketStream::send_deferred() {
  deferred_ = false;
  if (closed() || failed_) return;
  flush();
  if (unsent_.empty() && !closed()) handler_->on_write_drained();
}

void SocketStream::flush() {
  if (!opened_by_peer() && !unsent_.empty() && !loop_.may_send()) {
    if (!std::exchange(deferred_, true)) loop_.send_later(weak_from_this());
    return;
  }
  if (!send_unsent()) return;
  wait_for({.readable = wanted_.readable, .writable = !unsent_.empty()});
  if (unsent_.empty() && finishing_) end_our_side();
}

// Hands over as much as the system takes. False: the connection has failed.
bool SocketStream::send_unsent() {
  while (!unsent_.empty() && !sending_paused_) {
    const std::size_t part = std::min(unsent_.size(), loop_.most_at_once);
    const auto sent =
        loop_.system().send(socket_.number(), unsent_.waiting().data(), part, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) return survives_send_failure(errno);
    send_backoff_.succeeded();
    handed_over_ += static_cast<std::size_t>(sent);
    unsent_.consume(static_cast<std::size_t>(sent));
    const bool small_part = part < unsent_.size() && part < loop_.read_buffer().size();
    if (small_part) break;  // one at a time, for tests
  }
  return true;
}

bool SocketStream::survives_send_failure(int error) {
  if (would_block(error)) return true;
  if (out_of_memory(error)) {
    pause_sending();
    return true;
  }
  unsent_.clear();
  failed_ = true;
  // Not from within the handler's own call to write().
  loop_.post([self = shared_from_this()] { self->lose_when_read(); });
  return false;
}

// The handler is notified only where bytes had to wait.
void SocketStream::flush_and_notify() {
  const bool waited = !unsent_.empty();
  flush();
  if (waited && unsent_.empty() && !closed()) handler_->on_write_drained();
}

void SocketStream::set_reading(bool on) { wait_for({.readable = on, .writable = wanted_.writable}); }

void SocketStream::wait_for(Interest interest) {
  wanted_ = interest;
  update_watch();
}

void SocketStream::update_watch() {
  if (closed() || !socket_.open()) return;
  loop_.watch(
      socket_.number(), *this,
      {.readable = wanted_.readable && !reading_paused_, .writable = wanted_.writable && !sending_paused_});
}

void SocketStream::pause_reading() {
  reading_paused_ = true;
  read_pause_ = loop_.at(loop_.now() + read_backoff_.failed(), [self = shared_from_this()] {
    self->reading_paused_ = false;
    self->update_watch();
  });
  update_watch();
}

void SocketStream::pause_sending() {
  sending_paused_ = true;
  send_pause_ =
      loop_.at(loop_.now() + send_backoff_.failed(), [self = shared_from_this()] { self->resume_sending(); });
}

void SocketStream::resume_sending() {
  sending_paused_ = false;
  if (closed() || failed_) return;
  flush_and_notify();
}

// A call that a signal interrupts is made again: its result is not known otherwise.
ssize_t SocketStream::receive(char* bytes, std::size_t count, int flags) {
  ssize_t got = -1;
  for (int tries = 0; tries < max_tries; ++tries) {
    got = loop_.system().recv(socket_.number(), bytes, count, flags | MSG_DONTWAIT);
    if (got >= 0 || errno != EINTR) break;
  }
  return got;
}

void SocketStream::end_our_side() { loop_.system().shutdown(socket_.number(), SHUT_WR); }

Stream::Peeked SocketStream::peek() {
  char byte = 0;
  const auto got = receive(&byte, 1, MSG_PEEK);
  if (got > 0) return Peeked::bytes;
  if (got == 0) return Peeked::end;
  if (errno == EAGAIN || errno == EWOULDBLOCK) return Peeked::nothing;
  // Not known: something may stand there.
  return errno == EINTR || out_of_memory(errno) ? Peeked::bytes : Peeked::end;
}

std::size_t SocketStream::max_read_bytes() const {
  return std::min(loop_.most_at_once, loop_.read_buffer().size());
}

void SocketStream::on_readable() {
  if (closed() || !established_) return;
  const auto self = shared_from_this();
  const std::size_t max_bytes = max_read_bytes();
  std::vector<char>& buffer = loop_.read_buffer();
  std::size_t read = 0;
  do {
    measure_unread_age();
    const auto got = receive(buffer.data(), max_bytes, 0);
    if (got < 0 && would_block(errno)) return;
    if (got < 0 && out_of_memory(errno)) return pause_reading();
    if (got < 0) return lose(CloseReason::reset);
    if (got == 0) return lose(CloseReason::closed_by_peer);
    read_backoff_.succeeded();
    read += static_cast<std::size_t>(got);
    handler_->on_data({buffer.data(), static_cast<std::size_t>(got)});
  } while (opened_by_peer() && !closed() && wanted_.readable && read < max_iteration_bytes);
}

// Measured before the bytes are read, and only where the loop polled so late that they may have waited. No
// longer than since the loop last polled, whatever the system says.
void SocketStream::measure_unread_age() {
  if (!opened_by_peer()) return;
  const Time arrived_after = std::min(loop_.looked_before(), arrived_after_.value_or(loop_.looked_before()));
  arrived_after_.reset();
  const Time at_most = loop_.now() - arrived_after;
  unread_age_ = at_most > negligible_age ? std::min(since_last_data(), at_most) : 0;
}

// By the system; 0 where it does not know.
Time SocketStream::since_last_data() const {
  tcp_info info{};
  socklen_t length = sizeof info;
  if (loop_.system().getsockopt(socket_.number(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) return 0;
  if (length < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return 0;
  return info.tcpi_last_data_recv * time_units_per_ms;
}

void SocketStream::on_writable() {
  if (closed()) return;
  const auto self = shared_from_this();
  if (!established_) finish_connect();
  if (closed() || !established_) return;
  flush_and_notify();
}

// Where even its error cannot be read, nothing has left on it all the same.
void SocketStream::finish_connect() {
  int error = 0;
  socklen_t length = sizeof error;
  const bool known = loop_.system().getsockopt(socket_.number(), SOL_SOCKET, SO_ERROR, &error, &length) == 0;
  if (!known || cannot_begin(error)) {
    wait_for({});
    socket_.close();
    return fail_to_begin();
  }
  if (error != 0) return lose(CloseReason::connect_failed);
  loop_.connect_backoff().succeeded();
  established_ = true;
  set_reading(true);
  handler_->on_connected();
}

void SocketStream::lose(CloseReason why) {
  if (closed()) return;
  StreamHandler* handler = handler_;
  close();
  handler->on_closed(why);
}

void SocketStream::lose_soon(CloseReason why) {
  loop_.post([self = shared_from_this(), why] { self->lose(why); });
}

// What the peer sent before it reset the connection can still be read, and may be all that is known of what
// it did.
void SocketStream::lose_when_read() {
  const std::size_t max_bytes = max_read_bytes();
  std::vector<char>& buffer = loop_.read_buffer();
  while (!closed() && wanted_.readable) {
    measure_unread_age();
    const auto got = receive(buffer.data(), max_bytes, 0);
    if (got <= 0) break;
    handler_->on_data({buffer.data(), static_cast<std::size_t>(got)});
  }
  lose(CloseReason::reset);
}

void SocketStream::shutdown_write() {
  if (closed() || std::exchange(finishing_, true)) return;
  if (unsent_.empty() && established_) end_our_side();
}

void SocketStream::close() {
  if (closed()) return;
  for (core::Timer* pause : {&read_pause_, &send_pause_, &begin_pause_}) loop_.cancel(*pause);
  wait_for({});
  handler_ = nullptr;
  unsent_.clear();
  socket_.close();
}

void SocketStream::reset() {
  if (closed()) return;
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  loop_.system().setsockopt(socket_.number(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

void SocketStream::keepalive() {
  if (closed()) return;
  SystemCalls& system = loop_.system();
  set_option(system, socket_, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(system, socket_, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
  set_option(system, socket_, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
  set_option(system, socket_, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
  // The same bound for what we have written and the peer has not taken.
  const int silence_s = keepalive_idle_s + keepalive_probes * keepalive_interval_s;
  set_option(system, socket_, IPPROTO_TCP, TCP_USER_TIMEOUT, silence_s * milliseconds_per_second);
}

}  // namespace rushhill::transport
