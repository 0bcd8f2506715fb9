#include "routing/endpoint_monitor.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>
#include <variant>

#include "routing/rendezvous_hash.h"

namespace rushhill::routing {
namespace {

constexpr int every_peer = -1;
constexpr Duration probe_period = 3 * one_second;  // few beside the requests, many beside a fault's length
constexpr const char* utilization_field = "util";  // of a load report
constexpr const char* reports_with_probes = "probe";

}  // namespace

// A process that has died refuses connections. A connection that was lost may have been cut on its way, and
// the endpoint as warm as it was. One that never comes up says that the way is cut, or the machine gone:
// nothing of the process.
void EndpointMonitor::contact_ended(Timestamp now, const Contact& contact, EndpointRecord& record) {
  const Duration timeout = parts_.configuration.connect_timeout;
  switch (contact.outcome) {
    case AttemptOutcome::connect_failed:
      // A refusal comes at once.
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
      record.liveness.contact_made(now);
  }
}

// Where the endpoint has answered just now, or peers can tell of theirs, only several in a row show a death.
void EndpointMonitor::connection_failed(Timestamp now, AttemptOutcome outcome, EndpointRecord& record) {
  const bool answered_just_now = record.liveness.answered_just_now(now);
  const bool several = record.liveness.connection_lost(now, peers_tell());
  const bool peers_can_tell = outcome == AttemptOutcome::connection_lost && peers_tell();
  if (several || (!answered_just_now && !peers_can_tell)) {
    process_died(now, record);
  } else if (peers_tell()) {
    tell_peers(ConnectionLost{record.endpoint.id});
  }
}

// What has died holds nothing, and what answers there next is cold, long before the endpoint list says so.
void EndpointMonitor::process_died(Timestamp now, EndpointRecord& record) {
  record.liveness.process_died(now);
  parts_.functions.forget_copies(record.endpoint.id);
  if (peers_tell() && record.liveness.announce_death(now)) tell_peers(EndpointDied{record.endpoint.id});
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
  const auto reported = end.report.find(utilization_field);
  if (reported == end.report.end()) return;
  observe_utilization(now, reported->second, *record);
  if (peers_tell()) tell_peers(UtilizationReported{end.endpoint, reported->second});
}

void EndpointMonitor::gossip_received(Timestamp now, const std::string& bytes) {
  const GossipMessage message = decode(bytes);
  EndpointRecord* const record = parts_.endpoints.find(endpoint_of(message));
  if (record == nullptr) return;
  if (const auto* reported = std::get_if<UtilizationReported>(&message)) {
    observe_utilization(now, reported->utilization, *record);
    return;
  }
  const bool only_a_connection = std::holds_alternative<ConnectionLost>(message);
  if (only_a_connection && !record->liveness.connection_lost(now, peers_tell())) return;
  record->liveness.peer_announced(now);
  process_died(now, *record);
}

void EndpointMonitor::observe_utilization(Timestamp now, double utilization, EndpointRecord& record) {
  if (parts_.warm_up.is_warm(now, record)) parts_.fleet_load.observe_utilization(utilization);
  const double usual = parts_.fleet_load.utilization();
  if (usual > 0)
    record.placement_weight.observe(utilization / usual - 1, parts_.observation.interval_share());
}

void EndpointMonitor::judge_attempt(Timestamp now, bool bad, Attempt& attempt, EndpointRecord& record) {
  if (std::exchange(attempt.judged, true)) return;
  const OutlierChange change = parts_.outliers.attempt_judged(now, bad, record.outlier, record.history);
  if (change == OutlierChange::ejected) parts_.host.log("set aside " + record.endpoint.id);
}

void EndpointMonitor::advance_recovery(Timestamp now, EndpointRecord& record) {
  const OutlierChange change = parts_.outliers.advance(now, record.outlier, record.history);
  if (change == OutlierChange::readmitted) parts_.host.log("back in service " + record.endpoint.id);
}

void EndpointMonitor::probe_by_turn(Timestamp now, EndpointRecord& record) {
  const ReportConfiguration& reports = parts_.configuration.reports;
  if (!reports.probes || !reports.gossip || reports.load_reports != reports_with_probes) return;
  const std::int64_t turn = now.time_since_epoch() / probe_period;
  if (std::exchange(record.probe_turn, turn) == turn) return;
  const double hash = rendezvous_hash({.key = std::to_string(turn), .endpoint = record.endpoint.id});
  const double prober = std::ceil(hash * std::max(1, parts_.configuration.routers));  // from 1
  if (static_cast<int>(prober) != parts_.configuration.router_number + 1) return;
  record.tokens.take(1);
  parts_.host.probe(record.endpoint.id);
}

void EndpointMonitor::tell_peers(const GossipMessage& message) {
  parts_.host.send_gossip(every_peer, encode(message));
}

}  // namespace rushhill::routing
