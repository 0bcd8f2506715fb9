#include "simulation/faulty_system_calls.h"

#include <cerrno>
#include <vector>

namespace rushhill::simulation {
namespace {

using enum SystemCall;

constexpr double harsh_part = 0.1;  // of a rate: failures that break a connection or accuse its peer

constexpr SystemCallFailure breaking(SystemCall call, int error) {
  return {.call = call, .error = error, .breaks_connection = true};
}
constexpr SystemCallFailure accusing(SystemCall call, int error) {
  return {.call = call, .error = error, .accuses_peer = true};
}

constexpr auto documented = std::to_array<SystemCallFailure>({
    {socket, EMFILE},
    {socket, ENFILE},
    {socket, ENOBUFS},
    {socket, ENOMEM},
    {socket, EACCES},
    {bind, ENOMEM},
    {connect, EINTR},
    {connect, ENFILE},
    {connect, ENOBUFS},
    {connect, ENOMEM},
    {connect, EADDRNOTAVAIL},
    {connect, ENETUNREACH},
    {connect, EAGAIN},
    {connect, EPERM},
    {connect, EACCES},
    accusing(connect, ECONNREFUSED),
    accusing(connect, EHOSTUNREACH),
    accusing(connect, ETIMEDOUT),
    {connect_outcome, ENETUNREACH},
    {connect_outcome, EADDRNOTAVAIL},
    {connect_outcome, ENOBUFS},
    accusing(connect_outcome, ECONNREFUSED),
    accusing(connect_outcome, ETIMEDOUT),
    accusing(connect_outcome, EHOSTUNREACH),
    {accept4, EINTR},
    {accept4, ECONNABORTED},
    {accept4, EMFILE},
    {accept4, ENFILE},
    {accept4, ENOBUFS},
    {accept4, ENOMEM},
    {accept4, EPERM},
    {accept4, EPROTO},
    {accept4, ENETDOWN},
    {accept4, ENOPROTOOPT},
    {accept4, EHOSTDOWN},
    {accept4, ENONET},
    {accept4, EHOSTUNREACH},
    {accept4, EOPNOTSUPP},
    {accept4, ENETUNREACH},
    {accept4, ETIMEDOUT},
    {send, 0},
    {send, EINTR},
    {send, EAGAIN},
    {send, ENOBUFS},
    {send, ENOMEM},
    breaking(send, ECONNRESET),
    breaking(send, EPIPE),
    breaking(send, ETIMEDOUT),
    breaking(send, EHOSTUNREACH),
    {recv, 0},
    {recv, EINTR},
    {recv, ENOMEM},
    {recv, ENOBUFS},
    breaking(recv, ECONNRESET),
    breaking(recv, ETIMEDOUT),
    breaking(recv, EHOSTUNREACH),
    {sendto, EINTR},
    {sendto, EAGAIN},
    {sendto, ENOBUFS},
    {sendto, ENOMEM},
    {sendto, EPERM},
    {sendto, ECONNREFUSED},
    {recvfrom, EINTR},
    {recvfrom, ENOMEM},
    {recvfrom, ECONNREFUSED},
    {setsockopt, ENOMEM},
    {setsockopt, ENOBUFS},
    {getsockopt, ENOBUFS},
    {getsockname, ENOBUFS},
    {close, EINTR},
    {close, EIO},
    {poll, EINTR},
    {poll, ENOMEM},
    {epoll_create1, EMFILE},
    {epoll_create1, ENFILE},
    {epoll_create1, ENOMEM},
    {epoll_ctl, ENOMEM},
    {epoll_ctl, ENOSPC},
    {epoll_wait, EINTR},
});

bool is_harsh(const SystemCallFailure& failure) { return failure.breaks_connection || failure.accuses_peer; }

// Fails as the system does.
int fail(const SystemCallFailure& failure) {
  errno = failure.error;
  return -1;
}

}  // namespace

std::span<const SystemCallFailure> documented_failures() { return documented; }

void FaultySystemCalls::fail_at_rate(SystemCall call, double rate) {
  rates_[static_cast<std::size_t>(call)] = rate;
}
void FaultySystemCalls::fail_all_at_rate(double rate) { rates_.fill(rate); }
void FaultySystemCalls::fail_once(const SystemCallFailure& failure, int nth) { once_ = Once{failure, nth}; }
void FaultySystemCalls::heal() {
  rates_.fill(0);
  once_.reset();
  always_.reset();
}

template <typename Permits>
std::optional<SystemCallFailure> FaultySystemCalls::draw(SystemCall call, Permits permits) {
  ++calls_;
  std::optional<SystemCallFailure> failure = scripted(call, permits);
  if (!failure) failure = draw_at_rate(call, permits);
  if (failure) ++failures_;
  return failure;
}

// The failure that a test has asked for, where it is due.
template <typename Permits>
std::optional<SystemCallFailure> FaultySystemCalls::scripted(SystemCall call, Permits permits) {
  if (always_ && always_->call == call && permits(*always_)) return always_;
  if (!once_ || once_->failure.call != call || !permits(once_->failure)) return std::nullopt;
  if (--once_->left > 0) return std::nullopt;
  const SystemCallFailure failure = once_->failure;
  once_.reset();
  return failure;
}

template <typename Permits>
std::optional<SystemCallFailure> FaultySystemCalls::draw_at_rate(SystemCall call, Permits permits) {
  const double rate = rates_[static_cast<std::size_t>(call)];
  if (rate <= 0 || uniform() >= rate) return std::nullopt;
  const bool harsh = uniform() < harsh_part;
  std::vector<SystemCallFailure> candidates;
  for (const SystemCallFailure& failure : documented) {
    const bool fits = failure.call == call && is_harsh(failure) == harsh;
    if (fits && permits(failure)) candidates.push_back(failure);
  }
  if (candidates.empty()) return std::nullopt;
  return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random_)];
}

std::optional<SystemCallFailure> FaultySystemCalls::draw(SystemCall call) {
  return draw(call, [](const SystemCallFailure&) { return true; });
}
std::optional<SystemCallFailure> FaultySystemCalls::draw_of_connection(SystemCall call, int descriptor) {
  const bool ours = opened_.contains(descriptor);
  auto failure =
      draw(call, [&](const SystemCallFailure& candidate) { return ours || !candidate.breaks_connection; });
  if (failure && failure->breaks_connection) broken_.insert(descriptor);
  return failure;
}

int FaultySystemCalls::socket(int domain, int type, int protocol) {
  if (const auto failure = draw(SystemCall::socket)) return fail(*failure);
  return SystemCalls::socket(domain, type, protocol);
}

int FaultySystemCalls::bind(int descriptor, const sockaddr* address, socklen_t length) {
  if (const auto failure = draw(SystemCall::bind)) return fail(*failure);
  return SystemCalls::bind(descriptor, address, length);
}

// An interrupted one goes on being set up.
int FaultySystemCalls::connect(int descriptor, const sockaddr* address, socklen_t length) {
  const auto failure = draw(SystemCall::connect);
  if (failure && failure->error != EINTR) return fail(*failure);
  opened_.insert(descriptor);
  const int result = SystemCalls::connect(descriptor, address, length);
  return failure ? fail(*failure) : result;
}

// The connection stays in the queue: what failed was the call.
int FaultySystemCalls::accept4(int descriptor, sockaddr* address, socklen_t* length, int flags) {
  if (const auto failure = draw(SystemCall::accept4)) return fail(*failure);
  return SystemCalls::accept4(descriptor, address, length, flags);
}

ssize_t FaultySystemCalls::send(int descriptor, const void* bytes, std::size_t count, int flags) {
  if (broken_.contains(descriptor)) return fail({.call = SystemCall::send, .error = EPIPE});
  const auto failure = draw_of_connection(SystemCall::send, descriptor);
  if (failure && failure->error != 0) return fail(*failure);
  return SystemCalls::send(descriptor, bytes, failure && count > 1 ? count / 2 : count, flags);
}

ssize_t FaultySystemCalls::recv(int descriptor, void* bytes, std::size_t count, int flags) {
  if (broken_.contains(descriptor)) return 0;
  const auto failure = draw_of_connection(SystemCall::recv, descriptor);
  if (failure && failure->error != 0) return fail(*failure);
  return SystemCalls::recv(descriptor, bytes, failure ? 1 : count, flags);
}

ssize_t FaultySystemCalls::sendto(int descriptor, const void* bytes, std::size_t count, int flags,
                                  const sockaddr* to, socklen_t length) {
  if (const auto failure = draw(SystemCall::sendto)) return fail(*failure);
  return SystemCalls::sendto(descriptor, bytes, count, flags, to, length);
}

ssize_t FaultySystemCalls::recvfrom(int descriptor, void* bytes, std::size_t count, int flags, sockaddr* from,
                                    socklen_t* length) {
  if (const auto failure = draw(SystemCall::recvfrom)) return fail(*failure);
  return SystemCalls::recvfrom(descriptor, bytes, count, flags, from, length);
}

int FaultySystemCalls::setsockopt(int descriptor, int level, int name, const void* value, socklen_t length) {
  if (const auto failure = draw(SystemCall::setsockopt)) return fail(*failure);
  return SystemCalls::setsockopt(descriptor, level, name, value, length);
}

int FaultySystemCalls::getsockopt(int descriptor, int level, int name, void* value, socklen_t* length) {
  if (const auto failure = draw(SystemCall::getsockopt)) return fail(*failure);
  const int result = SystemCalls::getsockopt(descriptor, level, name, value, length);
  if (result != 0 || level != SOL_SOCKET || name != SO_ERROR || *static_cast<int*>(value) != 0) return result;
  if (const auto failure = draw(SystemCall::connect_outcome)) *static_cast<int*>(value) = failure->error;
  return result;
}

int FaultySystemCalls::getsockname(int descriptor, sockaddr* address, socklen_t* length) {
  if (const auto failure = draw(SystemCall::getsockname)) return fail(*failure);
  return SystemCalls::getsockname(descriptor, address, length);
}

// Linux has released the descriptor where close() fails.
int FaultySystemCalls::close(int descriptor) {
  opened_.erase(descriptor);
  broken_.erase(descriptor);
  const int result = SystemCalls::close(descriptor);
  if (const auto failure = draw(SystemCall::close)) return fail(*failure);
  return result;
}

int FaultySystemCalls::poll(pollfd* descriptors, nfds_t count, int timeout_ms) {
  if (const auto failure = draw(SystemCall::poll)) return fail(*failure);
  return SystemCalls::poll(descriptors, count, timeout_ms);
}

int FaultySystemCalls::epoll_create1(int flags) {
  if (const auto failure = draw(SystemCall::epoll_create1)) return fail(*failure);
  return SystemCalls::epoll_create1(flags);
}

int FaultySystemCalls::epoll_ctl(int poller, int operation, int descriptor, epoll_event* event) {
  const auto failure = draw(SystemCall::epoll_ctl, [operation](const SystemCallFailure& candidate) {
    return candidate.error != ENOSPC || operation == EPOLL_CTL_ADD;
  });
  return failure ? fail(*failure) : SystemCalls::epoll_ctl(poller, operation, descriptor, event);
}

// A signal comes halfway through the wait.
int FaultySystemCalls::epoll_wait(int poller, epoll_event* events, int most, int timeout_ms) {
  const auto failure = draw(SystemCall::epoll_wait);
  if (!failure) return SystemCalls::epoll_wait(poller, events, most, timeout_ms);
  SystemCalls::epoll_wait(poller, events, most, timeout_ms / 2);
  return fail(*failure);
}

}  // namespace rushhill::simulation
