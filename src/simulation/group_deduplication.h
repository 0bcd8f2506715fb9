// Deduplication by groups of simulated servers: a keyed request runs at most once within its group while the
// group remembers it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/timer_service.h"
#include "simulation/day.h"

namespace rushhill::simulation {

// One keyed request that a group remembers.
struct KeyedRequest {
  bool completed = false;
  std::vector<std::function<void()>> waiters{};  // called once it has completed
};
using KeyedRequestPointer = std::shared_ptr<KeyedRequest>;

// Shared by all servers of a day.
class GroupDeduplication {
 public:
  // A request and whether it is new.
  struct Lookup {
    KeyedRequestPointer request;
    bool first = false;  // the group did not know it
  };

  explicit GroupDeduplication(core::TimerService& timers) : timers_(timers) {}

  // The request of that key in the group that the server belongs to; a new one is remembered for the span of
  // its class.
  Lookup find_or_add(const ServerSpec& server, const RequestClassSpec& request_class,
                     const std::string& idempotency_key);
  // Forgets a request that has not run and will not.
  void forget(const KeyedRequestPointer& request);
  // Its run has ended: where it completed, its waiters are called, else it is forgotten.
  void settle(const KeyedRequestPointer& request, bool completed);

 private:
  core::TimerService& timers_;
  std::map<std::string, KeyedRequestPointer> requests_;  // by group and key
};

}  // namespace rushhill::simulation
