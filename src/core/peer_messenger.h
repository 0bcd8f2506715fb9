// The interface through which the core sends messages to the other routers.
#pragma once

#include <string>

namespace rushhill::core {

// Sends messages to the other routers of a deployment, without a delivery guarantee.
class PeerMessenger {
 public:
  PeerMessenger() = default;
  PeerMessenger(const PeerMessenger&) = delete;
  PeerMessenger& operator=(const PeerMessenger&) = delete;
  PeerMessenger(PeerMessenger&&) = delete;
  PeerMessenger& operator=(PeerMessenger&&) = delete;
  virtual ~PeerMessenger() = default;

  // Sends to the router with that number, or to all other routers if it is -1.
  virtual void send(int router, const std::string& bytes) = 0;
};

}  // namespace rushhill::core
