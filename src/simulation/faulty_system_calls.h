// System calls that fail as Linux documents: drawn from a seed at a rate for each call, or one
// call once. A failure is what the manual says of it: where the call has done its work all the same (close(),
// an interrupted connect()) the call is made, and a connection that breaks stays broken.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <span>

#include "transport/system_calls.h"

namespace rushhill::simulation {

// The calls that can fail.
enum class SystemCall : std::uint8_t {
  socket,
  bind,
  connect,
  connect_outcome,  // SO_ERROR of a connection that came up
  accept4,
  send,
  recv,
  sendto,
  recvfrom,
  setsockopt,
  getsockopt,
  getsockname,
  close,
  poll,
  epoll_create1,
  epoll_ctl,
  epoll_wait
};
constexpr std::size_t system_call_count = static_cast<std::size_t>(SystemCall::epoll_wait) + 1;

// One documented failure.
struct SystemCallFailure {
  SystemCall call = SystemCall::socket;
  int error = 0;  // errno; 0: no failure but fewer bytes than asked for
  // The connection is broken from then on: only ever one that this process opened.
  bool breaks_connection = false;
  // It says of the peer that it was not reached, in place of something that this machine lacks.
  bool accuses_peer = false;
};

// All known failures, each once.
std::span<const SystemCallFailure> documented_failures();

// Counts all calls and makes some fail.
class FaultySystemCalls final : public transport::SystemCalls {
 public:
  explicit FaultySystemCalls(std::uint64_t seed) : random_(seed) {}

  // From now on that share of these calls fails, as drawn from the documented failures.
  void fail_at_rate(SystemCall call, double rate);
  // Every call at the same rate; of it, a tenth are failures that break a connection or accuse the peer.
  void fail_all_at_rate(double rate);
  // The nth of the calls for which this failure is possible, counted from 1 from now on, fails, once.
  void fail_once(const SystemCallFailure& failure, int nth);
  // Every such call fails from now on, until heal().
  void fail_always(const SystemCallFailure& failure) { always_ = failure; }
  // No call fails any more.
  void heal();

  std::uint64_t calls() const { return calls_; }
  std::uint64_t failures() const { return failures_; }

  int socket(int domain, int type, int protocol) override;
  int bind(int descriptor, const sockaddr* address, socklen_t length) override;
  int connect(int descriptor, const sockaddr* address, socklen_t length) override;
  int accept4(int descriptor, sockaddr* address, socklen_t* length, int flags) override;
  ssize_t send(int descriptor, const void* bytes, std::size_t count, int flags) override;
  ssize_t recv(int descriptor, void* bytes, std::size_t count, int flags) override;
  ssize_t sendto(int descriptor, const void* bytes, std::size_t count, int flags, const sockaddr* to,
                 socklen_t length) override;
  ssize_t recvfrom(int descriptor, void* bytes, std::size_t count, int flags, sockaddr* from,
                   socklen_t* length) override;
  int setsockopt(int descriptor, int level, int name, const void* value, socklen_t length) override;
  int getsockopt(int descriptor, int level, int name, void* value, socklen_t* length) override;
  int getsockname(int descriptor, sockaddr* address, socklen_t* length) override;
  int close(int descriptor) override;
  int poll(pollfd* descriptors, nfds_t count, int timeout_ms) override;
  int epoll_create1(int flags) override;
  int epoll_ctl(int poller, int operation, int descriptor, epoll_event* event) override;
  int epoll_wait(int poller, epoll_event* events, int most, int timeout_ms) override;

 private:
  // A failure that is due after so many calls.
  struct Once {
    SystemCallFailure failure;
    int left = 0;
  };
  // How this call fails, if it does; `permits` tells which failures are possible now.
  template <typename Permits>
  std::optional<SystemCallFailure> draw(SystemCall call, Permits permits);
  template <typename Permits>
  std::optional<SystemCallFailure> scripted(SystemCall call, Permits permits);
  template <typename Permits>
  std::optional<SystemCallFailure> draw_at_rate(SystemCall call, Permits permits);
  std::optional<SystemCallFailure> draw(SystemCall call);
  // The same of an open connection; one that this process opened can break.
  std::optional<SystemCallFailure> draw_of_connection(SystemCall call, int descriptor);
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  std::mt19937_64 random_;
  std::array<double, system_call_count> rates_{};
  std::optional<Once> once_;
  std::optional<SystemCallFailure> always_;
  std::set<int> opened_;  // descriptors of connections that this process opened
  std::set<int> broken_;
  std::uint64_t calls_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace rushhill::simulation
