// Tracks the health of endpoints from the outcomes of attempts and probes, from load reports, and from the
// gossip of peers (docs/design.md, "Signs of death" and "Probes and messages").
#pragma once

#include <string>

#include "routing/gossip.h"
#include "routing/routing_parts.h"

namespace rushhill::routing {

// How an attempt or a probe at an endpoint ended, and how long it took.
struct Contact {
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  Duration taken{};
};

// Updates the endpoints' records and notifies the peers.
class EndpointMonitor {
 public:
  explicit EndpointMonitor(RoutingParts& parts) : parts_(parts) {}

  void contact_ended(Timestamp now, const Contact& contact, EndpointRecord& record);
  void load_reported(Timestamp now, const LoadReport& report, EndpointRecord& record);
  void probe_ended(Timestamp now, const ProbeEnd& end);
  void gossip_received(Timestamp now, const std::string& bytes);
  // Counts the attempt at its endpoint as good or bad for outlier detection; later calls for the same attempt
  // have no effect.
  void judge_attempt(Timestamp now, bool bad, Attempt& attempt, EndpointRecord& record);

  // Moves an ejected endpoint along its recovery ramp.
  void advance_recovery(Timestamp now, EndpointRecord& record);
  // If endpoints report their load only in answers to probes, one router probes an endpoint in each probe
  // period and sends the result to its peers. Probes the endpoint if it is this router's turn.
  void probe_if_assigned(Timestamp now, EndpointRecord& record);

 private:
  void connection_failed(Timestamp now, AttemptOutcome outcome, EndpointRecord& record);
  void process_died(Timestamp now, EndpointRecord& record);
  void observe_utilization(Timestamp now, double utilization, EndpointRecord& record);
  void broadcast(const GossipMessage& message);
  bool gossip_enabled() const { return parts_.configuration.reports.gossip; }

  RoutingParts& parts_;
};

}  // namespace rushhill::routing
