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

struct Interest {
  bool readable = false;
  bool writable = false;
  bool operator==(const Interest&) const = default;
  bool any() const { return readable || writable; }
};

// What is ready, by registration; those that were registered first come first.
using ReadySet = std::map<RegistrationId, Interest>;

class Poller {
 public:
  // How many the system names at the most in one wait.
  static constexpr std::size_t most_named = 1024;

  // Throws std::system_error where the system has no descriptor for it.
  explicit Poller(SystemCalls& system);

  // Each returns whether the system did it; where it did not, errno tells why and nothing has changed.
  bool add(int descriptor, RegistrationId id, Interest interest);
  bool update(int descriptor, RegistrationId id, Interest interest);
  void remove(int descriptor);

  // Adds what is ready to `ready`, after at most `timeout_ms`, and returns how many the system named.
  std::size_t wait(int timeout_ms, ReadySet& ready);

 private:
  bool control(int operation, int descriptor, RegistrationId id, Interest interest);

  SystemCalls& system_;
  FileDescriptor descriptor_;
  std::array<epoll_event, most_named> events_{};
};

}  // namespace rushhill::transport
