// The requests under way: their attempts, and which of them wait for an endpoint.
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
  bool judged = false;            // counted as good or bad at its endpoint
  bool function_missing = false;  // was answered so
  bool copy_confirmed = false;    // a copy was believed confirmed as it was sent

  void end(AttemptOutcome outcome);
};

// A request from its arrival until its last attempt has ended.
struct TrackedRequest {
  static constexpr int no_attempt = -1;

  RoutingRequest request{};
  ClassEstimate* class_estimate = nullptr;
  Timestamp objective{};  // an answer is wanted before that
  Timestamp limit{};      // the last moment for a final answer
  bool over_quota = false;
  bool done = false;                   // it has its final answer
  bool waiting = false;                // no endpoint may take it now
  int streaming_attempt = no_attempt;  // its answer has begun: no other can answer any more
  std::vector<Attempt> attempts;

  const RequestClass& request_class() const { return class_estimate->request_class; }
  bool streaming() const { return streaming_attempt != no_attempt; }
  bool any_open() const { return std::ranges::any_of(attempts, &Attempt::open); }
  // The last attempt at the endpoint; nullptr: none.
  const Attempt* newest_at(const EndpointId& endpoint) const {
    return attempts.empty() ? nullptr : search_newest_at(endpoint);
  }
  Attempt* find_open(int attempt_number);

 private:
  const Attempt* search_newest_at(const EndpointId& endpoint) const;
};

// The requests by id.
class RequestTracker {
 public:
  using Requests = std::map<RequestId, TrackedRequest>;

  TrackedRequest& add(const RoutingRequest& request);
  // nullptr where the request is not known, or no longer.
  TrackedRequest* find(RequestId id);
  Requests& requests() { return requests_; }

  void wait(TrackedRequest& tracked);
  // The request has its final answer.
  void finish(TrackedRequest& tracked);
  // The requests that waited; those that still do have to be put back by wait().
  std::set<RequestId> take_waiting() { return std::exchange(waiting_, {}); }
  void erase_finished();

 private:
  Requests requests_;
  std::set<RequestId> waiting_;
};

}  // namespace rushhill::routing
