// What stands between every two routers' copies: connections are passed on byte by byte, and the day's
// troubles hold, slow, cut, change or double them.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "standin/day.h"
#include "transport/listener.h"
#include "transport/numbered.h"

namespace rushhill::standin {

class Links {
 public:
  // `copies`: where each router takes connections of the others.
  Links(transport::Reactor& reactor, const Day& day, std::vector<transport::Address> copies);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  // Where router `from` reaches the copy of router `to`.
  transport::Address address(int from, int to) const;
  void play(Time start);
  // One fault by hand, for tests.
  void fault(const Fault& fault, bool begins);
  std::size_t connections() const { return passes_.size(); }

 private:
  class Pass;
  struct Ailing {
    std::map<FaultKind, double> kinds{};  // and the size of each
  };
  Ailing& way(int from, int to) { return ways_[static_cast<std::size_t>(from * day_.routers + to)]; }
  const double* ails(int from, int to, FaultKind kind);

  transport::Reactor& reactor_;
  Day day_;
  std::vector<transport::Address> copies_;
  std::vector<std::unique_ptr<transport::Listener>> listeners_;  // by from and to
  std::vector<Ailing> ways_;
  std::map<Pass*, std::shared_ptr<Pass>, transport::ByNumber> passes_;
  std::mt19937_64 chance_;
};

}  // namespace rushhill::standin
