#include "routing/periodic_maintenance.h"

#include <algorithm>
#include <vector>

#include "routing/statistics.h"

namespace rushhill::routing {
namespace {

// Timers are expected to be at most that many times as late as they were recently.
constexpr int lateness_factor = 2;

}  // namespace

// Recent figures of the endpoints that may receive requests.
struct PeriodicMaintenance::FleetSample {
  int serving = 0;
  int ejected = 0;
  std::vector<double> bad_shares;
  std::vector<double> paces;
  WarmSuccesses warm;
};

void PeriodicMaintenance::run(Timestamp now) {
  lateness_.record(now, now - last_run_ - period);
  FleetSample sample = maintain_endpoints(now);
  update_estimates(now, sample);
  sweep_tables(now);
  last_run_ = now;
  check_requests(now);
  dispatcher_.dispatch_waiting(now);
  parts_.requests.erase_finished();
}

PeriodicMaintenance::FleetSample PeriodicMaintenance::maintain_endpoints(Timestamp now) {
  FleetSample sample;
  for (auto& [id, record] : parts_.endpoints.records()) {
    record.in_flight.reset_long_running();
    if (record.outlier.ejected()) monitor_.advance_recovery(now, record);
    if (record.may_receive()) maintain_endpoint(now, record, sample);
  }
  return sample;
}

void PeriodicMaintenance::maintain_endpoint(Timestamp now, EndpointRecord& record, FleetSample& sample) {
  monitor_.probe_if_assigned(now, record);
  ++sample.serving;
  sample.ejected += record.outlier.ejected() ? 1 : 0;
  const AttemptStatistics recent = record.history.recent(now, parts_.observation.recent_buckets());
  sample.bad_shares.push_back(recent.judged > 0 ? recent.bad / recent.judged : 0);
  if (recent.pace_samples >= max_prior_samples) sample.paces.push_back(recent.pace_sum / recent.pace_samples);
  const Timestamp warming_since = parts_.warm_up.warming_since(now, record);
  if (warming_since != Timestamp{}) {
    parts_.warm_up.refill({.age = now - warming_since, .elapsed = now - last_run_}, record);
    return;
  }
  record.tokens.keep_fraction();
  sample.warm.succeeded += record.history.all(now).succeeded;
  sample.warm.weight += record.weight();
}

void PeriodicMaintenance::update_estimates(Timestamp now, FleetSample& sample) {
  const auto serving = static_cast<double>(sample.serving);
  parts_.outliers.observe_fleet({.serving = serving,
                                 .ejected = static_cast<double>(sample.ejected),
                                 .median_bad_share = median(sample.bad_shares, 0)});
  parts_.estimates.observe_paces(sample.paces);
  parts_.fleet_load.observe_successes(sample.warm, parts_.observation.seen(now));
  parts_.observation.update(now, serving);
}

// Bounds the tables by erasing expired records.
void PeriodicMaintenance::sweep_tables(Timestamp now) {
  parts_.functions.sweep(now, parts_.configuration.copies.keep_alive);
  parts_.endpoints.erase_removed(now);
}

void PeriodicMaintenance::check_requests(Timestamp now) {
  const Duration reserve = deadline_reserve(now);
  for (auto& [id, tracked] : parts_.requests.requests()) {
    dispatcher_.check_overdue(now, tracked);
    if (reserve > Duration::zero()) dispatcher_.end_before_deadline(now, reserve, tracked);
  }
  observe_overload(now);
}

// Returns how long before a deadline this run may be the last one at which it can be kept, or zero if the
// timers are so punctual that each request's own timer keeps it.
Duration PeriodicMaintenance::deadline_reserve(Timestamp now) const {
  const Duration lateness = lateness_factor * lateness_.repeated(now);
  if (lateness <= std::max(parts_.configuration.tick, period)) return Duration::zero();
  return lateness + period;
}

void PeriodicMaintenance::observe_overload(Timestamp now) {
  std::vector<double> outlasting;
  for (const auto& [id, record] : parts_.endpoints.records()) {
    if (record.may_receive()) outlasting.push_back(record.in_flight.outlasting());
  }
  const ObservationWindow& observation = parts_.observation;
  parts_.overload.observe_in_flight(now, observation.observed_for(now), observation.requests(now),
                                    outlasting);
}

}  // namespace rushhill::routing
