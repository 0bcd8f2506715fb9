// Byte streams between this process and a peer, without blocking.
//
// A stream belongs to whoever connected or adopted it and calls its handler from the reactor's loop, never
// from within the handler's own call of the stream. The handler has to outlive the stream or close it;
// on_closed() is the last call that it gets, and none comes after close() or reset().
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "core/timer_service.h"
#include "transport/address.h"

namespace rushhill::transport {

class Reactor;
class PendingConnection;

// Why a stream was closed by anything but this process.
enum class CloseReason : std::uint8_t {
  connect_failed,  // never established
  closed_by_peer,
  reset,       // reset by the peer, or failed
  not_started  // for lack of a resource on this machine: no byte has left, and it says nothing of the peer
};

// Called by a stream; see above.
class StreamHandler {
 public:
  StreamHandler() = default;
  StreamHandler(const StreamHandler&) = delete;
  StreamHandler& operator=(const StreamHandler&) = delete;
  StreamHandler(StreamHandler&&) = delete;
  StreamHandler& operator=(StreamHandler&&) = delete;
  virtual ~StreamHandler() = default;

  virtual void on_connected() {}
  // All bytes that had to wait have been handed over to the system.
  virtual void on_write_drained() {}
  virtual void on_data(std::string_view bytes) = 0;
  virtual void on_closed(CloseReason reason) = 0;
};

// A connected byte stream. Bytes are written at once, or queued without bound until the system takes them.
class Stream {
 public:
  static std::shared_ptr<Stream> connect(Reactor& reactor, const Address& address, StreamHandler& handler);
  static std::shared_ptr<Stream> adopt(Reactor& reactor, const PendingConnection& connection,
                                       StreamHandler& handler);

  Stream() = default;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  Stream(Stream&&) = delete;
  Stream& operator=(Stream&&) = delete;
  virtual ~Stream() = default;

  virtual void write(std::string_view bytes) = 0;
  // Takes back `count` bytes written `from` bytes after the start, where the system has taken none of them.
  virtual bool cancel_unsent(std::size_t from, std::size_t count) = 0;
  // Bytes that the system has taken, all in all; and bytes that it has not taken yet.
  virtual std::size_t handed_over_bytes() const = 0;
  virtual std::size_t pending_bytes() const = 0;

  // Off: nothing is read, and the peer has to wait.
  virtual void set_reading(bool on) = 0;
  // What can be read next, without reading it.
  enum class Peeked : std::uint8_t { nothing, bytes, end };
  virtual Peeked peek() = 0;
  // How long the bytes that on_data() is given had been here, unread, since the last of them came. 0 where
  // the system can't tell, and where the loop has looked just before.
  virtual Time unread_age() const { return 0; }

  // Ends this side once all bytes are handed over; the peer's bytes still arrive.
  virtual void shutdown_write() = 0;
  // No further call to the handler; bytes that wait are dropped. With reset() the peer sees a reset.
  virtual void close() = 0;
  virtual void reset() = 0;
  virtual bool closed() const = 0;
  // From now on a peer that has vanished is noticed, also while nothing is sent.
  virtual void keepalive() {}
};

}  // namespace rushhill::transport
