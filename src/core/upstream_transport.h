// How the core reaches the endpoints: the transport that carries its attempts, and the observer that is
// called when something ends. No socket is seen from here.
#pragma once

#include <string>

#include "events/cloudevent.h"
#include "routing/types.h"

namespace rushhill::core {

// How one attempt ended, as far as the transport can know.
struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::unanswered;
  CopyState copy_state = CopyState::unknown;
  int in_flight = 0;  // requests of the same function at the endpoint
  LoadReport report{};
  events::CloudEvent reply{};  // with AttemptOutcome::succeeded
};

// Called at the end of everything the transport was asked for, once each and never from within the asking.
class UpstreamObserver {
 public:
  UpstreamObserver() = default;
  UpstreamObserver(const UpstreamObserver&) = delete;
  UpstreamObserver& operator=(const UpstreamObserver&) = delete;
  UpstreamObserver(UpstreamObserver&&) = delete;
  UpstreamObserver& operator=(UpstreamObserver&&) = delete;
  virtual ~UpstreamObserver() = default;

  // The first bytes of an attempt have left; the one call that may come from within the asking.
  virtual void attempt_started(RequestId) {}
  virtual void attempt_ended(RequestId request, int attempt_number, AttemptResult result) = 0;
  virtual void probe_ended(const EndpointId& endpoint, AttemptOutcome outcome, const LoadReport& report) = 0;
  virtual void prewarm_ended(const EndpointId& endpoint, const FunctionId& function, AttemptOutcome outcome,
                             int copies) = 0;
};

// An attempt to be sent; the references are valid during the call only.
struct AttemptCall {
  RequestId request = 0;
  int attempt_number = 0;
  const EndpointId& endpoint;
  Duration time_left{};  // until the client gives up
  const events::CloudEvent& message;
};

// Sends attempts, probes and orders to endpoints. Every call returns at once; ends come by UpstreamObserver.
class UpstreamTransport {
 public:
  UpstreamTransport() = default;
  UpstreamTransport(const UpstreamTransport&) = delete;
  UpstreamTransport& operator=(const UpstreamTransport&) = delete;
  UpstreamTransport(UpstreamTransport&&) = delete;
  UpstreamTransport& operator=(UpstreamTransport&&) = delete;
  virtual ~UpstreamTransport() = default;

  virtual void send(const AttemptCall& call) = 0;
  // Gives the attempt up; the observer hears nothing more of it.
  virtual void cancel(RequestId request, int attempt_number) = 0;
  // The same, but only where no byte of it has left. False: it is out, and goes on.
  virtual bool cancel_unsent(RequestId request, int attempt_number) = 0;
  // Attempts and prewarm orders for the endpoint of which no byte has left end as not sent.
  virtual void cancel_all_unsent(const EndpointId& endpoint) = 0;
  virtual void probe(const EndpointId& endpoint, Duration timeout) = 0;
  virtual void prewarm(const EndpointId& endpoint, const FunctionId& function, int copies,
                       Duration timeout) = 0;
  virtual void evict(const EndpointId& endpoint, const FunctionId& function) = 0;
  virtual void close_idle(const EndpointId& endpoint) = 0;
  // Where an endpoint is reached from now on; an empty address: nowhere.
  virtual void set_address(const EndpointId& endpoint, const std::string& address) = 0;
};

}  // namespace rushhill::core
