#include "transport/socket_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cerrno>
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

}  // namespace

SocketStream::SocketStream(Loop& loop, StreamUser& user) : loop_(loop), user_(&user) {}

SocketStream::SocketStream(Loop& loop, StreamUser& user, FileDescriptor accepted)
    : EventSource(true), loop_(loop), socket_(std::move(accepted)), user_(&user) {}

// The socket is made here: what fails for want of a descriptor is a loss like any other, and its own kind.
void SocketStream::connect(const Address& address) {
  SystemCalls& system = loop_.system();
  socket_ =
      FileDescriptor(system, system.socket(address.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket_.open()) return lose_soon(Loss::exhausted);
  const bool begun =
      system.connect(socket_.number(), address.addr(), address.length()) == 0 || errno == EINPROGRESS;
  if (!begun) return lose_soon(Loss::refused);
  set_option(system, socket_, IPPROTO_TCP, TCP_NODELAY, 1);
  watch_writable(true);
}

void SocketStream::establish() {
  established_ = true;
  set_option(loop_.system(), socket_, IPPROTO_TCP, TCP_NODELAY, 1);
  read(true);
}

void SocketStream::write(std::string_view bytes) {
  if (closed()) return;
  out_ += bytes;
  if (established_ && !interest().writable && !failed_) flush();
}

bool SocketStream::recall(std::size_t from, std::size_t count) {
  if (from < handed_over_ || from - handed_over_ + count > out_.size()) return false;
  out_.erase(from - handed_over_, count);
  return true;
}

void SocketStream::send_deferred() {
  deferred_ = false;
  if (closed() || failed_) return;
  flush();
  if (out_.empty() && !closed()) user_->drained();
}

void SocketStream::flush() {
  if (!opened_by_peer() && !out_.empty() && !loop_.may_send()) {
    if (!std::exchange(deferred_, true)) loop_.send_later(weak_from_this());
    return;
  }
  while (!out_.empty()) {
    const std::size_t part = std::min(out_.size(), loop_.most_at_once);
    const auto sent = loop_.system().send(socket_.number(), out_.data(), part, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      if (would_block(errno)) break;
      out_.clear();
      failed_ = true;
      // Not from within the user's own call to write().
      loop_.soon([self = shared_from_this()] { self->lose_when_read(); });
      return;
    }
    handed_over_ += static_cast<std::size_t>(sent);
    out_.erase(0, static_cast<std::size_t>(sent));
    const bool small_part = part < out_.size() && part < loop_.read_buffer().size();
    if (small_part) break;  // one at a time, for tests
  }
  if (out_.empty()) out_ = {};  // an idle stream holds no memory for what it has sent
  watch_writable(!out_.empty());
  if (out_.empty() && finishing_) end_our_side();
}

void SocketStream::watch(Interest wanted) {
  if (closed()) return;
  if (!loop_.watch(socket_.number(), *this, wanted)) lose_soon(Loss::broken);
}

void SocketStream::end_our_side() { loop_.system().shutdown(socket_.number(), SHUT_WR); }

Stream::Ahead SocketStream::ahead() {
  char byte = 0;
  const auto got = loop_.system().recv(socket_.number(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) return Ahead::bytes;
  return got < 0 && would_block(errno) ? Ahead::nothing : Ahead::end;
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
    const auto got = loop_.system().recv(socket_.number(), buffer.data(), most, MSG_DONTWAIT);
    if (got < 0 && would_block(errno)) return;
    if (got < 0) return lose(Loss::broken);
    if (got == 0) return lose(Loss::ended);
    read += static_cast<std::size_t>(got);
    user_->arrived({buffer.data(), static_cast<std::size_t>(got)});
  } while (opened_by_peer() && !closed() && interest().readable && read < most_an_iteration);
}

void SocketStream::on_writable() {
  if (closed()) return;
  const auto self = shared_from_this();
  if (!established_) {
    int error = 0;
    socklen_t length = sizeof error;
    loop_.system().getsockopt(socket_.number(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) return lose(Loss::refused);
    established_ = true;
    read(true);
    user_->opened();
    if (closed()) return;
  }
  const bool waited = !out_.empty();
  flush();
  if (waited && out_.empty() && !closed()) user_->drained();
}

void SocketStream::lose(Loss why) {
  if (closed()) return;
  StreamUser* user = user_;
  close();
  user->lost(why);
}

void SocketStream::lose_soon(Loss why) {
  loop_.soon([self = shared_from_this(), why] { self->lose(why); });
}

// What the peer sent before it broke off stands to be read still, and may be all that is known of what it
// did.
void SocketStream::lose_when_read() {
  const std::size_t most = most_read();
  std::vector<char>& buffer = loop_.read_buffer();
  while (!closed() && interest().readable) {
    const auto got = loop_.system().recv(socket_.number(), buffer.data(), most, MSG_DONTWAIT);
    if (got <= 0) break;
    user_->arrived({buffer.data(), static_cast<std::size_t>(got)});
  }
  lose(Loss::broken);
}

void SocketStream::finish() {
  if (closed() || std::exchange(finishing_, true)) return;
  if (out_.empty() && established_) end_our_side();
}

void SocketStream::close() {
  if (closed()) return;
  watch({});
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
