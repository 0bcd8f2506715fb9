// The core of a router: its requests and its routing decisions, free of sockets; time comes from the
// TimerService. Its parts, a file each, do the work: RequestLifecycle, AttemptExecution,
// EndpointCallExecution.
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
#include "core/peer_messenger.h"
#include "core/policy_runner.h"
#include "core/request_lifecycle.h"
#include "core/request_table.h"
#include "core/source_room.h"
#include "core/timer_service.h"
#include "core/upstream_transport.h"
#include "routing/routing_policy.h"

namespace rushhill::core {

// Joins the routing policy to the front ends and to the ports: passes each event to the part that handles it,
// and each decision to the part that carries it out. Every request gets exactly one final answer.
//
// All calls are made from the loop's thread. None may be made from within a call to a Client or a port.
class Gateway final : public RoutingHost, public UpstreamObserver {
 public:
  // What the gateway is handed at its start; all of it has to outlive the gateway.
  struct Ports {
    TimerService& clock;
    UpstreamTransport& upstream;
    PeerMessenger& peers;
    EndpointListSource& endpoint_lists;
    EventLog& log;
    DeduplicationLog* deduplication = nullptr;  // none: nothing outlives this router
  };
  Gateway(const RoutingConfiguration& configuration, std::uint64_t seed, const Ports& ports);

  // Registers a front end, or a part of one, as a source of requests. `weight`: its share beside the other
  // sources when there is not room for all. `can_wait`: requests that it does not hand over now are not lost.
  admission::Shares::Source add_source(double weight, bool can_wait = false) {
    return room_.add(weight, can_wait);
  }
  // Whether the source should hand over a request now.
  bool has_room(admission::Shares::Source source) { return room_.has_room(ports_.clock.timestamp(), source); }
  // Of the requests of a class; at most once for a class that is not configured.
  RetrySafety retry_safety_of(const std::string& request_class) const;

  // Accepts a request whose function, class and times the front end has read, and returns the id that it gets
  // here; nothing where the source has no room. The client's answer never comes before this returns.
  std::optional<RequestId> accept(admission::Shares::Source source, Client& client,
                                  RoutingRequest routing_request, events::CloudEvent message);
  // The client has left. `attempts_unread`: attempts that started while the message that says so had arrived
  // and had not been read.
  void client_cancelled(RequestId request, std::uint64_t attempts_unread = 0);

  // A message of the endpoint list, with the addresses at which the endpoints are reached.
  void endpoints_updated(EndpointListForm form, const std::vector<EndpointListEntry>& entries);
  // A message from another router.
  void gossip_received(int router, const std::string& bytes);
  // The verdict on a request for which the DeduplicationLog had said `pending`.
  void admission_decided(RequestId request, AdmissionVerdict verdict);
  // Prewarm orders sent before this router was restarted, where the configuration says that they are
  // restored.
  void load_budget_restored(double orders);

  // Requests accepted that have no final answer.
  std::size_t open_requests() const { return room_.open(); }
  // Whether a client still waits for its final answer, or for one that has been decided and not handed over.
  bool any_client_waits() const { return requests_.any_client_waits(); }
  // Answers every open request now, as at its deadline, because the router must end.
  void expire_all();
  const Counters& tally() const { return counters_; }
  // Time spent within the routing policy, in nanoseconds; 0 where it is not measured.
  std::int64_t policy_ns() const { return policy_.spent_ns(); }
  const RoutingConfiguration& configuration() const { return configuration_; }

  // UpstreamObserver
  void attempt_started(RequestId request) override;
  void attempt_ended(RequestId request, int attempt_number, AttemptResult result) override;
  void probe_ended(const EndpointId& endpoint, AttemptOutcome outcome, const LoadReport& report) override;
  void prewarm_ended(const EndpointId& endpoint, const FunctionId& function, AttemptOutcome outcome,
                     int copies) override;

 private:
  // RoutingHost
  void send_attempt(RequestId request, const EndpointId& endpoint, Duration timeout) override;
  void cancel_attempt(RequestId request, int attempt_number) override;
  void reject(RequestId request, Duration retry_after) override;
  void fail(RequestId request) override;
  void set_timer(std::int64_t token, Timestamp at) override;
  void probe(const EndpointId& endpoint) override;
  void close_idle(const EndpointId& endpoint) override;
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
  SourceRoom room_;
  AttemptExecution attempts_;
  EndpointCallExecution endpoint_calls_;
  RequestLifecycle lifecycle_;
};

}  // namespace rushhill::core
