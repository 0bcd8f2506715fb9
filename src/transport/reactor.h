// The single-threaded event loop: timers, byte streams, listeners and datagram sockets.
//
// `Loop` implements it on sockets, and the emulator's network in memory and virtual time. Nothing here
// blocks. All calls must be made from the loop's thread, except halt(), which a signal handler may call too.
#pragma once

#include <cstdint>
#include <memory>

#include "transport/bound_socket.h"
#include "transport/stream.h"

namespace rushhill::transport {

// Reads the machine's monotonic clock, which is the same for all processes, in nanoseconds.
std::int64_t monotonic_ns();

// Interface of the event loop; see above. Its functions throw std::system_error if they cannot bind an
// address.
class Reactor : public core::TimerService {
 public:
  virtual void run() = 0;  // until halt()
  virtual void halt() = 0;

  // Both are in nanoseconds: the monotonic clock that timestamps event records, and the Unix time.
  virtual std::int64_t clock_ns() const = 0;
  virtual std::int64_t unix_ns() const = 0;
  // When the loop learned of the events that it is handling: the monotonic time, in nanoseconds, at which the
  // poll that reported them returned. It is the same for all events of one iteration, whose order says
  // nothing about the order in which they happened. What this process does itself happens at clock_ns().
  virtual std::int64_t event_time_ns() const = 0;

  virtual std::shared_ptr<Stream> connect(const Address& address, StreamHandler& handler) = 0;
  virtual std::shared_ptr<Stream> adopt(const PendingConnection& connection, StreamHandler& handler) = 0;
  virtual std::unique_ptr<BoundSocket> listen(const Address& address, bool shared, AcceptHandler handler) = 0;
  virtual std::unique_ptr<BoundSocket> listen_inherited(int descriptor, AcceptHandler handler) = 0;
  virtual std::unique_ptr<BoundSocket> open_datagrams(const Address& address, DatagramHandler handler) = 0;
  virtual std::unique_ptr<BoundSocket> open_inherited_datagrams(int descriptor, DatagramHandler handler) = 0;
  // Keeps an address reserved, whether or not anything listens there. Port 0 lets the system choose the port.
  virtual std::unique_ptr<BoundSocket> reserve(const Address& address) = 0;
};

}  // namespace rushhill::transport
