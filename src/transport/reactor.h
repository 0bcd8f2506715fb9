// The one thread's loop: POCO's SocketReactor with alarms, and byte streams, listeners and datagrams on it.
// Nothing here blocks; names are never looked up.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/SocketReactor.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/alarms.h"
#include "core/clockwork.h"

namespace rushhill::transport {

using Address = Poco::Net::SocketAddress;

// An address from digits alone; throws std::invalid_argument for anything that would need a look-up.
Address numeric_address(const std::string& text);

// The machine's monotonic clock, the same for all processes, in nanoseconds.
std::int64_t monotonic_ns();

class Reactor final : public core::Clockwork, private Poco::Net::SocketReactor {
 public:
  Reactor();

  void run() override;  // until halt()
  void halt();          // from a handler, or from a signal's handler

  Time now() const override;
  core::Alarm at(Time when, Call call) override;
  void withdraw(core::Alarm& alarm) override;
  void soon(Call call) override;
  std::int64_t nanoseconds() const override { return monotonic_ns(); }

  // Drops every alarm and put-off call: for the end, when those that set them are gone.
  void forget_all();

  // Asked every time the loop turns; for what a signal's handler has noted.
  void every_turn(Call call) { every_turn_ = std::move(call); }

  // Bytes at most in one read or write; small ones make every boundary happen, for tests.
  std::size_t most_at_once = 64 * 1024;

 private:
  friend class Stream;
  friend class Listener;
  friend class Datagrams;
  using SocketReactor::addEventHandler;
  using SocketReactor::removeEventHandler;

  void nothing(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {}
  void onTimeout() override { turn(); }
  void onIdle() override { turn(); }
  void onBusy() override { turn(); }
  void turn();
  void plan();

  Poco::Net::DatagramSocket keeper_{
      Poco::Net::SocketAddress::IPv4};  // POCO's loop cannot wait without a socket
  core::Alarms alarms_;
  std::vector<Call> soon_;
  std::vector<char> buffer_;
  Call every_turn_;
  Time planned_ = 0;  // when the loop wakes at the latest
};

enum class Loss { refused, ended, broken };  // never established; ended by the peer; reset or failed

class StreamUser {
 public:
  StreamUser() = default;
  StreamUser(const StreamUser&) = delete;
  StreamUser& operator=(const StreamUser&) = delete;
  virtual ~StreamUser() = default;
  virtual void opened() {}
  virtual void drained() {}  // all that had to wait has been handed over
  virtual void arrived(std::string_view bytes) = 0;
  virtual void lost(Loss why) = 0;  // the last call; never from within the user's own call
};

// A non-blocking byte stream. The user outlives it or closes it.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  static std::shared_ptr<Stream> connect(Reactor& reactor, const Address& address, StreamUser& user);
  static std::shared_ptr<Stream> adopt(Reactor& reactor, const Poco::Net::StreamSocket& socket,
                                       StreamUser& user);
  Stream(Reactor& reactor, const Poco::Net::StreamSocket& socket, StreamUser& user);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream();

  void write(std::string_view bytes);
  std::size_t handed_over() const { return handed_over_; }  // bytes the system has taken, all in all
  std::size_t waiting() const { return out_.size(); }       // bytes it has not taken yet
  void read(bool on);                                       // off: the peer is left waiting
  bool peer_has_ended();  // whether an end or a byte stands to be read; for a stream that should be still
  void finish();          // ends our side once all is handed over; the peer's bytes still arrive
  void close();           // no further call to the user; what waits is dropped
  void reset();           // the same, and the peer sees a reset
  bool closed() const { return user_ == nullptr; }

 private:
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void on_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
  void flush();
  void want(bool readable, bool writable);
  void want_writable(bool on);
  void lose(Loss why);

  Reactor& reactor_;
  Poco::Net::StreamSocket socket_;
  StreamUser* user_;
  std::string out_;
  std::size_t handed_over_ = 0;
  bool established_ = false, reading_ = false, wants_writable_ = false, finishing_ = false;
};

class Listener {
 public:
  using Accepted = std::function<void(const Poco::Net::StreamSocket&)>;
  // Listens on an address (port 0: the system chooses), shared with other processes where asked, or on a
  // listening socket that this process was started with.
  Listener(Reactor& reactor, const Address& address, bool shared, Accepted accepted);
  Listener(Reactor& reactor, int inherited, Accepted accepted);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener();
  Address address() const { return socket_.address(); }

 private:
  void start();
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

  Reactor& reactor_;
  Poco::Net::ServerSocket socket_;
  Accepted accepted_;
  core::Alarm rest_;
};

class Datagrams {
 public:
  using Heard = std::function<void(const Address&, std::string_view)>;
  Datagrams(Reactor& reactor, const Address& address, Heard heard);
  Datagrams(Reactor& reactor, int inherited, Heard heard);
  Datagrams(const Datagrams&) = delete;
  Datagrams& operator=(const Datagrams&) = delete;
  ~Datagrams();
  bool send(const Address& to, std::string_view bytes);  // false: dropped, the system's queue is full
  Address address() const { return socket_.address(); }

 private:
  void start();
  void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

  Reactor& reactor_;
  Poco::Net::DatagramSocket socket_;
  Heard heard_;
};

}  // namespace rushhill::transport
