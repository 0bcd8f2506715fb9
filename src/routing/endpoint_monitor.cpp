#include "routing/endpoint_monitor.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>
#include <variant>

#include "routing/rendezvous_hash.h"

namespace rushhill::routing {
namespace {

constexpr int all_peers = -1;
// Probes are rare compared with requests, but frequent enough to notice a fault while it lasts.
constexpr Duration probe_period = 3 * one_second;
constexpr const char* utilization_field = "util";  // in a load report
constexpr const char* load_reports_by_probe = "probe";

}  // namespace

// A refused connection indicates that the process has died. A lost connection may be due to the network, with
// the process still running and its copies loaded. A connect timeout indicates a failure of the network or
// the machine, and says nothing about the process.
void EndpointMonitor::contact_ended(Timestamp now, const Contact& contact, EndpointRecord& record) {
  const Duration timeout = parts_.configuration.connect_timeout;
  switch (contact.outcome) {
    case AttemptOutcome::connect_failed:
      // A refusal arrives at once; a failure after half the timeout or more counts as a timeout.
      if (timeout > Duration::zero() && 2 * contact.taken >= timeout) {
        record.liveness.connect_timed_out(now);
      } else {
        connection_failed(now, contact.outcome, record);
      }
      return;
    case AttemptOutcome::connection_lost:
      connection_failed(now, contact.outcome, record);
      return;
    case AttemptOutcome::unanswered:
    case AttemptOutcome::cancelled:
    case AttemptOutcome::not_sent:
      return;
    case AttemptOutcome::succeeded:
    case AttemptOutcome::error:
    case AttemptOutcome::overloaded:
    case AttemptOutcome::function_missing:
      record.liveness.answer_received(now);
  }
}

// One failure alone shows a death unless the endpoint answered within the last second or, for a lost
// connection, gossip lets the peers report their losses too. In these cases it takes several failures in a
// row.
void EndpointMonitor::connection_failed(Timestamp now, AttemptOutcome outcome, EndpointRecord& record) {
  const bool answered_recently = record.liveness.answered_recently(now);
  const bool enough_lost = record.liveness.record_lost_connection(now, gossip_enabled());
  const bool peers_can_confirm = outcome == AttemptOutcome::connection_lost && gossip_enabled();
  if (enough_lost || (!answered_recently && !peers_can_confirm)) {
    process_died(now, record);
  } else if (gossip_enabled()) {
    broadcast(ConnectionLost{record.endpoint.id});
  }
}

// A restarted process has no copies and is cold, and the endpoint list reports the restart only much later.
void EndpointMonitor::process_died(Timestamp now, EndpointRecord& record) {
  record.liveness.process_died(now);
  parts_.functions.forget_copies(record.endpoint.id);
  if (gossip_enabled() && record.liveness.should_announce_death(now))
    broadcast(EndpointDied{record.endpoint.id});
}

void EndpointMonitor::load_reported(Timestamp now, const LoadReport& report, EndpointRecord& record) {
  if (const auto it = report.find(utilization_field); it != report.end()) {
    observe_utilization(now, it->second, record);
  }
}

void EndpointMonitor::probe_ended(Timestamp now, const ProbeEnd& end) {
  EndpointRecord* const record = parts_.endpoints.find(end.endpoint);
  if (record == nullptr) return;
  contact_ended(now, {.outcome = end.outcome, .taken = end.taken}, *record);
  const auto reported_utilization = end.report.find(utilization_field);
  if (reported_utilization == end.report.end()) return;
  observe_utilization(now, reported_utilization->second, *record);
  if (gossip_enabled()) broadcast(UtilizationReported{end.endpoint, reported_utilization->second});
}

void EndpointMonitor::gossip_received(Timestamp now, const std::string& bytes) {
  const GossipMessage message = decode(bytes);
  EndpointRecord* const record = parts_.endpoints.find(endpoint_of(message));
  if (record == nullptr) return;
  if (const auto* reported = std::get_if<UtilizationReported>(&message)) {
    observe_utilization(now, reported->utilization, *record);
    return;
  }
  const bool only_connection_lost = std::holds_alternative<ConnectionLost>(message);
  if (only_connection_lost && !record->liveness.record_lost_connection(now, gossip_enabled())) return;
  record->liveness.record_peer_announcement(now);
  process_died(now, *record);
}

void EndpointMonitor::observe_utilization(Timestamp now, double utilization, EndpointRecord& record) {
  if (parts_.warm_up.is_warm(now, record)) parts_.fleet_load.observe_utilization(utilization);
  const double mean_utilization = parts_.fleet_load.utilization();
  if (mean_utilization > 0)
    record.placement_weight.observe(utilization / mean_utilization - 1, parts_.observation.interval_share());
}

void EndpointMonitor::judge_attempt(Timestamp now, bool bad, Attempt& attempt, EndpointRecord& record) {
  if (std::exchange(attempt.judged, true)) return;
  const OutlierChange change = parts_.outliers.record_attempt(now, bad, record.outlier, record.history);
  if (change == OutlierChange::ejected) parts_.host.log("set aside " + record.endpoint.id);
}

void EndpointMonitor::advance_recovery(Timestamp now, EndpointRecord& record) {
  const OutlierChange change = parts_.outliers.advance(now, record.outlier, record.history);
  if (change == OutlierChange::readmitted) parts_.host.log("back in service " + record.endpoint.id);
}

void EndpointMonitor::probe_if_assigned(Timestamp now, EndpointRecord& record) {
  const ReportConfiguration& reports = parts_.configuration.reports;
  if (!reports.probes || !reports.gossip || reports.load_reports != load_reports_by_probe) return;
  const std::int64_t period_number = now.time_since_epoch() / probe_period;
  if (std::exchange(record.probe_period_number, period_number) == period_number) return;
  const double hash = rendezvous_hash({.key = std::to_string(period_number), .endpoint = record.endpoint.id});
  const double assigned_router =
      std::ceil(hash * std::max(1, parts_.configuration.routers));  // counted from 1
  if (static_cast<int>(assigned_router) != parts_.configuration.router_number + 1) return;
  record.tokens.take(1);
  parts_.host.probe(record.endpoint.id);
}

void EndpointMonitor::broadcast(const GossipMessage& message) {
  parts_.host.send_gossip(all_peers, encode(message));
}

}  // namespace rushhill::routing
