// Learns from what endpoints and peers say of an endpoint's health: contacts, load reports and gossip
// (docs/design.md, "Signs of death" and "Probes and messages").
#pragma once

#include <string>

#include "routing/gossip.h"
#include "routing/routing_parts.h"

namespace rushhill::routing {

// How a contact with an endpoint ended, and how long it took.
struct Contact {
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  Duration taken{};
};

// Updates the endpoints' records and tells the peers.
class EndpointMonitor {
 public:
  explicit EndpointMonitor(RoutingParts& parts) : parts_(parts) {}

  void contact_ended(Timestamp now, const Contact& contact, EndpointRecord& record);
  void load_reported(Timestamp now, const LoadReport& report, EndpointRecord& record);
  void probe_ended(Timestamp now, const ProbeEnd& end);
  void gossip_received(Timestamp now, const std::string& bytes);
  // Counts the attempt at that endpoint as good or bad, once.
  void judge_attempt(Timestamp now, bool bad, Attempt& attempt, EndpointRecord& record);

  // Periodic maintenance of an endpoint.
  void advance_recovery(Timestamp now, EndpointRecord& record);
  // Where load reports come only with probes, one router probes an endpoint in each period and tells its
  // peers.
  void probe_by_turn(Timestamp now, EndpointRecord& record);

 private:
  void connection_failed(Timestamp now, AttemptOutcome outcome, EndpointRecord& record);
  void process_died(Timestamp now, EndpointRecord& record);
  void observe_utilization(Timestamp now, double utilization, EndpointRecord& record);
  void tell_peers(const GossipMessage& message);
  bool peers_tell() const { return parts_.configuration.reports.gossip; }

  RoutingParts& parts_;
};

}  // namespace rushhill::routing
