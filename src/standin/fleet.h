// The model servers' stand-ins, many in one process: the contract of docs/servers.md on real sockets, over
// the machines' model, with the day's faults.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/day.h"
#include "standin/machine.h"
#include "standin/parts.h"
#include "standin/record.h"
#include "transport/reactor.h"

namespace rushhill::standin {

class Fleet {
 public:
  Fleet(transport::Reactor& reactor, const Day& day, Record& record);
  ~Fleet();

  void announce_to(const transport::Address& roster);
  // The day's troubles from that moment on.
  void play(Time start);
  // One fault by hand, for tests; span 0: until the next.
  void trouble(TroubleKind kind, const std::string& server, double size, bool begins);
  // What is still open is recorded as such.
  void close();

  transport::Address address(const std::string& server) const;
  Machine& machine(const std::string& server);
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
  std::shared_ptr<Mark>& mark(const Box& box, const TypeMake& type, const std::string& text, bool& fresh);

  transport::Reactor& reactor_;
  Day day_;
  Record& record_;
  Store store_;
  std::map<std::string, std::unique_ptr<Box>> boxes_;
  std::map<std::string, std::shared_ptr<Mark>> marks_;
  std::unique_ptr<Lines> roster_;
};

}  // namespace rushhill::standin
