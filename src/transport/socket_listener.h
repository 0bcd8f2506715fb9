// A listening TCP socket of the event loop.
#pragma once

#include <functional>

#include "core/timer_service.h"
#include "transport/backoff.h"
#include "transport/bound_socket.h"
#include "transport/event_source.h"
#include "transport/file_descriptor.h"

namespace rushhill::transport {

class Loop;

// A connection that was accepted and has no owner yet.
class SocketArrival final : public PendingConnection {
 public:
  explicit SocketArrival(FileDescriptor socket) : socket_(std::move(socket)) {}
  void refuse() const override { socket_.close(); }
  FileDescriptor take() const { return std::move(socket_); }

 private:
  mutable FileDescriptor
      socket_;  // whoever accepts or refuses it is handed a PendingConnection that is const
};

class SocketListener final : public BoundSocket, public EventSource {
 public:
  SocketListener(Loop& loop, FileDescriptor socket, AcceptHandler accepted);
  ~SocketListener() override;
  Address address() const override;
  void accept_all() override;
  void accept_while(std::function<bool()> room) override { room_ = std::move(room); }

 private:
  void on_readable() override;
  // What came of taking the next connection.
  enum class Taken { connection, none_waiting, no_room, lost_one, machine_lacks };
  Taken take();
  Taken next_waiting();
  void pause(Time span);
  void watch(bool on);

  Loop& loop_;
  FileDescriptor socket_;
  AcceptHandler accepted_;
  std::function<bool()> room_;
  core::Timer pause_;
  Backoff backoff_;
};

}  // namespace rushhill::transport
