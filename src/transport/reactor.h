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

#include "core/clockwork.h"

namespace rushhill::transport {

using Address = Poco::Net::SocketAddress;

// An address from digits alone; throws std::invalid_argument for anything that would need a look-up.
Address numeric_address(const std::string& text);

// The machine's monotonic clock, the same for all processes, in nanoseconds.
std::int64_t monotonic_ns();

// Never established; ended by the peer; reset or failed; never begun, for want of something on this machine:
// nothing has left, and it tells nothing of the peer.
enum class Loss { refused, ended, broken, not_begun };

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

class Reactor;

// A connection that has come to a listener and is not taken yet.
class Arrival {
 public:
  Arrival() = default;
  Arrival(const Arrival&) = delete;
  Arrival& operator=(const Arrival&) = delete;
  virtual ~Arrival() = default;
  virtual void refuse() const = 0;
};

// A non-blocking byte stream. The user outlives it or closes it.
class Stream {
 public:
  static std::shared_ptr<Stream> connect(Reactor& reactor, const Address& address, StreamUser& user);
  static std::shared_ptr<Stream> adopt(Reactor& reactor, const Arrival& arrival, StreamUser& user);
  Stream() = default;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  virtual ~Stream() = default;

  virtual void write(std::string_view bytes) = 0;
  // Takes back what was written `from` bytes after the start, where the system has taken none of it.
  virtual bool recall(std::size_t from, std::size_t count) = 0;
  virtual std::size_t handed_over() const = 0;  // bytes the system has taken, all in all
  virtual std::size_t waiting() const = 0;      // bytes it has not taken yet
  virtual void read(bool on) = 0;               // off: the peer is left waiting
  enum class Ahead { nothing, bytes, end };
  virtual Ahead ahead() = 0;  // what stands to be read next
  virtual void finish() = 0;  // ends our side once all is handed over; the peer's bytes still arrive
  virtual void close() = 0;   // no further call to the user; what waits is dropped
  virtual void reset() = 0;   // the same, and the peer sees a reset
  virtual bool closed() const = 0;
  // How long the bytes that arrived() is given had been here, unread, since the last of them came. 0 where
  // the system can't tell, and where the loop has looked just before.
  virtual Time unread_for() const { return 0; }
  // From now on a peer that has gone without a word is noticed, also while nothing is said.
  virtual void keepalive() {}
};

// What a listener or a datagrams' end keeps open while it lives.
class Place {
 public:
  Place() = default;
  Place(const Place&) = delete;
  Place& operator=(const Place&) = delete;
  virtual ~Place() = default;
  virtual Address address() const = 0;
  virtual bool send(const Address&, std::string_view) { return false; }  // datagrams only
  virtual void take_all() {}                         // a listener: all that has come, before it goes
  virtual void take_where(std::function<bool()>) {}  // a listener: each only if this holds then
};

using Accepted = std::function<void(const Arrival&)>;
using Heard = std::function<void(const Address&, std::string_view)>;

class Reactor : public core::Clockwork {
 public:
  virtual void run() = 0;   // until halt()
  virtual void halt() = 0;  // from a handler, or from a signal's handler

  // The clock of records, the same for all that they tell of; and the calendar's.
  virtual std::int64_t clock_ns() const = 0;
  virtual std::int64_t unix_ns() const = 0;

  virtual std::shared_ptr<Stream> connect(const Address& address, StreamUser& user) = 0;
  virtual std::shared_ptr<Stream> adopt(const Arrival& arrival, StreamUser& user) = 0;
  virtual std::unique_ptr<Place> listen(const Address& address, bool shared, Accepted accepted) = 0;
  virtual std::unique_ptr<Place> listen_inherited(int descriptor, Accepted accepted) = 0;
  virtual std::unique_ptr<Place> hear(const Address& address, Heard heard) = 0;
  virtual std::unique_ptr<Place> hear_inherited(int descriptor, Heard heard) = 0;
  // Keeps an address (port 0: one is chosen), whether or not somebody listens there.
  virtual std::unique_ptr<Place> hold(const Address& address) = 0;
};

class Listener {
 public:
  // Listens on an address (port 0: the system chooses), shared with other processes where asked, or on a
  // listening socket that this process was started with.
  Listener(Reactor& reactor, const Address& address, bool shared, Accepted accepted)
      : place_(reactor.listen(address, shared, std::move(accepted))) {}
  Listener(Reactor& reactor, int inherited, Accepted accepted)
      : place_(reactor.listen_inherited(inherited, std::move(accepted))) {}
  Address address() const { return place_->address(); }
  // Every connection that stands in the queue: what is left there when the listener goes is reset.
  void take_all() { place_->take_all(); }
  // Asked before each is taken; where it says no, what has come stands in the queue and is looked at again.
  void take_where(std::function<bool()> room) { place_->take_where(std::move(room)); }

 private:
  std::unique_ptr<Place> place_;
};

class Datagrams {
 public:
  Datagrams(Reactor& reactor, const Address& address, Heard heard)
      : place_(reactor.hear(address, std::move(heard))) {}
  Datagrams(Reactor& reactor, int inherited, Heard heard)
      : place_(reactor.hear_inherited(inherited, std::move(heard))) {}
  bool send(const Address& to, std::string_view bytes) {  // false: dropped, the system's queue is full
    return place_->send(to, bytes);
  }
  Address address() const { return place_->address(); }

 private:
  std::unique_ptr<Place> place_;
};

}  // namespace rushhill::transport
