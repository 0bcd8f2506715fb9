// The core of a router: it tracks the requests and carries out the routing policy's decisions. It uses no
// sockets and takes the time from a TimerService. RequestLifecycle, AttemptExecution and
// EndpointCallExecution, each in a file of its own, do the work.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/attempt_execution.h"
#include "core/client.h"
#include "core/counters.h"
#include "core/deduplication_log.h"
#include "core/deferred_calls.h"
#include "core/endpoint_addresses.h"
#include "core/endpoint_call_execution.h"
#include "core/endpoint_list_source.h"
#include "core/event_log.h"
#include "core/memory_budget.h"
#include "core/peer_messenger.h"
#include "core/policy_runner.h"
#include "core/request_lifecycle.h"
#include "core/request_table.h"
#include "core/source_limiter.h"
#include "core/timer_service.h"
#include "core/upstream_transport.h"
#include "routing/routing_policy.h"

namespace rushhill::core {

// Connects the routing policy with the front ends and the ports: passes each event to the part that handles
// it, and each decision to the part that carries it out. Every request gets exactly one final answer, unless
// its client cancels it.
//
// All calls must be made from the event loop's thread, and none from within a call to a Client or a port,
// except UpstreamObserver::may_start_attempt() and attempt_started().
class Gateway final : public RoutingHost, public UpstreamObserver {
 public:
  // The interfaces through which the gateway reaches its surroundings. All of them must outlive the gateway.
  struct Ports {
    TimerService& clock;
    UpstreamTransport& upstream;
    PeerMessenger& peers;
    EndpointListSource& endpoint_lists;
    EventLog& log;
    DeduplicationLog* deduplication = nullptr;  // null if no records are replicated
    MemoryBudget* request_memory = nullptr;     // charged for open requests; null if it is not limited
  };
  Gateway(const RoutingConfiguration& configuration, std::uint64_t seed, const Ports& ports);

  // Registers a front end, or a part of one, as a source of requests. `weight` is its share of the limit on
  // open requests, relative to the other sources. `can_wait` says that requests which the source holds back
  // are not lost and may be passed to accept() later.
  admission::SourceQuotas::Source add_source(double weight, bool can_wait = false) {
    return source_limiter_.add_source(weight, can_wait);
  }
  // Returns whether the source should pass a request to accept() now.
  bool has_room(admission::SourceQuotas::Source source) {
    return source_limiter_.has_room(ports_.clock.timestamp(), source);
  }
  // Returns how safe it is to retry requests of a class: at_most_once if the class is not configured.
  RetrySafety retry_safety_of(const std::string& request_class) const;

  // Accepts a request and returns the id that the gateway assigns to it, or nothing if the source is over its
  // limit. The gateway sets the id in `routing_request`; the front end fills in the rest. The final answer is
  // never delivered before this call returns.
  std::optional<RequestId> accept(admission::SourceQuotas::Source source, Client& client,
                                  RoutingRequest routing_request, events::CloudEvent message);
  // The client has cancelled the request or disconnected. `attempts_after_cancel` is the number of attempts
  // that started after the cancellation had arrived and before the front end read it.
  void client_cancelled(RequestId request, std::uint64_t attempts_after_cancel = 0);

  // Service discovery has delivered an endpoint list or a change of it.
  void endpoints_updated(EndpointListForm form, const std::vector<EndpointListEntry>& entries);
  // Another router has sent a gossip message.
  void gossip_received(int router, const std::string& bytes);
  // The DeduplicationLog has decided on a request for which it returned `pending`.
  void admission_decided(RequestId request, AdmissionVerdict verdict);
  // Tells the policy how many prewarm orders this router sent before its restart, if the router is configured
  // to restore that number.
  void load_budget_restored(double prewarms);

  // The number of accepted requests without a final answer.
  std::size_t open_requests() const { return source_limiter_.open_requests(); }
  // Returns whether a client still waits for its final answer, including an answer that is decided but not
  // yet delivered.
  bool any_client_waits() const { return requests_.any_client_waits(); }
  // Ends every open request as if its deadline had passed; called when the router must terminate.
  void expire_all();
  const Counters& tally() const { return counters_; }
  // Time spent within the routing policy, in nanoseconds, or 0 if the TimerService does not measure it.
  std::int64_t policy_time_ns() const { return policy_.spent_ns(); }
  const RoutingConfiguration& configuration() const { return configuration_; }

  // UpstreamObserver
  bool may_start_attempt(RequestId request) const override;
  void attempt_started(RequestId request) override;
  void attempt_ended(RequestId request, int attempt_number, AttemptResult result) override;
  void probe_ended(const EndpointId& endpoint, AttemptOutcome outcome, const LoadReport& report) override;
  void prewarm_ended(const EndpointId& endpoint, const FunctionId& function, AttemptOutcome outcome,
                     int copies) override;

 private:
  // RoutingHost
  void send_attempt(RequestId request, const EndpointId& endpoint, const AttemptLimits& limits) override;
  void cancel_attempt(RequestId request, int attempt_number) override;
  void reject(RequestId request, Duration retry_after) override;
  void fail(RequestId request) override;
  void set_timer(std::int64_t token, Timestamp at) override;
  void probe(const EndpointId& endpoint) override;
  void close_idle_connections(const EndpointId& endpoint) override;
  void prewarm(const EndpointId& endpoint, const FunctionId& function, int copies) override;
  void evict(const EndpointId& endpoint, const FunctionId& function) override;
  void send_gossip(int router, const std::string& bytes) override;
  void watch_endpoints(bool on) override;
  void resync_endpoints() override;
  void log(const std::string& line) override;

  RoutingConfiguration configuration_;
  Ports ports_;
  Counters counters_;
  DeferredCalls deferred_;
  PolicyRunner policy_;
  RequestTable requests_;
  EndpointAddresses addresses_;
  SourceLimiter source_limiter_;
  AttemptExecution attempts_;
  EndpointCallExecution endpoint_calls_;
  RequestLifecycle lifecycle_;
};

}  // namespace rushhill::core
