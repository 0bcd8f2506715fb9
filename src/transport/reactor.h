// The one thread's event loop: timers, byte streams, listeners and datagrams.
//
// `Loop` provides them on sockets, the emulator's network in memory and virtual time. Nothing here blocks.
// All calls are made from the loop's thread, except halt(), which a signal's handler may make too.
#pragma once

#include <cstdint>
#include <memory>

#include "transport/bound_socket.h"
#include "transport/stream.h"

namespace rushhill::transport {

// The machine's monotonic clock, the same for all processes, in nanoseconds.
std::int64_t monotonic_ns();

// What the loop provides; see above. Addresses that cannot be bound throw std::system_error.
class Reactor : public core::TimerService {
 public:
  virtual void run() = 0;  // until halt()
  virtual void halt() = 0;

  // Nanoseconds: the clock of the event records, and the Unix time.
  virtual std::int64_t clock_ns() const = 0;
  virtual std::int64_t unix_ns() const = 0;

  virtual std::shared_ptr<Stream> connect(const Address& address, StreamHandler& handler) = 0;
  virtual std::shared_ptr<Stream> adopt(const PendingConnection& connection, StreamHandler& handler) = 0;
  virtual std::unique_ptr<BoundSocket> listen(const Address& address, bool shared, AcceptHandler handler) = 0;
  virtual std::unique_ptr<BoundSocket> listen_inherited(int descriptor, AcceptHandler handler) = 0;
  virtual std::unique_ptr<BoundSocket> open_datagrams(const Address& address, DatagramHandler handler) = 0;
  virtual std::unique_ptr<BoundSocket> open_inherited_datagrams(int descriptor, DatagramHandler handler) = 0;
  // Keeps an address (port 0: one is chosen) whether or not somebody listens there.
  virtual std::unique_ptr<BoundSocket> reserve(const Address& address) = 0;
};

}  // namespace rushhill::transport
