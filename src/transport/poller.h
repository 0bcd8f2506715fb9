// Waits on many descriptors at once: epoll, level-triggered. A wait is counted by the system on its monotonic
// clock, and one that a signal interrupts ends early with nothing ready.
#pragma once

#include <sys/epoll.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "transport/file_descriptor.h"
#include "transport/system_calls.h"

namespace rushhill::transport {

// Names one registration; numbers are never used again, unlike those of descriptors. 0 names none.
using RegistrationId = std::uint64_t;

// What a source waits for, or what is ready.
struct Interest {
  bool readable = false;
  bool writable = false;
  bool operator==(const Interest&) const = default;
  bool any() const { return readable || writable; }
};

// What is ready, by registration; those that were registered first come first.
using ReadySet = std::map<RegistrationId, Interest>;

// Registers descriptors with the system and waits for them.
class Poller {
 public:
  // How many the system reports at most in one wait.
  static constexpr std::size_t max_events = 1024;

  // Throws std::system_error where the system has no descriptor for it.
  explicit Poller(SystemCalls& system);

  // Each returns whether the system did it; where it did not, errno tells why and nothing has changed.
  bool add(int descriptor, RegistrationId id, Interest interest);
  bool update(int descriptor, RegistrationId id, Interest interest);
  // Tried several times in place: a descriptor that stays registered would be reported forever.
  void remove(int descriptor);

  // Adds what is ready to `ready`, also where a signal cuts the wait short, after at most `timeout_ms`, and
  // returns how many the system reported.
  std::size_t wait(int timeout_ms, ReadySet& ready);

 private:
  // By epoll_ctl()'s numbers.
  enum class Operation : std::uint8_t { add = EPOLL_CTL_ADD, remove = EPOLL_CTL_DEL, update = EPOLL_CTL_MOD };
  bool control(Operation operation, int descriptor, Interest interest, RegistrationId id);

  SystemCalls& system_;
  FileDescriptor descriptor_;
  std::array<epoll_event, max_events> events_{};
};

}  // namespace rushhill::transport
