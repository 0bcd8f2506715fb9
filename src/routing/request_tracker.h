// The open requests with their attempts, and which of them wait for an endpoint.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "routing/latency_estimates.h"
#include "routing/types.h"

namespace rushhill::routing {

// One attempt of a request.
struct Attempt {
  EndpointId endpoint{};
  Timestamp sent{};
  bool open = true;
  bool may_have_run = true;
  bool judged = false;            // already counted as good or bad at its endpoint
  bool function_missing = false;  // the endpoint answered that it has no copy of the function
  bool copy_confirmed = false;    // the endpoint's copy was confirmed when the attempt was sent

  void end(AttemptOutcome outcome);
};

// A request from its arrival until its last attempt has ended.
struct TrackedRequest {
  static constexpr int no_attempt = -1;

  RoutingRequest request{};
  ClassEstimate* class_estimate = nullptr;
  Timestamp objective{};        // latest time for an answer that meets the latency objective
  Timestamp answer_deadline{};  // latest time for a final answer
  bool over_quota = false;
  bool done = false;                   // the request has its final answer
  bool waiting = false;                // no endpoint may get the request now
  int streaming_attempt = no_attempt;  // the attempt whose answer has begun; no other can answer any more
  std::vector<Attempt> attempts;

  const RequestClass& request_class() const { return class_estimate->request_class; }
  bool streaming() const { return streaming_attempt != no_attempt; }
  bool has_open_attempt() const { return std::ranges::any_of(attempts, &Attempt::open); }
  // Returns the newest attempt at the endpoint, or nullptr if there is none.
  const Attempt* newest_attempt_at(const EndpointId& endpoint) const {
    return attempts.empty() ? nullptr : search_newest_attempt_at(endpoint);
  }
  Attempt* find_open_attempt(int attempt_number);

 private:
  const Attempt* search_newest_attempt_at(const EndpointId& endpoint) const;
};

// The tracked requests by id.
class RequestTracker {
 public:
  using Requests = std::map<RequestId, TrackedRequest>;

  TrackedRequest& add(const RoutingRequest& request);
  // Returns nullptr if the request is unknown or already erased.
  TrackedRequest* find(RequestId id);
  Requests& requests() { return requests_; }

  void add_waiting(TrackedRequest& tracked);
  // Marks the request as finally answered.
  void finish(TrackedRequest& tracked);
  // Returns the waiting requests and clears the list. The caller adds those that still have to wait again.
  std::set<RequestId> take_waiting() { return std::exchange(waiting_, {}); }
  // Erases the finished requests that have no open attempts.
  void erase_finished();

 private:
  Requests requests_;
  std::set<RequestId> waiting_;
};

}  // namespace rushhill::routing
