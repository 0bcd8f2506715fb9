#include "transport/reactor.h"

#include <Poco/ErrorHandler.h>
#include <Poco/NObserver.h>
#include <Poco/Net/DatagramSocketImpl.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <exception>
#include <stdexcept>
#include <utility>

namespace rushhill::transport {
namespace {

namespace net = Poco::Net;
using Readable = net::ReadableNotification;
using Writable = net::WritableNotification;

constexpr Time longest_sleep = 1000;  // tenths of a millisecond; a signal's flag is seen within that
constexpr int accepted_at_once = 64;  // connections a turn, so that open ones get their part
constexpr int heard_at_once = 64;     // datagrams a turn, likewise
constexpr Time accept_rest = 100;     // tenths of a millisecond, when the process has no descriptor left
constexpr std::size_t most_datagram = 2048;  // bytes; far above what peers may send

// A fault in a handler is a fault of the program: it ends at once rather than go on with half a state.
class EndOnFault final : public Poco::ErrorHandler {
 public:
  void exception(const Poco::Exception& fault) override { end(fault.displayText().c_str()); }
  void exception(const std::exception& fault) override { end(fault.what()); }
  void exception() override { end("unknown fault"); }

 private:
  [[noreturn]] static void end(const char* what) {
    std::fprintf(stderr, "rushhill: fault in a handler: %s\n", what);
    std::abort();
  }
};
EndOnFault end_on_fault;

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }
int descriptor(const net::Socket& socket) { return static_cast<int>(socket.impl()->sockfd()); }

// A socket object around a descriptor that this process inherited.
class Inherited final : public net::ServerSocketImpl {
 public:
  explicit Inherited(int fd) { reset(fd); }
};
class InheritedSocket final : public net::ServerSocket {
 public:
  explicit InheritedSocket(int fd) : net::ServerSocket(new Inherited(fd), true) {}
};
class InheritedDatagram final : public net::DatagramSocket {
 public:
  explicit InheritedDatagram(int fd) : net::DatagramSocket(new net::DatagramSocketImpl(fd)) {}
};

}  // namespace

std::int64_t monotonic_ns() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<std::int64_t>(now.tv_sec) * 1'000'000'000 + now.tv_nsec;
}

Address numeric_address(const std::string& text) {
  const auto colon = text.rfind(':');
  std::string host = text.substr(0, colon == std::string::npos ? 0 : colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  net::IPAddress ip;
  unsigned port = 65536;
  const char* first = text.data() + (colon == std::string::npos ? text.size() : colon + 1);
  const auto [end, error] = std::from_chars(first, text.data() + text.size(), port);
  if (error != std::errc{} || end != text.data() + text.size() || port > 65535 ||
      !net::IPAddress::tryParse(host, ip))
    throw std::invalid_argument("'" + text + "' is not an address in digits and a port, as 127.0.0.1:8080");
  return {ip, static_cast<Poco::UInt16>(port)};
}

Reactor::Reactor() : buffer_(64 * 1024) {
  Poco::ErrorHandler::set(&end_on_fault);
  addEventHandler(keeper_, Poco::NObserver<Reactor, Readable>(*this, &Reactor::nothing));
  plan();
}

void Reactor::run() {
  turn();
  SocketReactor::run();
}
void Reactor::forget_all() {
  alarms_ = {};
  soon_.clear();
  every_turn_ = nullptr;
}
void Reactor::halt() { SocketReactor::stop(); }

Time Reactor::now() const { return monotonic_ns() / 100'000; }

core::Alarm Reactor::at(Time when, Call call) {
  const core::Alarm alarm = alarms_.set(when, std::move(call));
  if (when < planned_) plan();
  return alarm;
}
void Reactor::withdraw(core::Alarm& alarm) { alarms_.withdraw(alarm); }
void Reactor::soon(Call call) {
  soon_.push_back(std::move(call));
  if (soon_.size() == 1) plan();
}

void Reactor::turn() {
  if (every_turn_) every_turn_();
  alarms_.ring(now());
  // What these put off runs in the next turn, so that a chain of them cannot starve the sockets.
  for (const Call& call : std::exchange(soon_, {})) call();
  plan();
}

// Sets how long the loop may sleep: whole milliseconds, rounded up, so that nothing rings early or spins.
void Reactor::plan() {
  const Time now_is = now();
  planned_ = std::min(alarms_.next().value_or(now_is + longest_sleep), now_is + longest_sleep);
  if (!soon_.empty()) planned_ = now_is;
  const Time sleep = std::max<Time>(planned_ - now_is, 0);
  setTimeout(Poco::Timespan(0, static_cast<long>((sleep + 9) / 10 * 1000)));
}

std::shared_ptr<Stream> Stream::connect(Reactor& reactor, const Address& address, StreamUser& user) {
  net::StreamSocket socket(address.family());
  auto stream = std::make_shared<Stream>(reactor, socket, user);
  try {
    stream->socket_.connectNB(address);
    stream->socket_.setNoDelay(true);
    stream->want_writable(true);
  } catch (const Poco::Exception&) {
    reactor.soon([stream] { stream->lose(Loss::refused); });
  }
  return stream;
}

std::shared_ptr<Stream> Stream::adopt(Reactor& reactor, const net::StreamSocket& socket, StreamUser& user) {
  auto stream = std::make_shared<Stream>(reactor, socket, user);
  stream->established_ = true;
  stream->socket_.setBlocking(false);
  stream->socket_.setNoDelay(true);
  stream->read(true);
  return stream;
}

Stream::Stream(Reactor& reactor, const net::StreamSocket& socket, StreamUser& user)
    : reactor_(reactor), socket_(socket), user_(&user) {}
Stream::~Stream() { close(); }

void Stream::write(std::string_view bytes) {
  if (closed()) return;
  out_ += bytes;
  if (established_ && !wants_writable_) flush();
}

void Stream::flush() {
  while (!out_.empty()) {
    const std::size_t part = std::min(out_.size(), reactor_.most_at_once);
    const auto sent = ::send(descriptor(socket_), out_.data(), part, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      if (would_block(errno)) break;
      out_.clear();
      // Not from within the user's own call to write().
      reactor_.soon([self = shared_from_this()] { self->lose(Loss::broken); });
      return;
    }
    handed_over_ += static_cast<std::size_t>(sent);
    out_.erase(0, static_cast<std::size_t>(sent));
    if (part < out_.size() && part < reactor_.buffer_.size()) break;  // a small part at a time, for tests
  }
  if (out_.empty()) out_ = {};  // an idle stream holds no memory for what it has sent
  want_writable(!out_.empty());
  if (out_.empty() && finishing_) ::shutdown(descriptor(socket_), SHUT_WR);
}

// POCO 1.11 keeps waiting for what is no longer wanted while another handler of the socket stands: so all of
// them go, and what is still wanted comes back.
void Stream::want(bool readable, bool writable) {
  if (closed() || (readable == reading_ && writable == wants_writable_)) return;
  const Poco::NObserver<Stream, Readable> on_read(*this, &Stream::on_readable);
  const Poco::NObserver<Stream, Writable> on_write(*this, &Stream::on_writable);
  if (reading_) reactor_.removeEventHandler(socket_, on_read);
  if (wants_writable_) reactor_.removeEventHandler(socket_, on_write);
  if (readable) reactor_.addEventHandler(socket_, on_read);
  if (writable) reactor_.addEventHandler(socket_, on_write);
  reading_ = readable;
  wants_writable_ = writable;
}

void Stream::want_writable(bool on) { want(reading_, on); }
void Stream::read(bool on) { want(on, wants_writable_); }

bool Stream::peer_has_ended() {
  char byte = 0;
  const auto got = ::recv(descriptor(socket_), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || !would_block(errno);
}

void Stream::on_readable(const Poco::AutoPtr<Readable>&) {
  if (closed() || !established_) return;
  const auto self = shared_from_this();
  const std::size_t most = std::min(reactor_.most_at_once, reactor_.buffer_.size());
  const auto got = ::recv(descriptor(socket_), reactor_.buffer_.data(), most, MSG_DONTWAIT);
  if (got < 0 && would_block(errno)) return;
  if (got < 0) return lose(Loss::broken);
  if (got == 0) return lose(Loss::ended);
  user_->arrived({reactor_.buffer_.data(), static_cast<std::size_t>(got)});
}

void Stream::on_writable(const Poco::AutoPtr<Writable>&) {
  if (closed()) return;
  const auto self = shared_from_this();
  if (!established_) {
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(descriptor(socket_), SOL_SOCKET, SO_ERROR, &error, &length);
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

void Stream::lose(Loss why) {
  if (closed()) return;
  StreamUser* user = user_;
  close();
  user->lost(why);
}

void Stream::finish() {
  if (closed() || std::exchange(finishing_, true)) return;
  if (out_.empty() && established_) ::shutdown(descriptor(socket_), SHUT_WR);
}

void Stream::close() {
  if (closed()) return;
  want(false, false);
  user_ = nullptr;
  out_.clear();
  socket_.close();
}

void Stream::reset() {
  if (closed()) return;
  const linger at_once{1, 0};
  setsockopt(descriptor(socket_), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

Listener::Listener(Reactor& reactor, const Address& address, bool shared, Accepted accepted)
    : reactor_(reactor), accepted_(std::move(accepted)) {
  socket_.bind(address, true, shared);
  socket_.listen(4096);
  start();
}
Listener::Listener(Reactor& reactor, int inherited, Accepted accepted)
    : reactor_(reactor), socket_(InheritedSocket(inherited)), accepted_(std::move(accepted)) {
  start();
}
void Listener::start() {
  socket_.setBlocking(false);
  reactor_.addEventHandler(socket_, Poco::NObserver<Listener, Readable>(*this, &Listener::on_readable));
}
Listener::~Listener() {
  reactor_.withdraw(rest_);
  reactor_.removeEventHandler(socket_, Poco::NObserver<Listener, Readable>(*this, &Listener::on_readable));
  socket_.close();
}

void Listener::on_readable(const Poco::AutoPtr<Readable>&) {
  for (int i = 0; i < accepted_at_once; ++i) {
    const int fd = ::accept4(descriptor(socket_), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && (would_block(errno) || errno == ECONNABORTED)) return;
    if (fd < 0) {
      // No descriptor left: rest a little instead of spinning on what cannot be taken.
      const Poco::NObserver<Listener, Readable> observer(*this, &Listener::on_readable);
      reactor_.removeEventHandler(socket_, observer);
      rest_ = reactor_.at(reactor_.now() + accept_rest,
                          [this, observer] { reactor_.addEventHandler(socket_, observer); });
      return;
    }
    accepted_(net::StreamSocket(new net::StreamSocketImpl(fd)));
  }
}

Datagrams::Datagrams(Reactor& reactor, const Address& address, Heard heard)
    : reactor_(reactor), socket_(address), heard_(std::move(heard)) {
  start();
}
Datagrams::Datagrams(Reactor& reactor, int inherited, Heard heard)
    : reactor_(reactor), socket_(InheritedDatagram(inherited)), heard_(std::move(heard)) {
  start();
}
void Datagrams::start() {
  socket_.setBlocking(false);
  reactor_.addEventHandler(socket_, Poco::NObserver<Datagrams, Readable>(*this, &Datagrams::on_readable));
}
Datagrams::~Datagrams() {
  reactor_.removeEventHandler(socket_, Poco::NObserver<Datagrams, Readable>(*this, &Datagrams::on_readable));
}

bool Datagrams::send(const Address& to, std::string_view bytes) {
  return ::sendto(descriptor(socket_), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL, to.addr(),
                  to.length()) == static_cast<ssize_t>(bytes.size());
}

void Datagrams::on_readable(const Poco::AutoPtr<Readable>&) {
  for (int i = 0; i < heard_at_once; ++i) {
    std::array<char, most_datagram> bytes{};
    sockaddr_storage from{};
    socklen_t length = sizeof from;
    const auto got = ::recvfrom(descriptor(socket_), bytes.data(), bytes.size(), MSG_DONTWAIT,
                                reinterpret_cast<sockaddr*>(&from), &length);
    if (got < 0) return;
    heard_(Address(reinterpret_cast<const sockaddr*>(&from), length),
           {bytes.data(), static_cast<std::size_t>(got)});
  }
}

}  // namespace rushhill::transport
