// Decides whether a request gets an attempt, waits for an endpoint, or is rejected or failed.
#pragma once

#include "routing/endpoint_monitor.h"
#include "routing/routing_parts.h"

namespace rushhill::routing {

// Carries out the decisions about requests through the host.
class RequestDispatcher {
 public:
  RequestDispatcher(RoutingParts& parts, EndpointMonitor& monitor) : parts_(parts), monitor_(monitor) {}

  // Sends an attempt. If no endpoint may get one, makes the request wait, or rejects or fails it.
  void dispatch(Timestamp now, TrackedRequest& tracked);
  void dispatch_waiting(Timestamp now);
  // Orders the endpoint to load the missing copy and makes the request wait for it. Returns false if no order
  // may be sent.
  bool wait_for_prewarm(Timestamp now, const EndpointId& endpoint, TrackedRequest& tracked);
  // Counts overdue attempts as bad. If the endpoint of the newest attempt is silent or ejected, hedges the
  // request or cancels that attempt.
  void check_overdue(Timestamp now, TrackedRequest& tracked);

  // Ends the request if its deadline is at most `reserve` away, but not in the first half of its time.
  void end_before_deadline(Timestamp now, Duration reserve, TrackedRequest& tracked);
  // Ends the request without waiting any longer for an answer.
  void end_unanswered(TrackedRequest& tracked);

  void cancel_open_attempts(const TrackedRequest& tracked);
  // Ends the request with a rejection where that is safe, otherwise with a failure. `retry_after` is the time
  // after which the client may retry.
  void reject_or_fail(TrackedRequest& tracked, Duration retry_after);
  // Ends a request that cannot be served in time, with the longest Retry-After time.
  void shed_request(TrackedRequest& tracked) {
    reject_or_fail(tracked, parts_.configuration.retries.max_retry_after);
  }

 private:
  void wait_or_shed(Timestamp now, const EstimateKey& key, TrackedRequest& tracked);
  bool would_be_late(Timestamp now, const EstimateKey& key, const TrackedRequest& tracked,
                     const EndpointRecord& endpoint) const;
  void send_attempt(Timestamp now, TrackedRequest& tracked, FunctionRecord& function,
                    EndpointRecord& endpoint);
  void check_attempt(Timestamp now, const EstimateKey& key, Attempt& attempt);
  void hedge_or_cancel(Timestamp now, TrackedRequest& tracked, FunctionRecord& function);
  bool may_prewarm(Timestamp now, const EndpointRecord& endpoint) const;

  RoutingParts& parts_;
  EndpointMonitor& monitor_;
};

}  // namespace rushhill::routing
