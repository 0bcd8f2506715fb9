// Raw peers on loopback for the stories on real sockets: what they send and see is bytes.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/event_log.h"
#include "transport/listener.h"
#include "transport/loop.h"

namespace rushhill {

// Moves a reactor's loop, which can be run only once, a part at a time: it stands still, parked in an alarm,
// while the story looks and acts. Declared right after the reactor.
class EventLoopDriver {
 public:
  explicit EventLoopDriver(transport::Loop& reactor) : reactor_(reactor) {
    reactor_.at(1, [this] { park(); });
    loop_ = std::thread([this] {
      std::unique_lock lock(mutex_);
      wait_.wait(lock, [this] { return loops_turn_; });
      lock.unlock();
      reactor_.run();
    });
  }
  ~EventLoopDriver() {
    ending_ = true;
    give_turn();
    loop_.join();
  }
  EventLoopDriver(const EventLoopDriver&) = delete;
  EventLoopDriver& operator=(const EventLoopDriver&) = delete;

  // False where it does not hold within a time that is far longer than it should take.
  bool until(const std::function<bool()>& holds, Time most = 300'000) {
    const Time end = reactor_.now() + most;
    while (!holds()) {
      if (reactor_.now() >= end) return false;
      pass(10);
    }
    return true;
  }
  // Until its own alarm has rung: the loop parks first at the one that was set before it began to run.
  void pass(Time span) {
    bool rung = false;
    reactor_.at(reactor_.now() + span, [this, &rung] {
      rung = true;
      park();
    });
    while (!rung) turn();
  }

 private:
  void park() {
    std::unique_lock lock(mutex_);
    if (!ending_) {
      loops_turn_ = false;
      wait_.notify_all();
      wait_.wait(lock, [this] { return loops_turn_; });
    }
    lock.unlock();
    if (!ending_) return;
    reactor_.drop_pending_calls();
    reactor_.halt();
  }
  void give_turn() {
    const std::lock_guard lock(mutex_);
    loops_turn_ = true;
    wait_.notify_all();
  }
  void turn() {
    give_turn();
    std::unique_lock lock(mutex_);
    wait_.wait(lock, [this] { return !loops_turn_; });
  }

  transport::Loop& reactor_;
  std::mutex mutex_;
  std::condition_variable wait_;
  bool loops_turn_ = false, ending_ = false;
  std::thread loop_;
};

class NullEventLog final : public core::EventLog {
 public:
  bool should_log(core::Level) const override { return false; }
  void write(core::Level, const char*, Fields) override {}
};

// One end of a connection, written by hand.
class RawPeer final : public transport::StreamHandler {
 public:
  RawPeer(transport::Reactor& reactor, const transport::Address& to) {
    stream = transport::Stream::connect(reactor, to, *this);
  }
  RawPeer(transport::Reactor& reactor, const transport::PendingConnection& arrival) {
    stream = transport::Stream::adopt(reactor, arrival, *this);
  }
  ~RawPeer() override { stream->close(); }
  void on_data(std::string_view bytes) override {
    seen += bytes;
    if (on_bytes) on_bytes();
  }
  void on_closed(transport::CloseReason) override { ended = true; }

  std::shared_ptr<transport::Stream> stream;
  std::string seen;
  bool ended = false;
  std::function<void()> on_bytes;
};

// A listener whose connections a story handles by hand.
class RawServer {
 public:
  explicit RawServer(transport::Reactor& reactor, const std::string& at = "127.0.0.1:0")
      : listener(reactor, transport::numeric_address(at), at != "127.0.0.1:0",  // shared with who holds it
                 [this, &reactor](const transport::PendingConnection& arrival) {
                   peers.push_back(std::make_unique<RawPeer>(reactor, arrival));
                   RawPeer& peer = *peers.back();
                   peer.on_bytes = [this, &peer] {
                     if (on_bytes) on_bytes(peer);
                   };
                 }) {}
  std::string address() const { return listener.address().toString(); }

  std::function<void(RawPeer&)> on_bytes;
  std::vector<std::unique_ptr<RawPeer>> peers;
  transport::Listener listener;
};

// A client that is no part of the loop: what it sends stands in the kernel at once.
class TestClient {
 public:
  explicit TestClient(const transport::Address& to) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    connected = connect(socket_, to.addr(), to.length()) == 0;
  }
  ~TestClient() { leave(); }
  TestClient(const TestClient&) = delete;
  TestClient& operator=(const TestClient&) = delete;
  void send(const std::string& bytes) const { ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
  void leave() {
    if (socket_ >= 0) close(socket_);
    socket_ = -1;
  }
  void half_close() const { shutdown(socket_, SHUT_WR); }
  void reset() {
    const linger at_once{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    leave();
  }
  const std::string& seen() {
    char bytes[4096];
    for (ssize_t got = 0; (got = recv(socket_, bytes, sizeof bytes, MSG_DONTWAIT)) > 0;)
      seen_.append(bytes, static_cast<std::size_t>(got));
    return seen_;
  }
  // The other side has ended the connection, and all it sent has been read.
  bool ended() {
    seen();
    char byte = 0;
    const ssize_t got = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  bool connected = false;

 private:
  int socket_;
  std::string seen_;
};

}  // namespace rushhill
