#include "transport/system_calls.h"

#include <time.h>
#include <unistd.h>

namespace rushhill::transport {
namespace {

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;

}  // namespace

int SystemCalls::socket(int domain, int type, int protocol) { return ::socket(domain, type, protocol); }
int SystemCalls::bind(int descriptor, const sockaddr* address, socklen_t length) {
  return ::bind(descriptor, address, length);
}
int SystemCalls::listen(int descriptor, int backlog) { return ::listen(descriptor, backlog); }
int SystemCalls::connect(int descriptor, const sockaddr* address, socklen_t length) {
  return ::connect(descriptor, address, length);
}
int SystemCalls::accept4(int descriptor, sockaddr* address, socklen_t* length, int flags) {
  return ::accept4(descriptor, address, length, flags);
}
ssize_t SystemCalls::send(int descriptor, const void* bytes, std::size_t count, int flags) {
  return ::send(descriptor, bytes, count, flags);
}
ssize_t SystemCalls::recv(int descriptor, void* bytes, std::size_t count, int flags) {
  return ::recv(descriptor, bytes, count, flags);
}
ssize_t SystemCalls::sendto(int descriptor, const void* bytes, std::size_t count, int flags,
                            const sockaddr* to, socklen_t length) {
  return ::sendto(descriptor, bytes, count, flags, to, length);
}
ssize_t SystemCalls::recvfrom(int descriptor, void* bytes, std::size_t count, int flags, sockaddr* from,
                              socklen_t* length) {
  return ::recvfrom(descriptor, bytes, count, flags, from, length);
}
int SystemCalls::shutdown(int descriptor, int how) { return ::shutdown(descriptor, how); }
int SystemCalls::setsockopt(int descriptor, int level, int name, const void* value, socklen_t length) {
  return ::setsockopt(descriptor, level, name, value, length);
}
int SystemCalls::getsockopt(int descriptor, int level, int name, void* value, socklen_t* length) {
  return ::getsockopt(descriptor, level, name, value, length);
}
int SystemCalls::getsockname(int descriptor, sockaddr* address, socklen_t* length) {
  return ::getsockname(descriptor, address, length);
}
int SystemCalls::close(int descriptor) { return ::close(descriptor); }

int SystemCalls::poll(pollfd* descriptors, nfds_t count, int timeout_ms) {
  return ::poll(descriptors, count, timeout_ms);
}
int SystemCalls::epoll_create1(int flags) { return ::epoll_create1(flags); }
int SystemCalls::epoll_ctl(int poller, int operation, int descriptor, epoll_event* event) {
  return ::epoll_ctl(poller, operation, descriptor, event);
}
int SystemCalls::epoll_wait(int poller, epoll_event* events, int max_events, int timeout_ms) {
  return ::epoll_wait(poller, events, max_events, timeout_ms);
}

std::int64_t SystemCalls::unix_ns() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<std::int64_t>(now.tv_sec) * nanoseconds_per_second + now.tv_nsec;
}

SystemCalls& SystemCalls::real() {
  static SystemCalls calls;
  return calls;
}

}  // namespace rushhill::transport
