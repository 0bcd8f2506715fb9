// What the policy learns from an attempt that has ended.
#pragma once

#include "routing/endpoint_monitor.h"
#include "routing/routing_parts.h"

namespace rushhill::routing {

// Hands the end of an attempt to each part that it concerns.
class AttemptFeedback {
 public:
  AttemptFeedback(RoutingParts& parts, EndpointMonitor& monitor) : parts_(parts), monitor_(monitor) {}

  void attempt_ended(Timestamp now, const TrackedRequest& tracked, Attempt& attempt, const AttemptEnd& end);

 private:
  // The attempt with all that it concerns.
  struct EndedAttempt {
    const TrackedRequest& tracked;
    const Attempt& attempt;
    const AttemptEnd& end;
    EndpointRecord& endpoint;
    FunctionRecord& function;
    BelievedCopy& copy;
    bool found_copy = false;  // a loaded one
    EstimateKey key() const { return {.request_class = *tracked.class_estimate, .function = function.times}; }
  };

  void learn_presence(Timestamp now, const EndedAttempt& ended);
  void learn_success(Timestamp now, const EndedAttempt& ended);
  void learn_times(Timestamp now, const EndedAttempt& ended);
  void learn_rejection(Timestamp now, const EndedAttempt& ended);
  void learn_overload(Timestamp now, const EndedAttempt& ended);
  bool found_copy(const Attempt& attempt, const AttemptEnd& end) const;

  RoutingParts& parts_;
  EndpointMonitor& monitor_;
};

}  // namespace rushhill::routing
