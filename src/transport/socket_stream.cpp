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

constexpr std::size_t most_an_iteration =
    1024 * 1024;                   // bytes of one that came to us; all its open requests fit
constexpr int keepalive_idle = 5;  // seconds without a word until the system asks whether the peer is there
constexpr int keepalive_interval = 1;  // seconds between two such questions
constexpr int keepalive_probes = 3;    // questions without an answer that end the connection
constexpr int milliseconds_per_second = 1000;
constexpr int most_tries = 8;  // of a call that fails for a moment
constexpr Time time_units_per_ms = 10;
constexpr Time in_time = 200;  // tenths of a millisecond; what was read so soon has not stood unread

}  // namespace

SocketStream::SocketStream(Loop& loop, StreamHandler& user) : loop_(loop), user_(&user) {}

SocketStream::SocketStream(Loop& loop, StreamHandler& user, FileDescriptor accepted)
    : EventSource(true), loop_(loop), socket_(std::move(accepted)), user_(&user) {}

// The socket is made here: what fails for want of a descriptor is a loss like any other, and its own kind.
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

// Told after a pause: whoever hears of it may try again at once, and must not spin.
void SocketStream::fail_to_begin() {
  begin_pause_ = loop_.at(loop_.now() + loop_.connect_backoff().failed(),
                          [self = shared_from_this()] { self->lose(CloseReason::not_started); });
}

void SocketStream::establish() {
  established_ = true;
  came_after_ = loop_.looked_before();
  set_option(loop_.system(), socket_, IPPROTO_TCP, TCP_NODELAY, 1);
  set_reading(true);
}

void SocketStream::write(std::string_view bytes) {
  if (closed()) return;
  out_ += bytes;
  if (established_ && !wanted_.writable && !failed_) flush();
}

bool SocketStream::cancel_unsent(std::size_t from, std::size_t count) {
  if (from < handed_over_ || from - handed_over_ + count > out_.size()) return false;
  out_.erase(from - handed_over_, count);
  return true;
}

void SocketStream::send_deferred() {
  deferred_ = false;
  if (closed() || failed_) return;
  flush();
  if (out_.empty() && !closed()) user_->on_write_drained();
}

void SocketStream::flush() {
  if (!opened_by_peer() && !out_.empty() && !loop_.may_send()) {
    if (!std::exchange(deferred_, true)) loop_.send_later(weak_from_this());
    return;
  }
  while (!out_.empty() && !sending_paused_) {
    const std::size_t part = std::min(out_.size(), loop_.most_at_once);
    const auto sent = loop_.system().send(socket_.number(), out_.data(), part, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      if (would_block(errno)) break;
      if (out_of_memory(errno)) {
        pause_sending();
        break;
      }
      out_.clear();
      failed_ = true;
      // Not from within the user's own call to write().
      loop_.post([self = shared_from_this()] { self->lose_when_read(); });
      return;
    }
    send_backoff_.succeeded();
    handed_over_ += static_cast<std::size_t>(sent);
    out_.erase(0, static_cast<std::size_t>(sent));
    const bool small_part = part < out_.size() && part < loop_.read_buffer().size();
    if (small_part) break;  // one at a time, for tests
  }
  if (out_.empty()) out_ = {};  // an idle stream holds no memory for what it has sent
  wait_for({.readable = wanted_.readable, .writable = !out_.empty()});
  if (out_.empty() && finishing_) end_our_side();
}

void SocketStream::set_reading(bool on) { wait_for({.readable = on, .writable = wanted_.writable}); }

void SocketStream::wait_for(Interest wanted) {
  wanted_ = wanted;
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
  const bool waited = !out_.empty();
  flush();
  if (waited && out_.empty() && !closed()) user_->on_write_drained();
}

// A call that a signal interrupts is made again: what it would have told is not known else.
ssize_t SocketStream::receive(char* bytes, std::size_t count, int flags) {
  ssize_t got = -1;
  for (int tries = 0; tries < most_tries; ++tries) {
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

std::size_t SocketStream::most_read() const {
  return std::min(loop_.most_at_once, loop_.read_buffer().size());
}

void SocketStream::on_readable() {
  if (closed() || !established_) return;
  const auto self = shared_from_this();
  const std::size_t most = most_read();
  std::vector<char>& buffer = loop_.read_buffer();
  std::size_t read = 0;
  do {
    note_unread_for();
    const auto got = receive(buffer.data(), most, 0);
    if (got < 0 && would_block(errno)) return;
    if (got < 0 && out_of_memory(errno)) return pause_reading();
    if (got < 0) return lose(CloseReason::reset);
    if (got == 0) return lose(CloseReason::closed_by_peer);
    read_backoff_.succeeded();
    read += static_cast<std::size_t>(got);
    user_->on_data({buffer.data(), static_cast<std::size_t>(got)});
  } while (opened_by_peer() && !closed() && wanted_.readable && read < most_an_iteration);
}

// Asked before the bytes are read, and only where the loop turned so late that they may have stood here. No
// more than since the loop last looked, whatever the system says.
void SocketStream::note_unread_for() {
  if (!opened_by_peer()) return;
  const Time came_after = std::min(loop_.looked_before(), came_after_.value_or(loop_.looked_before()));
  came_after_.reset();
  const Time at_most = loop_.now() - came_after;
  unread_for_ = at_most > in_time ? std::min(since_last_data(), at_most) : 0;
}

// By the system's account; 0 where it has none.
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
  const bool waited = !out_.empty();
  flush();
  if (waited && out_.empty() && !closed()) user_->on_write_drained();
}

// Where even its error cannot be asked for, nothing has left on it all the same.
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
  user_->on_connected();
}

void SocketStream::lose(CloseReason why) {
  if (closed()) return;
  StreamHandler* user = user_;
  close();
  user->on_closed(why);
}

void SocketStream::lose_soon(CloseReason why) {
  loop_.post([self = shared_from_this(), why] { self->lose(why); });
}

// What the peer sent before it broke off stands to be read still, and may be all that is known of what it
// did.
void SocketStream::lose_when_read() {
  const std::size_t most = most_read();
  std::vector<char>& buffer = loop_.read_buffer();
  while (!closed() && wanted_.readable) {
    note_unread_for();
    const auto got = receive(buffer.data(), most, 0);
    if (got <= 0) break;
    user_->on_data({buffer.data(), static_cast<std::size_t>(got)});
  }
  lose(CloseReason::reset);
}

void SocketStream::shutdown_write() {
  if (closed() || std::exchange(finishing_, true)) return;
  if (out_.empty() && established_) end_our_side();
}

void SocketStream::close() {
  if (closed()) return;
  for (core::Timer* pause : {&read_pause_, &send_pause_, &begin_pause_}) loop_.cancel(*pause);
  wait_for({});
  user_ = nullptr;
  out_.clear();
  socket_.close();
}

void SocketStream::reset() {
  if (closed()) return;
  const linger at_once{1, 0};
  loop_.system().setsockopt(socket_.number(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

void SocketStream::keepalive() {
  if (closed()) return;
  SystemCalls& system = loop_.system();
  set_option(system, socket_, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(system, socket_, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle);
  set_option(system, socket_, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval);
  set_option(system, socket_, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
  // The same bound for what we have written and the peer has not taken.
  const int silence_s = keepalive_idle + keepalive_probes * keepalive_interval;
  set_option(system, socket_, IPPROTO_TCP, TCP_USER_TIMEOUT, silence_s * milliseconds_per_second);
}

}  // namespace rushhill::transport
