// Base class of the sockets that wait in the event loop.
#pragma once

#include "transport/poller.h"

namespace rushhill::transport {

// Called by the event loop when its descriptor becomes readable or writable.
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

  // Whether this is a connection that a peer opened. The loop reads these before anything else, so that it
  // first learns which clients have closed their connections.
  bool opened_by_peer() const { return opened_by_peer_; }

 protected:
  Interest interest() const { return interest_; }

 private:
  friend class Loop;

  const bool opened_by_peer_;
  RegistrationId registration_ = 0;  // 0 while the loop does not wait for it
  Interest interest_;                // set even if it could not be registered with the system yet
  bool registered_ = false;          // whether it is registered with the system
};

}  // namespace rushhill::transport
