// A UDP socket of the event loop.
#pragma once

#include "transport/event_source.h"
#include "transport/file_descriptor.h"
#include "transport/reactor.h"

namespace rushhill::transport {

class Loop;

class DatagramSocket final : public Place, public EventSource {
 public:
  DatagramSocket(Loop& loop, FileDescriptor socket, Heard heard);
  ~DatagramSocket() override;
  bool send(const Address& to, std::string_view bytes) override;
  Address address() const override;

 private:
  void on_readable() override;

  Loop& loop_;
  FileDescriptor socket_;
  Heard heard_;
};

}  // namespace rushhill::transport
