// An interface to the system calls of the event loop, so that a test can make each of them fail in every
// documented way. Each function behaves as the system call of the same name: it returns -1 and sets errno on
// failure.
#pragma once

#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <cstddef>
#include <cstdint>

namespace rushhill::transport {

// Makes the system calls. Tests derive a class that overrides them.
class SystemCalls {
 public:
  SystemCalls() = default;
  SystemCalls(const SystemCalls&) = delete;
  SystemCalls& operator=(const SystemCalls&) = delete;
  SystemCalls(SystemCalls&&) = delete;
  SystemCalls& operator=(SystemCalls&&) = delete;
  virtual ~SystemCalls() = default;

  virtual int socket(int domain, int type, int protocol);
  virtual int bind(int descriptor, const sockaddr* address, socklen_t length);
  virtual int listen(int descriptor, int backlog);
  virtual int connect(int descriptor, const sockaddr* address, socklen_t length);
  virtual int accept4(int descriptor, sockaddr* address, socklen_t* length, int flags);
  virtual ssize_t send(int descriptor, const void* bytes, std::size_t count, int flags);
  virtual ssize_t recv(int descriptor, void* bytes, std::size_t count, int flags);
  virtual ssize_t sendto(int descriptor, const void* bytes, std::size_t count, int flags, const sockaddr* to,
                         socklen_t length);
  virtual ssize_t recvfrom(int descriptor, void* bytes, std::size_t count, int flags, sockaddr* from,
                           socklen_t* length);
  virtual int shutdown(int descriptor, int how);
  virtual int setsockopt(int descriptor, int level, int name, const void* value, socklen_t length);
  virtual int getsockopt(int descriptor, int level, int name, void* value, socklen_t* length);
  virtual int getsockname(int descriptor, sockaddr* address, socklen_t* length);
  virtual int close(int descriptor);

  virtual int poll(pollfd* descriptors, nfds_t count, int timeout_ms);
  virtual int epoll_create1(int flags);
  virtual int epoll_ctl(int poller, int operation, int descriptor, epoll_event* event);
  virtual int epoll_wait(int poller, epoll_event* events, int max_events, int timeout_ms);

  // Unix time in nanoseconds. It may jump when the system clock is set.
  virtual std::int64_t unix_ns();

  // Returns an instance that makes the real system calls.
  static SystemCalls& real();
};

}  // namespace rushhill::transport
