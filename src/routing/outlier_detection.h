// Outlier detection. An endpoint whose share of bad attempts is far above the fleet's median is ejected, and
// readmitted over a recovery ramp (docs/design.md, "Bad servers"). An attempt is bad if it failed or is
// overdue.
#pragma once

#include <cstdint>

#include "routing/attempt_history.h"
#include "routing/observation_window.h"
#include "routing/time.h"

namespace rushhill::routing {

// Whether one endpoint is ejected, and which share of its usual attempts it gets while it is.
class OutlierState {
 public:
  bool ejected() const { return ejected_; }
  // The share of its usual attempts that the endpoint gets while it is ejected.
  double attempt_share() const { return attempt_share_; }
  // Readmits the endpoint, because its process was replaced and the old one's attempts no longer count.
  void endpoint_restarted() { ejected_ = false; }

 private:
  friend class OutlierDetection;

  void start_pause(Timestamp now);
  void start_ramp_period(Timestamp now, Duration span);

  bool ejected_ = false;
  double attempt_share_ = 0;
  Timestamp period_end_{};
  Duration pause_{};  // before the ramp; doubles after each failed period
  double period_judged_ = 0;
  double period_bad_ = 0;
};

// How an endpoint's state changed.
enum class OutlierChange : std::uint8_t { none, ejected, readmitted };

// The number of endpoints and their share of bad attempts.
struct FleetStatistics {
  double serving = 0;  // endpoints that may receive requests
  double ejected = 0;  // of the serving endpoints
  double median_bad_share = 0;
};

// The rules for ejecting and readmitting endpoints.
class OutlierDetection {
 public:
  explicit OutlierDetection(const ObservationWindow& observation) : observation_(observation) {}

  // Counts a good or bad attempt at the endpoint, and may eject the endpoint.
  OutlierChange record_attempt(Timestamp now, bool bad, OutlierState& state, AttemptHistory& history);

  // Moves an ejected endpoint along its recovery ramp, and may readmit it.
  OutlierChange advance(Timestamp now, OutlierState& state, AttemptHistory& history) const;

  void observe_fleet(const FleetStatistics& fleet) { fleet_ = fleet; }

  // An endpoint's share of bad attempts. The fleet's median counts as additional samples, so it dominates if
  // few attempts are known.
  double bad_share(const AttemptStatistics& statistics) const {
    const double prior = observation_.prior_samples();
    return (statistics.bad + prior * fleet_.median_bad_share) / (statistics.judged + prior);
  }
  double serving_endpoints() const { return fleet_.serving; }

 private:
  const ObservationWindow& observation_;
  FleetStatistics fleet_;
};

}  // namespace rushhill::routing
