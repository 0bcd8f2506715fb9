#include "transport/poller.h"

#include <cerrno>
#include <system_error>

#include "transport/sockets.h"

namespace rushhill::transport {
namespace {

// An error or a hang-up counts as both; the source learns of it from its next read or write.
constexpr std::uint32_t readable_events = EPOLLIN | EPOLLERR | EPOLLHUP;
constexpr std::uint32_t writable_events = EPOLLOUT | EPOLLERR | EPOLLHUP;

constexpr int max_tries = 8;  // of a call that may fail only temporarily

}  // namespace

Poller::Poller(SystemCalls& system)
    : system_(system),
      descriptor_(system, retry_briefly(system, [&] { return system.epoll_create1(EPOLL_CLOEXEC); })) {
  if (!descriptor_.open()) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

bool Poller::add(int descriptor, RegistrationId id, Interest interest) {
  // A descriptor that could not be removed earlier is still registered.
  return control(Operation::add, descriptor, interest, id) ||
         (errno == EEXIST && control(Operation::update, descriptor, interest, id));
}

bool Poller::update(int descriptor, RegistrationId id, Interest interest) {
  return control(Operation::update, descriptor, interest, id);
}

void Poller::remove(int descriptor) {
  for (int tries = 0; tries < max_tries && !control(Operation::remove, descriptor, {}, 0); ++tries) {}
}

bool Poller::control(Operation operation, int descriptor, Interest interest, RegistrationId id) {
  epoll_event event{};
  if (interest.readable) event.events |= EPOLLIN;
  if (interest.writable) event.events |= EPOLLOUT;
  event.data.u64 = id;
  return system_.epoll_ctl(descriptor_.number(), static_cast<int>(operation), descriptor, &event) == 0;
}

std::size_t Poller::wait(int timeout_ms, ReadySet& ready) {
  const auto max_reported = static_cast<int>(events_.size());
  int reported = system_.epoll_wait(descriptor_.number(), events_.data(), max_reported, timeout_ms);
  // An interrupted wait reports nothing, but the caller takes whatever is not reported as not ready. So the
  // ready descriptors are fetched without waiting again.
  for (int tries = 1; reported < 0 && errno == EINTR && tries < max_tries; ++tries)
    reported = system_.epoll_wait(descriptor_.number(), events_.data(), max_reported, 0);
  if (reported < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
  for (int i = 0; i < reported; ++i) {
    const epoll_event& event = events_[static_cast<std::size_t>(i)];
    Interest& found = ready[event.data.u64];
    found.readable |= (event.events & readable_events) != 0;
    found.writable |= (event.events & writable_events) != 0;
  }
  return reported < 0 ? 0 : static_cast<std::size_t>(reported);
}

}  // namespace rushhill::transport
