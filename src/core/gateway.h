// The core: one router's requests and decisions, free of sockets; time comes from the TimerService. Its
// parts, each in a file of its own, do the work: request_lifecycle, attempt_execution, server_call_execution.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/attempt_execution.h"
#include "core/client.h"
#include "core/decision_module.h"
#include "core/deduplication_log.h"
#include "core/deferred_calls.h"
#include "core/endpoint_list_source.h"
#include "core/event_log.h"
#include "core/peer_messenger.h"
#include "core/request_lifecycle.h"
#include "core/request_table.h"
#include "core/server_addresses.h"
#include "core/server_call_execution.h"
#include "core/source_room.h"
#include "core/tally.h"
#include "core/timer_service.h"
#include "core/upstream_transport.h"
#include "routing/routing_policy.h"

namespace rushhill::core {

// Joins the decision module to the front ends and to the ports: takes each happening to the part that handles
// it, and each decision to the part that carries it out. Every request gets exactly one final answer.
class Gateway final : public RoutingHost, public UpstreamObserver {
 public:
  struct Ports {
    TimerService& clock;
    UpstreamTransport& upstream;
    PeerMessenger& peers;
    EndpointListSource& endpoint_lists;
    EventLog& log;
    DeduplicationLog* deduplication = nullptr;  // none: nothing outlives this router
  };
  Gateway(const RoutingConfiguration& deployment, std::uint64_t seed, const Ports& ports);

  // A front end, or a part of one, that hands over requests; its weight beside the others' when there is not
  // room for all; `waits`: what it does not hand over now waits outside and is not lost.
  admission::Shares::Source add_source(double weight, bool waits = false) { return room_.add(weight, waits); }
  bool has_room(admission::Shares::Source source) { return room_.has_room(to_.clock.now(), source); }
  RetrySafety effect_of(const std::string& traffic_type) const;

  // Accepts a request whose function, type and times the front end has read; `told.id` is set here. Nothing:
  // the source has no room. The answer never comes before this returns.
  std::optional<RequestId> accept(admission::Shares::Source source, Client& client, RoutingRequest told,
                                  events::CloudEvent message);
  // The client has left. `unread`: attempts that started for its request while something stood unread of
  // which this is a part.
  void client_cancelled(RequestId event, std::uint64_t unread = 0);

  // A message from the server list: servers and the addresses at which they are reached.
  void endpoints_updated(EndpointListForm form, const std::vector<EndpointListEntry>& entries);
  // A message from another router.
  void gossip_received(int router, const std::string& bytes);
  // The ledger's verdict on a request that waited for it; from no call of this gateway's.
  void admission_decided(RequestId event, AdmissionVerdict how);
  // What earlier lives ordered, where the deployment says that it is told.
  void load_budget_restored(double orders);

  // Requests accepted that have no final answer.
  std::size_t open_requests() const { return room_.open(); }
  // Whether a client still waits for its final answer, or for one that has been decided and not handed over.
  bool any_client_waits() const { return requests_.any_client_waits(); }
  // Answers every open request now, as at its deadline: for a router that must end.
  void expire_all();
  const Counters& tally() const { return tally_; }
  // Time spent within the decision module, in nanoseconds.
  std::int64_t policy_ns() const { return policy_.spent_ns(); }
  const RoutingConfiguration& configuration() const { return configuration_; }

  // UpstreamObserver
  void attempt_started(RequestId event) override;
  void attempt_ended(RequestId event, int leg, AttemptResult result) override;
  void probe_ended(const EndpointId& server, AttemptOutcome ending, const LoadReport& report) override;
  void prewarm_ended(const EndpointId& server, const FunctionId& function, AttemptOutcome ending,
                     int copies) override;

 private:
  // Host
  void send_attempt(RequestId event, const EndpointId& server, Duration timeout) override;
  void cancel_attempt(RequestId event, int leg) override;
  void reject(RequestId event, Duration retry_after) override;
  void fail(RequestId event) override;
  void set_timer(std::int64_t token, Timestamp at) override;
  void probe(const EndpointId& server) override;
  void close_idle(const EndpointId& server) override;
  void prewarm(const EndpointId& server, const FunctionId& function, int copies) override;
  void evict(const EndpointId& server, const FunctionId& function) override;
  void send_gossip(int router, const std::string& bytes) override;
  void watch_endpoints(bool on) override;
  void resync_endpoints() override;
  void log(const std::string& line) override;

  RoutingConfiguration configuration_;
  Ports to_;
  Counters tally_;
  DeferredCalls deferred_;
  PolicyRunner policy_;
  RequestTable requests_;
  EndpointAddresses addresses_;
  SourceRoom room_;
  AttemptExecution attempts_;
  EndpointCallExecution server_calls_;
  RequestLifecycle lifecycle_;
};

}  // namespace rushhill::core
