#include "transport/poller.h"

#include <cerrno>
#include <system_error>

namespace rushhill::transport {
namespace {

// An error or a hang-up is found by whoever reads or writes.
constexpr std::uint32_t readable_events = EPOLLIN | EPOLLERR | EPOLLHUP;
constexpr std::uint32_t writable_events = EPOLLOUT | EPOLLERR | EPOLLHUP;

}  // namespace

Poller::Poller(SystemCalls& system)
    : system_(system), descriptor_(system, system.epoll_create1(EPOLL_CLOEXEC)) {
  if (!descriptor_.open()) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

bool Poller::add(int descriptor, RegistrationId id, Interest interest) {
  return control(EPOLL_CTL_ADD, descriptor, id, interest);
}

bool Poller::update(int descriptor, RegistrationId id, Interest interest) {
  return control(EPOLL_CTL_MOD, descriptor, id, interest);
}

void Poller::remove(int descriptor) { control(EPOLL_CTL_DEL, descriptor, 0, {}); }

bool Poller::control(int operation, int descriptor, RegistrationId id, Interest interest) {
  epoll_event event{};
  if (interest.readable) event.events |= EPOLLIN;
  if (interest.writable) event.events |= EPOLLOUT;
  event.data.u64 = id;
  return system_.epoll_ctl(descriptor_.number(), operation, descriptor, &event) == 0;
}

std::size_t Poller::wait(int timeout_ms, ReadySet& ready) {
  const int named =
      system_.epoll_wait(descriptor_.number(), events_.data(), static_cast<int>(events_.size()), timeout_ms);
  if (named < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
  for (int i = 0; i < named; ++i) {
    const epoll_event& event = events_[static_cast<std::size_t>(i)];
    Interest& found = ready[event.data.u64];
    found.readable |= (event.events & readable_events) != 0;
    found.writable |= (event.events & writable_events) != 0;
  }
  return named < 0 ? 0 : static_cast<std::size_t>(named);
}

}  // namespace rushhill::transport
