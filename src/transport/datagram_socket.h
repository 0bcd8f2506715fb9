// A UDP socket of the event loop.
#pragma once

#include "core/timer_service.h"
#include "transport/backoff.h"
#include "transport/bound_socket.h"
#include "transport/event_source.h"
#include "transport/file_descriptor.h"

namespace rushhill::transport {

class Loop;

// Receives datagrams whenever the loop finds the socket readable. It must not outlive the loop.
class DatagramSocket final : public BoundSocket, public EventSource {
 public:
  DatagramSocket(Loop& loop, FileDescriptor socket, DatagramHandler handler);
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;
  DatagramSocket(DatagramSocket&&) = delete;
  DatagramSocket& operator=(DatagramSocket&&) = delete;
  ~DatagramSocket() override;
  bool send(const Address& to, std::string_view bytes) override;
  Address address() const override;

 private:
  void on_readable() override;
  void pause();

  Loop& loop_;
  FileDescriptor socket_;
  DatagramHandler handler_;
  core::Timer pause_timer_;
  Backoff backoff_;
};

}  // namespace rushhill::transport
