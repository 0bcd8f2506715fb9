// A listening TCP socket of the event loop.
#pragma once

#include <cstdint>
#include <functional>

#include "core/timer_service.h"
#include "transport/backoff.h"
#include "transport/bound_socket.h"
#include "transport/event_source.h"
#include "transport/file_descriptor.h"

namespace rushhill::transport {

class Loop;

// A connection that has been accepted and that no stream has adopted yet.
class AcceptedSocket final : public PendingConnection {
 public:
  explicit AcceptedSocket(FileDescriptor socket) : socket_(std::move(socket)) {}
  void refuse() const override { socket_.close(); }
  FileDescriptor take_socket() const { return std::move(socket_); }

 private:
  // Mutable because the connection is passed as a const PendingConnection to be adopted or refused.
  mutable FileDescriptor socket_;
};

// Accepts connections whenever the loop finds the socket readable. It must not outlive the loop.
class SocketListener final : public BoundSocket, public EventSource {
 public:
  SocketListener(Loop& loop, FileDescriptor socket, AcceptHandler handler);
  SocketListener(const SocketListener&) = delete;
  SocketListener& operator=(const SocketListener&) = delete;
  SocketListener(SocketListener&&) = delete;
  SocketListener& operator=(SocketListener&&) = delete;
  ~SocketListener() override;
  Address address() const override;
  void accept_all() override;
  void accept_while(std::function<bool()> has_capacity) override { has_capacity_ = std::move(has_capacity); }

 private:
  void on_readable() override;
  // The result of accepting the next connection.
  enum class AcceptResult : std::uint8_t {
    accepted,
    queue_empty,
    no_capacity,         // the predicate of accept_while() returned false
    connection_lost,     // a connection in the queue, or one call, has failed
    resources_exhausted  // this machine lacks a resource; the connection stays in the queue
  };
  AcceptResult accept();
  AcceptResult check_queue();
  void pause(Time span);
  void watch(bool on);

  Loop& loop_;
  FileDescriptor socket_;
  AcceptHandler handler_;
  std::function<bool()> has_capacity_;
  core::Timer pause_timer_;
  Backoff backoff_;
};

}  // namespace rushhill::transport
