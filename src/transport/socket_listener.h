// A listening TCP socket of the event loop.
#pragma once

#include <functional>

#include "core/clockwork.h"
#include "transport/event_source.h"
#include "transport/file_descriptor.h"
#include "transport/reactor.h"

namespace rushhill::transport {

class Loop;

// A connection that was accepted and has no owner yet.
class SocketArrival final : public Arrival {
 public:
  explicit SocketArrival(FileDescriptor socket) : socket_(std::move(socket)) {}
  void refuse() const override { socket_.close(); }
  FileDescriptor take() const { return std::move(socket_); }

 private:
  mutable FileDescriptor socket_;  // whoever accepts or refuses it is handed an Arrival that is const
};

class SocketListener final : public Place, public EventSource {
 public:
  SocketListener(Loop& loop, FileDescriptor socket, Accepted accepted);
  ~SocketListener() override;
  Address address() const override;
  void take_all() override;
  void take_where(std::function<bool()> room) override { room_ = std::move(room); }

 private:
  void on_readable() override;
  bool take();
  void pause();
  void watch(bool on);

  Loop& loop_;
  FileDescriptor socket_;
  Accepted accepted_;
  std::function<bool()> room_;
  core::Alarm pause_;
};

}  // namespace rushhill::transport
