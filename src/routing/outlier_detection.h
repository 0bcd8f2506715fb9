// Outlier detection: an endpoint whose attempts go badly far more often than the fleet's median is ejected,
// and comes back over a recovery ramp (docs/design.md, "Bad servers").
#pragma once

#include <cstdint>

#include "routing/attempt_history.h"
#include "routing/observation_window.h"
#include "routing/time.h"

namespace rushhill::routing {

// One endpoint's state: whether it is ejected and, while it is, which share of its usual attempts it gets.
class OutlierState {
 public:
  bool ejected() const { return ejected_; }
  // Of its usual attempts, while it is ejected.
  double attempt_share() const { return attempt_share_; }
  // Its process was replaced: what was seen of the old one counts no more.
  void endpoint_restarted() { ejected_ = false; }

 private:
  friend class OutlierDetection;

  void start_pause(Timestamp now);
  void start_ramp_period(Timestamp now, Duration span);

  bool ejected_ = false;
  double attempt_share_ = 0;
  Timestamp period_end_{};
  Duration pause_{};  // before the ramp; doubles while the ramp goes badly
  double period_judged_ = 0;
  double period_bad_ = 0;
};

// What ejecting and readmitting an endpoint changed.
enum class OutlierChange : std::uint8_t { none, ejected, readmitted };

// How many endpoints there are, and how often their attempts go badly.
struct FleetVerdict {
  double serving = 0;  // endpoints that may receive requests
  double ejected = 0;  // of these
  double median_bad_share = 0;
};

// The rules, and what they know of the fleet.
class OutlierDetection {
 public:
  explicit OutlierDetection(const ObservationWindow& observation) : observation_(observation) {}

  // An attempt at the endpoint went well or badly; may eject it.
  OutlierChange attempt_judged(Timestamp now, bool bad, OutlierState& state, AttemptHistory& history);

  // Moves an ejected endpoint along its recovery ramp; may readmit it.
  OutlierChange advance(Timestamp now, OutlierState& state, AttemptHistory& history) const;

  void observe_fleet(const FleetVerdict& fleet) { fleet_ = fleet; }

  // The share of an endpoint's attempts that go badly, drawn to the fleet's median where few are known.
  double bad_share(const AttemptStatistics& statistics) const {
    const double prior = observation_.prior_samples();
    return (statistics.bad + prior * fleet_.median_bad_share) / (statistics.judged + prior);
  }
  double serving_endpoints() const { return fleet_.serving; }

 private:
  const ObservationWindow& observation_;
  FleetVerdict fleet_;
};

}  // namespace rushhill::routing
