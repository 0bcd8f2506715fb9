// What the event loop waits for.
#pragma once

#include "transport/poller.h"

namespace rushhill::transport {

// Waits in the event loop for its descriptor to become readable or writable.
class EventSource {
 public:
  explicit EventSource(bool opened_by_peer = false) : opened_by_peer_(opened_by_peer) {}
  EventSource(const EventSource&) = delete;
  EventSource& operator=(const EventSource&) = delete;
  EventSource(EventSource&&) = delete;
  EventSource& operator=(EventSource&&) = delete;
  virtual ~EventSource() = default;

  virtual void on_readable() = 0;
  virtual void on_writable() {}

  // A connection that a peer opened: these are read before all else, so that a client that has closed its is
  // known first.
  bool opened_by_peer() const { return opened_by_peer_; }

 protected:
  Interest interest() const { return interest_; }

 private:
  friend class Loop;

  const bool opened_by_peer_;
  RegistrationId registration_ = 0;  // 0: the loop does not wait for it
  Interest interest_;                // also while it could not be registered with the system yet
  bool registered_ = false;          // with the system
};

}  // namespace rushhill::transport
