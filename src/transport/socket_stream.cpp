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

// Bytes read in one turn from a connection that a peer opened. Small requests of so many bytes take about a
// millisecond.
constexpr std::size_t quantum_bytes = 16 * 1024;
constexpr int keepalive_idle_s = 5;      // without any data before the system sends the first probe
constexpr int keepalive_interval_s = 1;  // between two probes
constexpr int keepalive_probes = 3;      // unanswered probes that end the connection
constexpr int milliseconds_per_second = 1000;
constexpr int max_tries = 8;  // of a call that signals interrupt
constexpr Time time_units_per_ms = 10;
constexpr Time negligible_age = 200;  // tenths of a millisecond; bytes read so soon count as read at once

}  // namespace

SocketStream::SocketStream(Loop& loop, StreamHandler& handler) : loop_(loop), handler_(&handler) {}

SocketStream::SocketStream(Loop& loop, StreamHandler& handler, FileDescriptor accepted)
    : EventSource(true), loop_(loop), socket_(std::move(accepted)), handler_(&handler) {}

// The socket is created here rather than in the constructor, so that a lack of descriptors can be reported to
// the handler with a close reason of its own.
void SocketStream::connect(const Address& address) {
  if (!start_connect(address)) {
    const bool local = is_local_connect_failure(errno);
    socket_.close();
    return local ? report_not_started() : post_close_and_notify(CloseReason::connect_failed);
  }
  set_option(loop_.system(), socket_, IPPROTO_TCP, TCP_NODELAY, 1);
  set_interest({.readable = wanted_.readable, .writable = true});
}

// If a signal interrupts connect(), the system continues to establish the connection.
bool SocketStream::start_connect(const Address& address) {
  SystemCalls& system = loop_.system();
  socket_ =
      FileDescriptor(system, system.socket(address.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket_.open()) return false;
  return system.connect(socket_.number(), address.addr(), address.length()) == 0 || errno == EINPROGRESS ||
         errno == EINTR;
}

// Reports after a pause, because a handler that retries at once would make the loop spin.
void SocketStream::report_not_started() {
  connect_failure_timer_ =
      loop_.at(loop_.now() + loop_.connect_backoff().pause_after_failure(),
               [self = shared_from_this()] { self->close_and_notify(CloseReason::not_started); });
}

void SocketStream::establish() {
  established_ = true;
  arrived_after_ = loop_.previous_poll_at();
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
  is_deferred_ = false;
  if (closed() || failed_) return;
  handler_->on_deferred_send();
  if (closed()) return;
  flush();
  if (unsent_.empty() && !closed()) handler_->on_write_drained();
}

void SocketStream::flush() {
  if (!opened_by_peer() && !unsent_.empty() && !loop_.may_send()) {
    if (!std::exchange(is_deferred_, true)) loop_.defer_send(weak_from_this());
    return;
  }
  if (!send_pending()) return;
  set_interest({.readable = wanted_.readable, .writable = !unsent_.empty()});
  if (unsent_.empty() && shutdown_requested_) shut_down_sending();
}

// Sends as much as the system takes. Returns false if the connection has failed.
bool SocketStream::send_pending() {
  while (!unsent_.empty() && !sending_paused_) {
    const std::size_t part = std::min(unsent_.size(), loop_.max_io_bytes);
    const auto sent =
        loop_.system().send(socket_.number(), unsent_.pending().data(), part, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) return handle_send_failure(errno);
    send_backoff_.record_success();
    handed_over_ += static_cast<std::size_t>(sent);
    unsent_.consume(static_cast<std::size_t>(sent));
    const bool small_part = part < unsent_.size() && part < loop_.read_buffer().size();
    if (small_part) break;  // one part per iteration, so that tests can split messages
  }
  return true;
}

bool SocketStream::handle_send_failure(int error) {
  if (would_block_or_interrupted(error)) return true;
  if (out_of_memory(error)) {
    pause_sending();
    return true;
  }
  unsent_.clear();
  failed_ = true;
  // Posted, because the handler must not be called from within its own call to write().
  loop_.post([self = shared_from_this()] { self->read_rest_and_close(); });
  return false;
}

// Notifies the handler only if there were bytes waiting.
void SocketStream::flush_and_notify() {
  const bool waited = !unsent_.empty();
  if (waited) handler_->on_deferred_send();
  if (closed()) return;
  flush();
  if (waited && unsent_.empty() && !closed()) handler_->on_write_drained();
}

void SocketStream::set_reading(bool on) { set_interest({.readable = on, .writable = wanted_.writable}); }

void SocketStream::set_interest(Interest interest) {
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
  read_pause_timer_ =
      loop_.at(loop_.now() + read_backoff_.pause_after_failure(), [self = shared_from_this()] {
        self->reading_paused_ = false;
        self->update_watch();
      });
  update_watch();
}

void SocketStream::pause_sending() {
  sending_paused_ = true;
  send_pause_timer_ = loop_.at(loop_.now() + send_backoff_.pause_after_failure(),
                               [self = shared_from_this()] { self->resume_sending(); });
}

void SocketStream::resume_sending() {
  sending_paused_ = false;
  if (closed() || failed_) return;
  flush_and_notify();
}

// Repeats a call that a signal interrupts, because its result would be unknown otherwise.
ssize_t SocketStream::receive(char* bytes, std::size_t count, int flags) {
  ssize_t got = -1;
  for (int tries = 0; tries < max_tries; ++tries) {
    got = loop_.system().recv(socket_.number(), bytes, count, flags | MSG_DONTWAIT);
    if (got >= 0 || errno != EINTR) break;
  }
  return got;
}

void SocketStream::shut_down_sending() { loop_.system().shutdown(socket_.number(), SHUT_WR); }

Stream::Peeked SocketStream::peek() {
  char byte = 0;
  const auto got = receive(&byte, 1, MSG_PEEK);
  if (got > 0) return Peeked::bytes;
  if (got == 0) return Peeked::end;
  if (errno == EAGAIN || errno == EWOULDBLOCK) return Peeked::nothing;
  // After these errors it is unknown whether there are bytes to read, so assume that there are.
  return errno == EINTR || out_of_memory(errno) ? Peeked::bytes : Peeked::end;
}

std::size_t SocketStream::max_read_bytes() const {
  const std::size_t wanted_bytes = opened_by_peer() ? quantum_bytes : loop_.read_buffer().size();
  return std::min(loop_.max_io_bytes, wanted_bytes);
}

void SocketStream::on_readable() {
  if (closed() || !established_) return;
  const auto self = shared_from_this();
  std::size_t read = 0;
  while (read < quantum_bytes) {
    const std::size_t got = read_once();
    if (got == 0) return;
    read += got;
    if (!opened_by_peer() || closed() || !wanted_.readable) return arrived_after_.reset();
  }
  loop_.continue_reading(*this);
}

// Returns the number of bytes read, or 0 if there is no more to read at present or the connection has ended.
std::size_t SocketStream::read_once() {
  std::vector<char>& buffer = loop_.read_buffer();
  measure_unread_age();
  const auto got = receive(buffer.data(), max_read_bytes(), 0);
  if (got > 0) {
    const auto count = static_cast<std::size_t>(got);
    read_backoff_.record_success();
    handler_->on_data({buffer.data(), count});
    return count;
  }
  arrived_after_.reset();
  if (got == 0) {
    close_and_notify(CloseReason::closed_by_peer);
  } else if (out_of_memory(errno)) {
    pause_reading();
  } else if (!would_block_or_interrupted(errno)) {
    close_and_notify(CloseReason::reset);
  }
  return 0;
}

bool SocketStream::is_reading_delayed() const { return !closed() && loop_.may_hold_unread(*this); }

// Called before the bytes are read. Asks the system only if the loop polled so late that the bytes may have
// waited. Its answer is capped at the time since the previous iteration's poll, before which they cannot have
// arrived.
void SocketStream::measure_unread_age() {
  const Time arrived_after =
      std::min(loop_.previous_poll_at(), arrived_after_.value_or(loop_.previous_poll_at()));
  if (opened_by_peer()) arrived_after_ = arrived_after;
  const Time max_age = loop_.now() - arrived_after;
  unread_age_ = max_age > negligible_age ? std::min(last_data_age(), max_age) : 0;
}

// Returns how long ago the system received the last data, or 0 if it does not know.
Time SocketStream::last_data_age() const {
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

// If even the error of the connection cannot be read, no byte has been sent on it in any case.
void SocketStream::finish_connect() {
  int error = 0;
  socklen_t length = sizeof error;
  const bool error_known =
      loop_.system().getsockopt(socket_.number(), SOL_SOCKET, SO_ERROR, &error, &length) == 0;
  if (!error_known || is_local_connect_failure(error)) {
    set_interest({});
    socket_.close();
    return report_not_started();
  }
  if (error != 0) return close_and_notify(CloseReason::connect_failed);
  loop_.connect_backoff().record_success();
  established_ = true;
  set_reading(true);
  handler_->on_connected();
}

void SocketStream::close_and_notify(CloseReason why) {
  if (closed()) return;
  StreamHandler* handler = handler_;
  close();
  handler->on_closed(why);
}

void SocketStream::post_close_and_notify(CloseReason why) {
  loop_.post([self = shared_from_this(), why] { self->close_and_notify(why); });
}

// Bytes that the peer sent before it reset the connection can still be read, and may be the only evidence of
// what it did.
void SocketStream::read_rest_and_close() {
  const std::size_t max_bytes = max_read_bytes();
  std::vector<char>& buffer = loop_.read_buffer();
  while (!closed() && wanted_.readable) {
    measure_unread_age();
    const auto got = receive(buffer.data(), max_bytes, 0);
    if (got <= 0) break;
    handler_->on_data({buffer.data(), static_cast<std::size_t>(got)});
  }
  close_and_notify(CloseReason::reset);
}

void SocketStream::shutdown_write() {
  if (closed() || std::exchange(shutdown_requested_, true)) return;
  if (unsent_.empty() && established_) shut_down_sending();
}

void SocketStream::close() {
  if (closed()) return;
  for (core::Timer* pause : {&read_pause_timer_, &send_pause_timer_, &connect_failure_timer_})
    loop_.cancel(*pause);
  set_interest({});
  handler_ = nullptr;
  unsent_.clear();
  socket_.close();
}

void SocketStream::reset() {
  if (closed()) return;
  const linger zero_linger{.l_onoff = 1, .l_linger = 0};
  loop_.system().setsockopt(socket_.number(), SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
  close();
}

void SocketStream::keepalive() {
  if (closed()) return;
  SystemCalls& system = loop_.system();
  set_option(system, socket_, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(system, socket_, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
  set_option(system, socket_, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
  set_option(system, socket_, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
  // The same limit applies to sent bytes that the peer has not acknowledged.
  const int max_silence_s = keepalive_idle_s + keepalive_probes * keepalive_interval_s;
  set_option(system, socket_, IPPROTO_TCP, TCP_USER_TIMEOUT, max_silence_s * milliseconds_per_second);
}

}  // namespace rushhill::transport
