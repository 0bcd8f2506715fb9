// Updates the policy's state from attempts that have ended.
#pragma once

#include "routing/endpoint_monitor.h"
#include "routing/routing_parts.h"

namespace rushhill::routing {

// Passes the result of an attempt to each part that it concerns.
class AttemptFeedback {
 public:
  AttemptFeedback(RoutingParts& parts, EndpointMonitor& monitor) : parts_(parts), monitor_(monitor) {}

  void attempt_ended(Timestamp now, const TrackedRequest& tracked, Attempt& attempt, const AttemptEnd& end);

 private:
  // The attempt with the records that it concerns.
  struct EndedAttempt {
    const TrackedRequest& tracked;
    const Attempt& attempt;
    const AttemptEnd& end;
    EndpointRecord& endpoint;
    FunctionRecord& function;
    BelievedCopy& copy;
    bool found_copy = false;  // whether a loaded copy served the attempt
    EstimateKey key() const { return {.request_class = *tracked.class_estimate, .function = function.times}; }
  };

  void update_in_flight(Timestamp now, const EndedAttempt& ended);
  void record_success(Timestamp now, const EndedAttempt& ended);
  void record_times(Timestamp now, const EndedAttempt& ended);
  void record_rejection(Timestamp now, const EndedAttempt& ended);
  void record_overload_signal(Timestamp now, const EndedAttempt& ended);
  bool found_copy(const Attempt& attempt, const AttemptEnd& end) const;

  RoutingParts& parts_;
  EndpointMonitor& monitor_;
};

}  // namespace rushhill::routing
