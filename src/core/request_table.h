// The requests that a router has accepted and not yet finished, with the attempts of each.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/source_quotas.h"
#include "core/client.h"
#include "core/memory_budget.h"
#include "core/timer_service.h"

namespace rushhill::core {

// Identifies an attempt by its request and its number within the request, from 0.
struct AttemptId {
  RequestId request = 0;
  int number = 0;
};

// Returns the bytes that an accepted request with this message takes until it has ended.
std::size_t memory_of(const events::CloudEvent& message);

// One attempt to get a request answered by an endpoint. Its number is its index in Request::attempts.
struct Attempt {
  EndpointId endpoint;
  Timestamp started{};
  bool open = true;
  Timer timeout_timer{};  // not set if the attempt may run until the request's deadline
};

// A request from its acceptance until its last attempt has ended.
struct Request {
  admission::SourceQuotas::Source source = 0;
  Client* client = nullptr;  // null once it has received its final answer or has cancelled
  bool concluded = false;    // the final answer is decided or the client has cancelled
  bool recorded = false;     // its end must be reported to the deduplication log
  std::optional<RoutingRequest> awaiting_verdict;  // kept for the policy while the verdict is pending
  events::CloudEvent message;
  MemoryCharge memory{};  // of the message and of what the router notes about the request
  Timestamp accepted{};
  Timestamp deadline{};
  Timer deadline_timer;
  std::vector<Attempt> attempts;
  int deferred_calls = 0;  // scheduled reports of ended attempts and answers
};

// Owns the requests and their timers. Ids are unique within a router. They count up from a number derived
// from the router's seed, so that the ids of different routers differ.
class RequestTable {
 public:
  RequestTable(TimerService& clock, std::uint64_t seed);
  RequestTable(const RequestTable&) = delete;
  RequestTable& operator=(const RequestTable&) = delete;
  RequestTable(RequestTable&&) = delete;
  RequestTable& operator=(RequestTable&&) = delete;
  ~RequestTable();

  // A new request and its id.
  struct Added {
    RequestId id;
    Request& request;
  };
  // References to requests stay valid until the request is erased.
  Added add();
  Request* find(RequestId id);                            // null if there is no such request
  Request& at(RequestId id) { return requests_.at(id); }  // throws std::out_of_range
  Attempt* find_attempt(const AttemptId& id);             // null if there is no such request or attempt

  // Erases the request if it is concluded and has neither open attempts nor deferred calls.
  void erase_if_finished(RequestId id);

  // Returns whether a client still waits for its answer.
  bool any_client_waits() const;
  std::vector<RequestId> unconcluded_requests() const;  // in ascending order
  std::size_t size() const { return requests_.size(); }

 private:
  TimerService& clock_;
  std::unordered_map<RequestId, Request> requests_;
  RequestId next_id_;
};

}  // namespace rushhill::core
