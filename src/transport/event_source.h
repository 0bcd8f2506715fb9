// What waits in the event loop for its descriptor to become readable or writable.
#pragma once

#include "transport/poller.h"

namespace rushhill::transport {

class EventSource {
 public:
  explicit EventSource(bool opened_by_peer = false) : opened_by_peer_(opened_by_peer) {}
  EventSource(const EventSource&) = delete;
  EventSource& operator=(const EventSource&) = delete;
  virtual ~EventSource() = default;

  virtual void on_readable() = 0;
  virtual void on_writable() {}

  // A connection that came to us: these are read before all else, so that a client's leaving is known first.
  bool opened_by_peer() const { return opened_by_peer_; }

 protected:
  Interest interest() const { return interest_; }

 private:
  friend class Loop;

  const bool opened_by_peer_;
  RegistrationId registration_ = 0;  // 0: the loop does not wait for it
  Interest interest_;
};

}  // namespace rushhill::transport
