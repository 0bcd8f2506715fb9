// The interface between a router and its routing policy.
//
// The router calls one method of RoutingPolicy for each event, with the reading of its clock. The policy acts
// within that call, through its RoutingHost. It has no clock, thread or socket of its own, and an instance
// knows only what its own router has observed. A RoutingHost must not call the policy from within its
// methods.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "routing/configuration.h"

namespace rushhill {

// Limits by time of one attempt.
struct AttemptLimits {
  Duration timeout{};  // 0: the attempt lasts until the client gives up
  // When it is too late to send the first byte, wherever the attempt has waited until then.
  Timestamp start_before = Timestamp::max();
};

// The operations that the policy calls on its router; each takes effect at once.
class RoutingHost {
 public:
  RoutingHost() = default;
  RoutingHost(const RoutingHost&) = delete;
  RoutingHost& operator=(const RoutingHost&) = delete;
  RoutingHost(RoutingHost&&) = delete;
  RoutingHost& operator=(RoutingHost&&) = delete;
  virtual ~RoutingHost() = default;

  // Sends the request to the endpoint as its next attempt.
  virtual void send_attempt(RequestId request, const EndpointId& endpoint, const AttemptLimits& limits) = 0;
  virtual void cancel_attempt(RequestId request, int attempt_number) = 0;
  // Ends the request with a rejection, after which its client may safely retry. `retry_after` advises when; 0
  // gives no advice.
  virtual void reject(RequestId request, Duration retry_after) = 0;
  // Ends the request with a failure: it may have run.
  virtual void fail(RequestId request) = 0;
  // Calls timer_fired() with the token at that time or later.
  virtual void set_timer(std::int64_t token, Timestamp at) = 0;
  // Requests a load report from the endpoint; the result is passed to probe_ended().
  virtual void probe(const EndpointId& endpoint) = 0;
  // Closes the idle connections to the endpoint.
  virtual void close_idle_connections(const EndpointId& endpoint) = 0;
  // Orders the endpoint to load that many copies of the function; the result is passed to prewarm_ended().
  virtual void prewarm(const EndpointId& endpoint, const FunctionId& function, int copies) = 0;
  virtual void evict(const EndpointId& endpoint, const FunctionId& function) = 0;
  // Sends bytes to the policy of the router with that number, or to all other routers if it is -1.
  virtual void send_gossip(int router, const std::string& bytes) = 0;
  // Starts or ends the watch of the endpoint list.
  virtual void watch_endpoints(bool on) = 0;
  // Requests a complete endpoint list.
  virtual void resync_endpoints() = 0;
  virtual void log(const std::string& line) = 0;
};

// Makes the routing decisions of one router. The router reports events to it.
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
  // The router forwarded the first bytes of a streamed answer, so no other attempt can answer any more.
  virtual void response_started(Timestamp now, RequestId request, int attempt_number) = 0;
  virtual void attempt_ended(Timestamp now, const AttemptEnd& end) = 0;
  virtual void client_cancelled(Timestamp now, RequestId request) = 0;
  virtual void timer_fired(Timestamp now, std::int64_t token) = 0;
  virtual void probe_ended(Timestamp now, const ProbeEnd& end) = 0;
  virtual void prewarm_ended(Timestamp now, const PrewarmEnd& end) = 0;
  virtual void gossip_received(Timestamp now, int router, const std::string& bytes) = 0;
  // Reports how many prewarm orders from before a restart of this router still count against its budget.
  virtual void load_budget_restored(Timestamp now, double orders) = 0;
};

// Creates the policy of one router. The host must outlive it. The seed determines all random choices.
std::unique_ptr<RoutingPolicy> make_routing_policy(const RoutingConfiguration& configuration,
                                                   std::uint64_t seed, RoutingHost& host);

}  // namespace rushhill
