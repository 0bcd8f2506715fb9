#include "transport/loop.h"

#include <Poco/Net/DatagramSocketImpl.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <exception>
#include <stdexcept>
#include <utility>

namespace rushhill::transport {
namespace {

namespace net = Poco::Net;

constexpr Time longest_sleep = 1000;        // tenths of a millisecond; a signal's flag is seen within that
constexpr int accepted_at_once = 64;        // connections a turn, so that open ones get their part
constexpr int heard_at_once = 64;           // datagrams a turn, likewise
constexpr std::size_t told_at_once = 1024;  // sockets; as many as a PollSet hears of from the system
constexpr std::size_t most_a_turn = 1024 * 1024;  // bytes of one that came to us; all its open requests fit
constexpr Time sight = 500;        // tenths of a millisecond; half of what a client is owed that has left
constexpr Time accept_rest = 100;  // tenths of a millisecond, when there is no room or no descriptor left
constexpr int keepalive_idle = 5;  // seconds without a word until the system asks whether the peer is there
constexpr int keepalive_interval = 1;        // seconds between two such questions
constexpr int keepalive_probes = 3;          // questions without an answer that end the connection
constexpr std::size_t most_datagram = 2048;  // bytes; far above what peers may send

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

// Bound and never listening.
class HeldPort final : public Place {
 public:
  explicit HeldPort(const Address& address) { socket_.bind(address, true, true); }
  Address address() const override { return socket_.address(); }

 private:
  net::ServerSocket socket_;
};

}  // namespace

Loop::Loop() : buffer_(64 * 1024) { polled_.add(keeper_, net::PollSet::POLL_READ); }

// A fault in a handler is a fault of the program: it ends at once rather than go on with half a state.
void Loop::run() try {
  act();
  while (!halted_) {
    const auto ready = look();
    reading_clients_ = true;
    serve(ready, true);
    reading_clients_ = false;
    send_deferred();
    serve(ready, false);
    act();
  }
} catch (const std::exception& fault) {
  const auto* of_poco = dynamic_cast<const Poco::Exception*>(&fault);
  std::fprintf(stderr, "rushhill: fault in a handler: %s\n",
               of_poco != nullptr ? of_poco->displayText().c_str() : fault.what());
  std::abort();
}
void Loop::forget_all() {
  alarms_ = {};
  soon_.clear();
  deferred_.clear();
  every_turn_ = nullptr;
}
void Loop::halt() { halted_ = true; }

Time Loop::now() const { return monotonic_ns() / 100'000; }

core::Alarm Loop::at(Time when, Call call) { return alarms_.set(when, std::move(call)); }
void Loop::withdraw(core::Alarm& alarm) { alarms_.withdraw(alarm); }
void Loop::soon(Call call) { soon_.push_back(std::move(call)); }

// All that can be read, or written. Where the process slept or stood still it looks again, since what came
// meanwhile may not be among what it was told.
net::PollSet::SocketModeMap Loop::look() {
  net::PollSet::SocketModeMap ready;
  Time most = sleep();
  for (bool all = false; !all || now() - looked_at_ > sight; most = 0) {
    looked_at_ = now();
    const std::size_t before = ready.size();
    const auto told = polled_.poll(Poco::Timespan(0, static_cast<long>(most)));
    ready.insert(told.begin(), told.end());
    all = told.size() < told_at_once || ready.size() == before;
  }
  return ready;
}

bool Loop::may_send() const { return !reading_clients_ && now() - looked_at_ <= sight; }

// One that is gone meanwhile, or has come at the place of one that is, is not what was polled.
void Loop::serve(const net::PollSet::SocketModeMap& ready, bool came) {
  for (const auto& [socket, mode] : ready) {
    const auto waiting = [&, impl = socket.impl()]() -> Waiting* {
      const auto it = waiting_.find(impl);
      return it == waiting_.end() || it->second->came != came ? nullptr : it->second;
    };
    if ((mode & net::PollSet::POLL_READ) != 0 && waiting() != nullptr) waiting()->on_readable();
    if ((mode & net::PollSet::POLL_WRITE) != 0 && waiting() != nullptr) waiting()->on_writable();
  }
}

void Loop::act() {
  if (every_turn_) every_turn_();
  alarms_.ring(now());
  // What these put off runs in the next turn, so that a chain of them cannot starve the sockets.
  for (const Call& call : std::exchange(soon_, {})) call();
}

// How long the loop may sleep, in microseconds: whole milliseconds, rounded up, so that nothing rings early
// or spins.
Time Loop::sleep() {
  if (!soon_.empty() || !deferred_.empty()) return 0;
  const Time now_is = now();
  const Time wake = std::min(alarms_.next().value_or(now_is + longest_sleep), now_is + longest_sleep);
  return (std::max<Time>(wake - now_is, 0) + 9) / 10 * 1000;
}

void Loop::wait_for(const net::Socket& socket, Waiting& waiting, bool readable, bool writable) {
  const int mode = (readable ? net::PollSet::POLL_READ : 0) | (writable ? net::PollSet::POLL_WRITE : 0);
  const bool fresh = !waiting_.contains(socket.impl());
  if (mode == 0) {
    if (fresh) return;
    waiting_.erase(socket.impl());
    return polled_.remove(socket);
  }
  waiting_[socket.impl()] = &waiting;
  if (fresh) polled_.add(socket, mode);
  if (!fresh) polled_.update(socket, mode);
}

class Loop::SocketArrival final : public Arrival {
 public:
  explicit SocketArrival(const net::StreamSocket& arrived) : socket(arrived) {}
  void refuse() const override { net::StreamSocket(socket).close(); }
  net::StreamSocket socket;
};

class Loop::SocketStream final : public Stream,
                                 public Waiting,
                                 public std::enable_shared_from_this<SocketStream> {
 public:
  SocketStream(Loop& loop, const net::StreamSocket& socket, StreamUser& user)
      : reactor_(loop), socket_(socket), user_(&user) {}
  ~SocketStream() override { SocketStream::close(); }
  void connect(const Address& address);
  void establish();

  void write(std::string_view bytes) override;
  bool recall(std::size_t from, std::size_t count) override;
  std::size_t handed_over() const override { return handed_over_; }
  std::size_t waiting() const override { return out_.size(); }
  void read(bool on) override { want(on, wants_writable_); }
  Ahead ahead() override;
  void finish() override;
  void close() override;
  void reset() override;
  bool closed() const override { return user_ == nullptr; }
  void send_deferred();
  void keepalive() override;

 private:
  void on_readable() override;
  void on_writable() override;
  void flush();
  void want(bool readable, bool writable);
  void want_writable(bool on);
  void lose(Loss why);
  void lose_when_read();

  Loop& reactor_;
  net::StreamSocket socket_;
  StreamUser* user_;
  std::string out_;
  std::size_t handed_over_ = 0;
  bool established_ = false, reading_ = false, wants_writable_ = false, finishing_ = false, failed_ = false,
       deferred_ = false;
};

class Loop::SocketListener final : public Place, public Waiting {
 public:
  SocketListener(Loop& loop, const net::ServerSocket& socket, Accepted accepted)
      : reactor_(loop), socket_(socket), accepted_(std::move(accepted)) {
    socket_.setBlocking(false);
    wait(true);
  }
  ~SocketListener() override {
    reactor_.withdraw(rest_);
    wait(false);
    socket_.close();
  }
  Address address() const override { return socket_.address(); }
  void take_all() override {
    while (take()) {}
  }
  void take_where(std::function<bool()> room) override { room_ = std::move(room); }

 private:
  bool take();
  void rest();
  void wait(bool on) { reactor_.wait_for(socket_, *this, on, false); }
  void on_readable() override;

  Loop& reactor_;
  net::ServerSocket socket_;
  Accepted accepted_;
  std::function<bool()> room_;
  core::Alarm rest_;
};

class Loop::SocketDatagrams final : public Place, public Waiting {
 public:
  SocketDatagrams(Loop& loop, const net::DatagramSocket& socket, Heard heard)
      : reactor_(loop), socket_(socket), heard_(std::move(heard)) {
    socket_.setBlocking(false);
    reactor_.wait_for(socket_, *this, true, false);
  }
  ~SocketDatagrams() override { reactor_.wait_for(socket_, *this, false, false); }
  bool send(const Address& to, std::string_view bytes) override;
  Address address() const override { return socket_.address(); }

 private:
  void on_readable() override;

  Loop& reactor_;
  net::DatagramSocket socket_;
  Heard heard_;
};

std::int64_t Loop::unix_ns() const {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(since).count();
}

std::shared_ptr<Stream> Loop::connect(const Address& address, StreamUser& user) {
  const auto stream = std::make_shared<SocketStream>(*this, net::StreamSocket(), user);
  stream->connect(address);
  return stream;
}
std::shared_ptr<Stream> Loop::adopt(const Arrival& arrival, StreamUser& user) {
  const auto& socket = static_cast<const SocketArrival&>(arrival).socket;
  const auto stream = std::make_shared<SocketStream>(*this, socket, user);
  stream->came = true;
  stream->establish();
  return stream;
}
std::unique_ptr<Place> Loop::listen(const Address& address, bool shared, Accepted accepted) {
  net::ServerSocket socket;
  socket.bind(address, true, shared);
  socket.listen(4096);
  return std::make_unique<SocketListener>(*this, socket, std::move(accepted));
}
std::unique_ptr<Place> Loop::listen_inherited(int descriptor, Accepted accepted) {
  return std::make_unique<SocketListener>(*this, InheritedSocket(descriptor), std::move(accepted));
}
std::unique_ptr<Place> Loop::hear(const Address& address, Heard heard) {
  // Beside one that has it already: a router's earlier self, which hears nothing from then on.
  net::DatagramSocket socket(address.family());
  socket.bind(address, true, false);
  return std::make_unique<SocketDatagrams>(*this, socket, std::move(heard));
}
std::unique_ptr<Place> Loop::hear_inherited(int descriptor, Heard heard) {
  return std::make_unique<SocketDatagrams>(*this, InheritedDatagram(descriptor), std::move(heard));
}
std::unique_ptr<Place> Loop::hold(const Address& address) { return std::make_unique<HeldPort>(address); }

// The socket is made here: what fails for want of a descriptor is a loss like any other, and its own kind.
void Loop::SocketStream::connect(const Address& address) {
  try {
    socket_.connectNB(address);
    socket_.setNoDelay(true);
    want_writable(true);
  } catch (const Poco::Exception&) {
    const Loss why = descriptor(socket_) == POCO_INVALID_SOCKET ? Loss::exhausted : Loss::refused;
    reactor_.soon([self = shared_from_this(), why] { self->lose(why); });
  }
}
void Loop::SocketStream::establish() {
  established_ = true;
  socket_.setBlocking(false);
  socket_.setNoDelay(true);
  read(true);
}

void Loop::SocketStream::write(std::string_view bytes) {
  if (closed()) return;
  out_ += bytes;
  if (established_ && !wants_writable_ && !failed_) flush();
}

bool Loop::SocketStream::recall(std::size_t from, std::size_t count) {
  if (from < handed_over_ || from - handed_over_ + count > out_.size()) return false;
  out_.erase(from - handed_over_, count);
  return true;
}

void Loop::send_deferred() {
  for (const auto& deferred : std::exchange(deferred_, {})) {
    if (const auto stream = deferred.lock()) stream->send_deferred();
  }
}

void Loop::SocketStream::send_deferred() {
  deferred_ = false;
  if (closed() || failed_) return;
  flush();
  if (out_.empty() && !closed()) user_->drained();
}

void Loop::SocketStream::flush() {
  if (!came && !out_.empty() && !reactor_.may_send()) {
    if (!std::exchange(deferred_, true)) reactor_.deferred_.push_back(weak_from_this());
    return;
  }
  while (!out_.empty()) {
    const std::size_t part = std::min(out_.size(), reactor_.most_at_once);
    const auto sent = ::send(descriptor(socket_), out_.data(), part, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      if (would_block(errno)) break;
      out_.clear();
      failed_ = true;
      // Not from within the user's own call to write().
      reactor_.soon([self = shared_from_this()] { self->lose_when_read(); });
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

void Loop::SocketStream::want(bool readable, bool writable) {
  if (closed() || (readable == reading_ && writable == wants_writable_)) return;
  reactor_.wait_for(socket_, *this, readable, writable);
  reading_ = readable;
  wants_writable_ = writable;
}

void Loop::SocketStream::want_writable(bool on) { want(reading_, on); }

Stream::Ahead Loop::SocketStream::ahead() {
  char byte = 0;
  const auto got = ::recv(descriptor(socket_), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) return Ahead::bytes;
  return got < 0 && would_block(errno) ? Ahead::nothing : Ahead::end;
}

void Loop::SocketStream::on_readable() {
  if (closed() || !established_) return;
  const auto self = shared_from_this();
  const std::size_t most = std::min(reactor_.most_at_once, reactor_.buffer_.size());
  std::size_t read = 0;
  do {
    const auto got = ::recv(descriptor(socket_), reactor_.buffer_.data(), most, MSG_DONTWAIT);
    if (got < 0 && would_block(errno)) return;
    if (got < 0) return lose(Loss::broken);
    if (got == 0) return lose(Loss::ended);
    read += static_cast<std::size_t>(got);
    user_->arrived({reactor_.buffer_.data(), static_cast<std::size_t>(got)});
  } while (came && !closed() && reading_ && read < most_a_turn);
}

void Loop::SocketStream::on_writable() {
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

void Loop::SocketStream::lose(Loss why) {
  if (closed()) return;
  StreamUser* user = user_;
  close();
  user->lost(why);
}

// What the peer sent before it broke off stands to be read still, and may be all that is known of what it
// did.
void Loop::SocketStream::lose_when_read() {
  const std::size_t most = std::min(reactor_.most_at_once, reactor_.buffer_.size());
  while (!closed() && reading_) {
    const auto got = ::recv(descriptor(socket_), reactor_.buffer_.data(), most, MSG_DONTWAIT);
    if (got <= 0) break;
    user_->arrived({reactor_.buffer_.data(), static_cast<std::size_t>(got)});
  }
  lose(Loss::broken);
}

void Loop::SocketStream::finish() {
  if (closed() || std::exchange(finishing_, true)) return;
  if (out_.empty() && established_) ::shutdown(descriptor(socket_), SHUT_WR);
}

void Loop::SocketStream::close() {
  if (closed()) return;
  want(false, false);
  user_ = nullptr;
  out_.clear();
  socket_.close();
}

void Loop::SocketStream::reset() {
  if (closed()) return;
  const linger at_once{1, 0};
  setsockopt(descriptor(socket_), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

void Loop::SocketStream::keepalive() {
  if (closed()) return;
  const auto set = [this](int level, int name, int value) {
    setsockopt(descriptor(socket_), level, name, &value, sizeof value);
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle);
  set(IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval);
  set(IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
  // The same bound for what we have written and the peer has not taken.
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, 1000 * (keepalive_idle + keepalive_probes * keepalive_interval));
}

void Loop::SocketListener::on_readable() {
  for (int i = 0; i < accepted_at_once && take(); ++i) {}
}

// What cannot be taken now stays in the queue: a rest instead of spinning on it.
void Loop::SocketListener::rest() {
  wait(false);
  reactor_.withdraw(rest_);
  rest_ = reactor_.at(reactor_.now() + accept_rest, [this] { wait(true); });
}

bool Loop::SocketListener::take() {
  if (room_) {
    pollfd queue{.fd = descriptor(socket_), .events = POLLIN, .revents = 0};
    if (::poll(&queue, 1, 0) != 1) return false;  // no room is made for nobody
    if (!room_()) return rest(), false;
  }
  const int fd = ::accept4(descriptor(socket_), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    if (would_block(errno) || errno == ECONNABORTED) return false;
    return rest(), false;  // no descriptor left
  }
  accepted_(SocketArrival(net::StreamSocket(new net::StreamSocketImpl(fd))));
  return true;
}

bool Loop::SocketDatagrams::send(const Address& to, std::string_view bytes) {
  return ::sendto(descriptor(socket_), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL, to.addr(),
                  to.length()) == static_cast<ssize_t>(bytes.size());
}

void Loop::SocketDatagrams::on_readable() {
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
