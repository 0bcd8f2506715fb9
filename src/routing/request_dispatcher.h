// What becomes of a request: an attempt, a wait, or a final answer without a reply.
#pragma once

#include "routing/endpoint_monitor.h"
#include "routing/routing_parts.h"

namespace rushhill::routing {

// Carries out the decisions about requests at the host.
class RequestDispatcher {
 public:
  RequestDispatcher(RoutingParts& parts, EndpointMonitor& monitor) : parts_(parts), monitor_(monitor) {}

  // Sends an attempt, or has the request wait or gives it up where none may be sent.
  void dispatch(Timestamp now, TrackedRequest& tracked);
  void dispatch_waiting(Timestamp now);
  // Orders the missing copy at the endpoint and has the request wait for it; false where no order may be
  // sent.
  bool await_prewarm(Timestamp now, const EndpointId& endpoint, TrackedRequest& tracked);
  // Judges overdue attempts; where the endpoint looks bad the request is moved or hedged.
  void check_overdue(Timestamp now, TrackedRequest& tracked);

  void cancel_open_attempts(const TrackedRequest& tracked);
  // Ends the request: rejected where that is safe, otherwise failed. `retry_after`: when its client may
  // return.
  void give_up(TrackedRequest& tracked, Duration retry_after);
  void reject_for_load(TrackedRequest& tracked) {
    give_up(tracked, parts_.configuration.retries.longest_retry_after);
  }

 private:
  void wait_or_give_up(Timestamp now, const EstimateKey& key, TrackedRequest& tracked);
  bool would_be_late(Timestamp now, const EstimateKey& key, const TrackedRequest& tracked,
                     const EndpointRecord& endpoint) const;
  void send_attempt(Timestamp now, TrackedRequest& tracked, FunctionRecord& function,
                    EndpointRecord& endpoint);
  void check_attempt(Timestamp now, const EstimateKey& key, Attempt& attempt);
  void move_overdue(Timestamp now, TrackedRequest& tracked, FunctionRecord& function);
  bool may_order(Timestamp now, const EndpointRecord& endpoint) const;

  RoutingParts& parts_;
  EndpointMonitor& monitor_;
};

}  // namespace rushhill::routing
