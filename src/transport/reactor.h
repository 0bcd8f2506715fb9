// What the program's packages need of the one thread's loop: alarms, byte streams, listeners and datagrams.
// `Loop` gives them on sockets, the emulator's network in memory and virtual time. Nothing here blocks; names
// are never looked up.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "core/timer_service.h"

namespace rushhill::transport {

using Address = Poco::Net::SocketAddress;

// An address from digits alone; throws std::invalid_argument for anything that would need a look-up.
Address numeric_address(const std::string& text);

// The machine's monotonic clock, the same for all processes, in nanoseconds.
std::int64_t monotonic_ns();

// Never established; ended by the peer; reset or failed; never begun, for want of something on this machine:
// nothing has left, and it tells nothing of the peer.
enum class CloseReason { connect_failed, closed_by_peer, reset, not_started };

class StreamHandler {
 public:
  StreamHandler() = default;
  StreamHandler(const StreamHandler&) = delete;
  StreamHandler& operator=(const StreamHandler&) = delete;
  virtual ~StreamHandler() = default;
  virtual void on_connected() {}
  virtual void on_write_drained() {}  // all that had to wait has been handed over
  virtual void on_data(std::string_view bytes) = 0;
  virtual void on_closed(CloseReason why) = 0;  // the last call; never from within the user's own call
};

class Reactor;

// A connection that has come to a listener and is not taken yet.
class PendingConnection {
 public:
  PendingConnection() = default;
  PendingConnection(const PendingConnection&) = delete;
  PendingConnection& operator=(const PendingConnection&) = delete;
  virtual ~PendingConnection() = default;
  virtual void refuse() const = 0;
};

// A non-blocking byte stream. The user outlives it or closes it.
class Stream {
 public:
  static std::shared_ptr<Stream> connect(Reactor& reactor, const Address& address, StreamHandler& user);
  static std::shared_ptr<Stream> adopt(Reactor& reactor, const PendingConnection& arrival,
                                       StreamHandler& user);
  Stream() = default;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  virtual ~Stream() = default;

  virtual void write(std::string_view bytes) = 0;
  // Takes back what was written `from` bytes after the start, where the system has taken none of it.
  virtual bool cancel_unsent(std::size_t from, std::size_t count) = 0;
  virtual std::size_t handed_over_bytes() const = 0;  // bytes the system has taken, all in all
  virtual std::size_t pending_bytes() const = 0;      // bytes it has not taken yet
  virtual void set_reading(bool on) = 0;              // off: the peer is left waiting
  enum class Peeked { nothing, bytes, end };
  virtual Peeked peek() = 0;          // what stands to be read next
  virtual void shutdown_write() = 0;  // ends our side once all is handed over; the peer's bytes still arrive
  virtual void close() = 0;           // no further call to the user; what waits is dropped
  virtual void reset() = 0;           // the same, and the peer sees a reset
  virtual bool closed() const = 0;
  // How long the bytes that arrived() is given had been here, unread, since the last of them came. 0 where
  // the system can't tell, and where the loop has looked just before.
  virtual Time unread_age() const { return 0; }
  // From now on a peer that has gone without a word is noticed, also while nothing is said.
  virtual void keepalive() {}
};

// What a listener or a datagrams' end keeps open while it lives.
class BoundSocket {
 public:
  BoundSocket() = default;
  BoundSocket(const BoundSocket&) = delete;
  BoundSocket& operator=(const BoundSocket&) = delete;
  virtual ~BoundSocket() = default;
  virtual Address address() const = 0;
  virtual bool send(const Address&, std::string_view) { return false; }  // datagrams only
  virtual void accept_all() {}                         // a listener: all that has come, before it goes
  virtual void accept_while(std::function<bool()>) {}  // a listener: each only if this holds then
};

using AcceptHandler = std::function<void(const PendingConnection&)>;
using DatagramHandler = std::function<void(const Address&, std::string_view)>;

class Reactor : public core::TimerService {
 public:
  virtual void run() = 0;   // until halt()
  virtual void halt() = 0;  // from a handler, or from a signal's handler

  // The clock of records, the same for all that they tell of; and the calendar's.
  virtual std::int64_t clock_ns() const = 0;
  virtual std::int64_t unix_ns() const = 0;

  virtual std::shared_ptr<Stream> connect(const Address& address, StreamHandler& user) = 0;
  virtual std::shared_ptr<Stream> adopt(const PendingConnection& arrival, StreamHandler& user) = 0;
  virtual std::unique_ptr<BoundSocket> listen(const Address& address, bool shared,
                                              AcceptHandler accepted) = 0;
  virtual std::unique_ptr<BoundSocket> listen_inherited(int descriptor, AcceptHandler accepted) = 0;
  virtual std::unique_ptr<BoundSocket> open_datagrams(const Address& address, DatagramHandler heard) = 0;
  virtual std::unique_ptr<BoundSocket> open_inherited_datagrams(int descriptor, DatagramHandler heard) = 0;
  // Keeps an address (port 0: one is chosen), whether or not somebody listens there.
  virtual std::unique_ptr<BoundSocket> reserve(const Address& address) = 0;
};

class Listener {
 public:
  // Listens on an address (port 0: the system chooses), shared with other processes where asked, or on a
  // listening socket that this process was started with.
  Listener(Reactor& reactor, const Address& address, bool shared, AcceptHandler accepted)
      : place_(reactor.listen(address, shared, std::move(accepted))) {}
  Listener(Reactor& reactor, int inherited, AcceptHandler accepted)
      : place_(reactor.listen_inherited(inherited, std::move(accepted))) {}
  Address address() const { return place_->address(); }
  // Every connection that stands in the queue: what is left there when the listener goes is reset.
  void accept_all() { place_->accept_all(); }
  // Asked before each is taken; where it says no, what has come stands in the queue and is looked at again.
  void accept_while(std::function<bool()> room) { place_->accept_while(std::move(room)); }

 private:
  std::unique_ptr<BoundSocket> place_;
};

class DatagramEndpoint {
 public:
  DatagramEndpoint(Reactor& reactor, const Address& address, DatagramHandler heard)
      : place_(reactor.open_datagrams(address, std::move(heard))) {}
  DatagramEndpoint(Reactor& reactor, int inherited, DatagramHandler heard)
      : place_(reactor.open_inherited_datagrams(inherited, std::move(heard))) {}
  bool send(const Address& to, std::string_view bytes) {  // false: dropped, the system's queue is full
    return place_->send(to, bytes);
  }
  Address address() const { return place_->address(); }

 private:
  std::unique_ptr<BoundSocket> place_;
};

}  // namespace rushhill::transport
