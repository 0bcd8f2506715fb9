// The roster's stand-in: servers announce themselves, routers follow. It tells changes late, each follower in
// its own time, and can lag more, contradict itself and break. docs/roster.md is the contract.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "standin/day.h"
#include "standin/record.h"
#include "transport/listener.h"
#include "transport/numbered.h"

namespace rushhill::standin {

class DiscoveryServer {
 public:
  DiscoveryServer(transport::Reactor& reactor, const transport::Address& address, const Day& day,
                  Record& record);
  ~DiscoveryServer();
  transport::Address address() const { return address_; }
  void play(Time start);
  void announce(const nlohmann::json& entry);
  // For tests: what every follower is told now, as it is written here.
  void tell_now(const nlohmann::json& word);

 private:
  class Caller;
  friend class Caller;
  void listen();
  void break_off();
  void tell_complete(Caller& caller);
  void tell_change(const nlohmann::json& entry);
  void send(Caller& caller, const nlohmann::json& word);

  transport::Reactor& reactor_;
  transport::Address address_;
  Day day_;
  Record& record_;
  std::ranlux24_base chance_;
  std::unique_ptr<transport::BoundSocket> holder_;  // keeps the port while the roster is down
  std::unique_ptr<transport::Listener> listener_;
  std::map<Caller*, std::shared_ptr<Caller>, transport::ByNumber> callers_;
  std::map<std::string, nlohmann::json> entries_;
  std::int64_t revision_ = 0;
  Time more_lag_ = 0;
};

}  // namespace rushhill::standin
