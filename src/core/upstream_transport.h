// The interface through which the core sends attempts, probes and orders to the endpoints, and the observer
// that the transport calls when they end. It is independent of sockets and protocols.
#pragma once

#include <string>

#include "events/cloudevent.h"
#include "routing/types.h"

namespace rushhill::core {

// How one attempt ended, as far as the transport can tell.
struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::unanswered;
  CopyState copy_state = CopyState::unknown;
  int in_flight = 0;  // requests for the same function at the endpoint
  LoadReport report{};
  events::CloudEvent reply{};  // set if the outcome is AttemptOutcome::succeeded
};

// Receives the end of each attempt, probe and prewarm order, once each, except for attempts that the core
// cancels. An end is never reported from within a call to the transport.
class UpstreamObserver {
 public:
  UpstreamObserver() = default;
  UpstreamObserver(const UpstreamObserver&) = delete;
  UpstreamObserver& operator=(const UpstreamObserver&) = delete;
  UpstreamObserver(UpstreamObserver&&) = delete;
  UpstreamObserver& operator=(UpstreamObserver&&) = delete;
  virtual ~UpstreamObserver() = default;

  // These two are the only calls that may be made from within a call to the transport.
  //
  // Whether an attempt of the request may start now. If not, the transport sends no byte of it and asks again
  // soon.
  virtual bool may_start_attempt(RequestId) const { return true; }
  // The first bytes of an attempt were sent.
  virtual void attempt_started(RequestId) {}
  virtual void attempt_ended(RequestId request, int attempt_number, AttemptResult result) = 0;
  virtual void probe_ended(const EndpointId& endpoint, AttemptOutcome outcome, const LoadReport& report) = 0;
  virtual void prewarm_ended(const EndpointId& endpoint, const FunctionId& function, AttemptOutcome outcome,
                             int copies) = 0;
};

// An attempt to be sent. The references are valid only during the call to UpstreamTransport::send().
struct AttemptCall {
  RequestId request = 0;
  int attempt_number = 0;
  const EndpointId& endpoint;
  Duration time_left{};  // until the request's deadline
  const events::CloudEvent& message;
  // When it is too late to send the first byte: the attempt then ends as not sent, wherever it has waited.
  Timestamp start_before = Timestamp::max();
};

// Sends attempts, probes and orders to endpoints. No call blocks; ends are reported to the UpstreamObserver.
class UpstreamTransport {
 public:
  UpstreamTransport() = default;
  UpstreamTransport(const UpstreamTransport&) = delete;
  UpstreamTransport& operator=(const UpstreamTransport&) = delete;
  UpstreamTransport(UpstreamTransport&&) = delete;
  UpstreamTransport& operator=(UpstreamTransport&&) = delete;
  virtual ~UpstreamTransport() = default;

  virtual void send(const AttemptCall& call) = 0;
  // Cancels the attempt. Its end is not reported to the observer.
  virtual void cancel(RequestId request, int attempt_number) = 0;
  // Cancels the attempt only if no byte of it has been sent. Returns false if it was not cancelled.
  virtual bool cancel_unsent(RequestId request, int attempt_number) = 0;
  // Ends attempts and prewarm orders for the endpoint as not sent if no byte of them has been sent.
  virtual void cancel_all_unsent(const EndpointId& endpoint) = 0;
  virtual void probe(const EndpointId& endpoint, Duration timeout) = 0;
  virtual void prewarm(const EndpointId& endpoint, const FunctionId& function, int copies,
                       Duration timeout) = 0;
  virtual void evict(const EndpointId& endpoint, const FunctionId& function) = 0;
  virtual void close_idle_connections(const EndpointId& endpoint) = 0;
  // Sets the address of an endpoint. An empty address means that the endpoint can no longer be reached.
  virtual void set_address(const EndpointId& endpoint, const std::string& address) = 0;
};

}  // namespace rushhill::core
