// The requests that a router has accepted and not finished with, and the attempts made for each.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/shares.h"
#include "core/client.h"
#include "core/timer_service.h"

namespace rushhill::core {

// Names an attempt: its request, and its number within the request.
struct AttemptId {
  RequestId request = 0;
  int number = 0;
};

// One attempt to have a request answered by an endpoint; its number is its place in Request::attempts.
struct Attempt {
  EndpointId endpoint;
  Timestamp started{};
  bool open = true;
  Timer timeout_timer{};  // none: until the request's deadline
};

// A request from its acceptance until its last attempt has ended.
struct Request {
  admission::Shares::Source source = 0;
  Client* client = nullptr;  // null: it was handed its final answer, or it cancelled
  bool concluded = false;    // the final answer is decided; only ends of attempts are awaited
  bool recorded = false;     // its end is reported to the deduplication log
  std::optional<RoutingRequest> awaiting_record;  // the policy has not seen it yet
  events::CloudEvent message;
  Timestamp accepted{};
  Timestamp deadline{};
  Timer deadline_timer;
  std::vector<Attempt> attempts;
  int deferred_calls = 0;  // what is put off until the present call returns: ends of attempts, the answer
};

// Owns the requests and their timers. Ids are unique within a router and start at a place drawn from its
// seed, so that those of different routers differ.
class RequestTable {
 public:
  RequestTable(TimerService& clock, std::uint64_t seed);
  RequestTable(const RequestTable&) = delete;
  RequestTable& operator=(const RequestTable&) = delete;
  RequestTable(RequestTable&&) = delete;
  RequestTable& operator=(RequestTable&&) = delete;
  ~RequestTable();

  // A new request and the id it got.
  struct Added {
    RequestId id;
    Request& request;
  };
  // References to requests stay valid until the request is erased.
  Added add();
  Request* find(RequestId id);                            // null: none of that id
  Request& at(RequestId id) { return requests_.at(id); }  // throws std::out_of_range
  Attempt* find_attempt(const AttemptId& id);             // null: no such request or attempt

  // Erases the request if it is concluded and neither an attempt nor a deferred call of it is left.
  void erase_if_over(RequestId id);

  bool any_client_waits() const;
  std::vector<RequestId> not_concluded() const;  // in ascending order
  std::size_t size() const { return requests_.size(); }

 private:
  TimerService& clock_;
  std::unordered_map<RequestId, Request> requests_;
  RequestId next_id_;
};

}  // namespace rushhill::core
