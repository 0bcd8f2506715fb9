// Clients by hand that take a router's descriptors: each comes, says what it says, and stays as it is.
#pragma once

#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "transport/address.h"

namespace rushhill {

// The story's own descriptors: as many as the system permits.
inline void raise_descriptors() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

// One client that is no part of any loop. Its window: the bytes that it takes without reading; 0: many.
class Caller {
 public:
  explicit Caller(const transport::Address& to, int window = 0)
      : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    if (window > 0) setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    connect(socket_, to.addr(), to.length());
    pollfd waiting{.fd = socket_, .events = POLLOUT, .revents = 0};
    poll(&waiting, 1, connected_within_ms);
  }
  ~Caller() { ::close(socket_); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  void send(const std::string& bytes) const { ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
  // Returns how many bytes the system has taken.
  std::size_t send_some(const std::string& bytes) const {
    const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  const std::string& seen() {
    char bytes[4096];
    for (ssize_t got = 0; (got = recv(socket_, bytes, sizeof bytes, 0)) > 0;)
      seen_.append(bytes, static_cast<std::size_t>(got));
    return seen_;
  }
  bool closed() const {
    pollfd waiting{.fd = socket_, .events = POLLRDHUP, .revents = 0};
    return poll(&waiting, 1, 0) == 1;
  }

 private:
  static constexpr int connected_within_ms = 200;  // by the system alone, on loopback
  int socket_;
  std::string seen_;
};

enum class ClientBehavior { silent, idle, half_request, slow_reader };

// Whoever of them is closed comes back.
class ReconnectingClients {
 public:
  using Greeting = std::function<std::string(ClientBehavior)>;  // what one of this habit says

  ReconnectingClients(const transport::Address& to, std::size_t size, std::vector<ClientBehavior> habits,
                      Greeting greeting)
      : to_(to), habits_(std::move(habits)), greeting_(std::move(greeting)), callers_(size) {}
  // A part of them at a time, so that whoever else comes is not behind them all.
  void step() {
    ++steps_;
    for (std::size_t i = 0; i < at_once; ++i, ++at_) {
      auto& caller = callers_[at_ % callers_.size()];
      if (caller && !caller->closed()) continue;
      const ClientBehavior habit = habits_[at_ % habits_.size()];
      // Each costs the server large answers: what is tried here is not how many of these it can give.
      if (habit == ClientBehavior::slow_reader) {
        if (steps_ - last_slow_ < slow_after) continue;
        last_slow_ = steps_;
      }
      caller = std::make_unique<Caller>(to_, habit == ClientBehavior::slow_reader ? small_window : 0);
      caller->send(greeting_(habit));
    }
  }

 private:
  static constexpr std::size_t at_once = 8;      // clients looked at in a step
  static constexpr std::size_t slow_after = 20;  // steps between two slow readers
  static constexpr int small_window = 2 * 1024;  // bytes that a slow reader takes, all in all
  transport::Address to_;
  std::vector<ClientBehavior> habits_;
  Greeting greeting_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::size_t at_ = 0, steps_ = slow_after, last_slow_ = 0;
};

}  // namespace rushhill
