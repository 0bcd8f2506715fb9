// Waits for many descriptors at once with level-triggered epoll. The system measures the timeout of a wait on
// its monotonic clock.
#pragma once

#include <sys/epoll.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "transport/file_descriptor.h"
#include "transport/system_calls.h"

namespace rushhill::transport {

// Identifies one registration. Unlike descriptor numbers, these are never reused. 0 identifies none.
using RegistrationId = std::uint64_t;

// The events that a source waits for, or that have been reported for it.
struct Interest {
  bool readable = false;
  bool writable = false;
  bool operator==(const Interest&) const = default;
  bool any() const { return readable || writable; }
};

// The events that have been reported, by registration; the oldest registration comes first.
using ReadySet = std::map<RegistrationId, Interest>;

// Registers descriptors with the system and waits for them.
class Poller {
 public:
  // The most descriptors that the system reports in one wait.
  static constexpr std::size_t max_events = 1024;

  // Throws std::system_error if the system cannot create an epoll instance.
  explicit Poller(SystemCalls& system);

  // Both return whether the system accepted the change. If not, errno has the reason and nothing has changed.
  bool add(int descriptor, RegistrationId id, Interest interest);
  bool update(int descriptor, RegistrationId id, Interest interest);
  // Retries a failure several times at once, because a descriptor that stays registered would be reported
  // again and again.
  void remove(int descriptor);

  // Waits for at most `timeout_ms`, adds the reported events to `ready` and returns the number of descriptors
  // that the system reported. A wait that a signal interrupts ends early, but still reports what is ready.
  std::size_t wait(int timeout_ms, ReadySet& ready);

 private:
  // With the values of epoll_ctl().
  enum class Operation : std::uint8_t { add = EPOLL_CTL_ADD, remove = EPOLL_CTL_DEL, update = EPOLL_CTL_MOD };
  bool control(Operation operation, int descriptor, Interest interest, RegistrationId id);

  SystemCalls& system_;
  FileDescriptor descriptor_;
  std::array<epoll_event, max_events> events_{};
};

}  // namespace rushhill::transport
