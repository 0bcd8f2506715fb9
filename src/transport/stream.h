// Non-blocking byte streams between this process and a peer.
//
// A stream is owned by the object that connected or adopted it. It calls its handler from the reactor's loop,
// never from within the handler's own call to the stream. The handler must outlive the stream or close it.
// on_closed() is the last call to the handler, and no call follows close() or reset().
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

// Why a stream was closed, other than by its handler.
enum class CloseReason : std::uint8_t {
  connect_failed,  // the connection was never established
  closed_by_peer,
  reset,       // reset by the peer, or failed
  not_started  // this machine lacked a resource; no byte was sent, and nothing is known about the peer
};

// Callbacks of a stream; see above.
class StreamHandler {
 public:
  StreamHandler() = default;
  StreamHandler(const StreamHandler&) = delete;
  StreamHandler& operator=(const StreamHandler&) = delete;
  StreamHandler(StreamHandler&&) = delete;
  StreamHandler& operator=(StreamHandler&&) = delete;
  virtual ~StreamHandler() = default;

  virtual void on_connected() {}
  // Bytes that had to wait are about to be sent. They may be rewritten now.
  virtual void on_deferred_send() {}
  // The system has taken all bytes that were waiting.
  virtual void on_write_drained() {}
  virtual void on_data(std::string_view bytes) = 0;
  virtual void on_closed(CloseReason reason) = 0;
};

// A byte stream. Bytes are sent at once, or queued without limit until the system takes them.
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
  // Removes `count` bytes that were written at offset `from` of the stream. Returns false, and removes
  // nothing, unless all of them are still waiting to be sent.
  virtual bool cancel_unsent(std::size_t from, std::size_t count) = 0;
  // Total bytes that the system has taken, and bytes that it has not taken yet.
  virtual std::size_t handed_over_bytes() const = 0;
  virtual std::size_t pending_bytes() const = 0;

  // While reading is off, nothing is read and the peer has to wait.
  virtual void set_reading(bool on) = 0;
  // Returns what can be read next, without reading it.
  enum class Peeked : std::uint8_t { nothing, bytes, end };
  virtual Peeked peek() = 0;
  // Whether what the peer sent some time ago may be unread, because this connection had more to read than its
  // turns allow.
  virtual bool is_reading_delayed() const { return false; }
  // How long the bytes that are passed to on_data() had been waiting in the system, since the last of them
  // arrived. 0 if the system cannot tell, or if the loop polled only shortly before.
  virtual Time unread_age() const { return 0; }

  // Ends this side of the connection once the system has taken all bytes. The peer's bytes still arrive.
  virtual void shutdown_write() = 0;
  // Both drop all waiting bytes, and the handler is not called any more. With reset(), the peer sees a reset.
  virtual void close() = 0;
  virtual void reset() = 0;
  virtual bool closed() const = 0;
  // From now on a vanished peer is detected even if nothing is sent.
  virtual void keepalive() {}
};

}  // namespace rushhill::transport
