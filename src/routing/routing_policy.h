// The interface between a router and the policy that makes its decisions.
//
// The router calls one method of RoutingPolicy for each thing that happens, with the reading of its clock.
// The policy acts at once by calling its RoutingHost. It has no clock, thread or socket of its own, and one
// instance knows only what its own router has seen. No call of the policy may be made from within a call of
// the host.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "routing/configuration.h"

namespace rushhill {

// What the policy asks of its router; each call acts at once.
class RoutingHost {
 public:
  RoutingHost() = default;
  RoutingHost(const RoutingHost&) = delete;
  RoutingHost& operator=(const RoutingHost&) = delete;
  RoutingHost(RoutingHost&&) = delete;
  RoutingHost& operator=(RoutingHost&&) = delete;
  virtual ~RoutingHost() = default;

  // Sends the request to the endpoint as its next attempt. A timeout of 0: until the client gives up.
  virtual void send_attempt(RequestId request, const EndpointId& endpoint, Duration timeout) = 0;
  virtual void cancel_attempt(RequestId request, int attempt_number) = 0;
  // Final answers without a reply: the request had no effect, and the client may come back after that span
  // (0: no advice); or it failed, and may have run.
  virtual void reject(RequestId request, Duration retry_after) = 0;
  virtual void fail(RequestId request) = 0;
  // Has timer_fired() called with the token, at that moment or after it.
  virtual void set_timer(std::int64_t token, Timestamp at) = 0;
  // Asks the endpoint for a load report; ends with probe_ended().
  virtual void probe(const EndpointId& endpoint) = 0;
  virtual void close_idle(const EndpointId& endpoint) = 0;
  // Orders that many copies of the function to be loaded; ends with prewarm_ended().
  virtual void prewarm(const EndpointId& endpoint, const FunctionId& function, int copies) = 0;
  virtual void evict(const EndpointId& endpoint, const FunctionId& function) = 0;
  // Sends bytes to the policy of another router, by its number; -1: to every one.
  virtual void send_gossip(int router, const std::string& bytes) = 0;
  // Starts or ends the watch of the endpoint list; asks for a complete list.
  virtual void watch_endpoints(bool on) = 0;
  virtual void resync_endpoints() = 0;
  virtual void log(const std::string& line) = 0;
};

// One router's decisions.
class RoutingPolicy {
 public:
  RoutingPolicy() = default;
  RoutingPolicy(const RoutingPolicy&) = delete;
  RoutingPolicy& operator=(const RoutingPolicy&) = delete;
  RoutingPolicy(RoutingPolicy&&) = delete;
  RoutingPolicy& operator=(RoutingPolicy&&) = delete;
  virtual ~RoutingPolicy() = default;

  virtual void endpoints_updated(Timestamp now, EndpointListForm form,
                                 const std::vector<Endpoint>& endpoints) = 0;
  virtual void request_received(Timestamp now, const RoutingRequest& request) = 0;
  // The first bytes of a streamed answer were passed on: no other attempt can answer any more.
  virtual void response_started(Timestamp now, RequestId request, int attempt_number) = 0;
  virtual void attempt_ended(Timestamp now, const AttemptEnd& end) = 0;
  virtual void client_cancelled(Timestamp now, RequestId request) = 0;
  virtual void timer_fired(Timestamp now, std::int64_t token) = 0;
  virtual void probe_ended(Timestamp now, const ProbeEnd& end) = 0;
  virtual void prewarm_ended(Timestamp now, const PrewarmEnd& end) = 0;
  virtual void gossip_received(Timestamp now, int router, const std::string& bytes) = 0;
  // Prewarm orders that this router sent before it was restarted and that still count against its budget.
  virtual void load_budget_restored(Timestamp now, double orders) = 0;
};

// The policy of one router. The host must outlive it; the seed fixes all random choices.
std::unique_ptr<RoutingPolicy> make_routing_policy(const RoutingConfiguration& configuration,
                                                   std::uint64_t seed, RoutingHost& host);

}  // namespace rushhill
