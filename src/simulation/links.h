// The links between every two routers' replicas: connections are forwarded byte by byte, and the day's faults
// hold, slow, cut, change or duplicate what passes.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

#include "simulation/day.h"
#include "simulation/link_faults.h"
#include "simulation/linked_connection.h"
#include "transport/listener.h"
#include "transport/numbered.h"

namespace rushhill::simulation {

// Accepts connections in the place of every router while it lives.
class Links final : public LinkedConnectionOwner {
 public:
  // `replicas`: where each router accepts connections of the others.
  Links(transport::Reactor& reactor, const Day& day, std::vector<transport::Address> replicas);
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;
  Links(Links&&) = delete;
  Links& operator=(Links&&) = delete;
  ~Links() override;

  // Where one router reaches the replica of another.
  transport::Address address(int from, int to) const;
  // Plays the day's faults from that moment on.
  void play(Time start);
  // Begins or ends one fault.
  void set_fault(const Fault& fault, bool active);
  std::size_t connections() const { return connections_.size(); }

 private:
  void listen(Direction direction);
  void connection_ended(LinkedConnection& connection) override;

  transport::Reactor& reactor_;
  Day day_;
  std::vector<transport::Address> replicas_;
  std::vector<std::unique_ptr<transport::Listener>> listeners_;  // by from and to
  LinkFaults faults_;
  std::map<LinkedConnection*, std::shared_ptr<LinkedConnection>, transport::ByNumber> connections_;
};

}  // namespace rushhill::simulation
