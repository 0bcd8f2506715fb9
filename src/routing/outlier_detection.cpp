#include "routing/outlier_detection.h"

#include <algorithm>

namespace rushhill::routing {
namespace {

constexpr double ejection_excess = 0.5;             // share; bad beyond the median that ejects an endpoint
constexpr Duration shortest_period = one_second;    // several usual answers, so that a period can be judged
constexpr Duration longest_pause = 8 * one_second;  // an endpoint that is well again is noticed within that
constexpr double first_attempt_share = 1.0 / 16;    // of the usual attempts; few fail if it is still sick
constexpr int ramp_periods_per_interval = 8;        // of a ramp, in an observation interval at the most

}  // namespace

void OutlierState::start_pause(Timestamp now) {
  attempt_share_ = 0;
  pause_ = std::clamp(2 * pause_, shortest_period, longest_pause);
  period_end_ = now + pause_;
  period_judged_ = 0;
  period_bad_ = 0;
}

void OutlierState::start_ramp_period(Timestamp now, Duration span) {
  attempt_share_ = std::max(first_attempt_share, 2 * attempt_share_);
  period_end_ = now + span;
  period_judged_ = 0;
  period_bad_ = 0;
}

OutlierChange OutlierDetection::attempt_judged(Timestamp now, bool bad, OutlierState& state,
                                               AttemptHistory& history) {
  history.add_verdict(now, bad);
  state.period_judged_ += 1;
  state.period_bad_ += bad ? 1 : 0;
  if (state.ejected_) return OutlierChange::none;
  if (!bad) {
    state.pause_ = Duration::zero();
    return OutlierChange::none;
  }
  const AttemptStatistics recent = history.recent(now, observation_.recent_buckets());
  if (bad_share(recent) <= fleet_.median_bad_share + ejection_excess) return OutlierChange::none;
  const bool most_look_bad = 2 * fleet_.ejected >= fleet_.serving;
  if (most_look_bad) return OutlierChange::none;  // then the measure is wrong
  fleet_.ejected += 1;
  state.ejected_ = true;
  state.start_pause(now);
  return OutlierChange::ejected;
}

OutlierChange OutlierDetection::advance(Timestamp now, OutlierState& state, AttemptHistory& history) const {
  if (!state.ejected_ || now < state.period_end_) return OutlierChange::none;
  if (state.period_bad_ > ejection_excess * state.period_judged_) {
    state.start_pause(now);
    return OutlierChange::none;
  }
  state.start_ramp_period(now,
                          std::max(shortest_period, observation_.interval() / ramp_periods_per_interval));
  if (state.attempt_share_ <= 1) return OutlierChange::none;
  state.ejected_ = false;
  history.clear();
  return OutlierChange::readmitted;
}

}  // namespace rushhill::routing
