// The model servers' stand-ins, many in one process: the contract of docs/servers.md on real sockets, over
// the machines' model, with the day's faults.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/day.h"
#include "standin/parts.h"
#include "standin/record.h"
#include "standin/server_model.h"
#include "transport/reactor.h"

namespace rushhill::standin {

class SimulatedServers {
 public:
  SimulatedServers(transport::Reactor& reactor, const Day& day, Record& record);
  ~SimulatedServers();

  void announce_to(const transport::Address& roster);
  // The day's troubles from that moment on.
  void play(Time start);
  // One fault by hand, for tests; span 0: until the next.
  void fault(FaultKind kind, const std::string& server, double size, bool begins);
  // What is still open is recorded as such.
  void close();

  transport::Address address(const std::string& server) const;
  ServerModel& machine(const std::string& server);
  // The roster's entries as they stand: one JSON object a server.
  std::string entry(const std::string& server) const;

 private:
  class Box;
  class Connection;
  friend class Box;
  friend class Connection;
  struct Mark {
    bool done = false;
    std::vector<std::function<void()>> waiters;
  };

  void announce(const std::string& server);
  void unmark(const std::shared_ptr<Mark>& mark);
  std::shared_ptr<Mark>& mark(const Box& box, const RequestClassSpec& type, const std::string& text,
                              bool& fresh);

  transport::Reactor& reactor_;
  Day day_;
  Record& record_;
  ModelStore store_;
  std::map<std::string, std::unique_ptr<Box>> boxes_;
  std::map<std::string, std::shared_ptr<Mark>> marks_;
  std::unique_ptr<Lines> roster_;
};

}  // namespace rushhill::standin
