// How the core sends messages to the other routers.
#pragma once

#include <string>

namespace rushhill::core {

// Sends datagram-like messages between the routers of a deployment.
class PeerMessenger {
 public:
  PeerMessenger() = default;
  PeerMessenger(const PeerMessenger&) = delete;
  PeerMessenger& operator=(const PeerMessenger&) = delete;
  PeerMessenger(PeerMessenger&&) = delete;
  PeerMessenger& operator=(PeerMessenger&&) = delete;
  virtual ~PeerMessenger() = default;

  // To one router, by its number; -1: to all. Messages may get lost.
  virtual void send(int router, const std::string& bytes) = 0;
};

}  // namespace rushhill::core
