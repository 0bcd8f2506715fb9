#include "routing/outlier_detection.h"

#include <algorithm>

namespace rushhill::routing {
namespace {

// An endpoint is ejected when its share of bad attempts exceeds the fleet's median by more than this. A
// period of its recovery fails when the share of bad attempts in it is larger than this.
constexpr double ejection_excess = 0.5;
// A period covers several answers, so that it can be judged.
constexpr Duration min_period = one_second;
// An endpoint that has recovered is noticed within this time.
constexpr Duration max_pause = 8 * one_second;
// Share of the usual attempts. Few requests fail if the endpoint has not recovered yet.
constexpr double initial_attempt_share = 1.0 / 16;
constexpr int ramp_periods_per_interval = 8;  // the maximum number in one observation interval

}  // namespace

void OutlierState::start_pause(Timestamp now) {
  attempt_share_ = 0;
  pause_ = std::clamp(2 * pause_, min_period, max_pause);
  period_end_ = now + pause_;
  period_judged_ = 0;
  period_bad_ = 0;
}

void OutlierState::start_ramp_period(Timestamp now, Duration span) {
  attempt_share_ = std::max(initial_attempt_share, 2 * attempt_share_);
  period_end_ = now + span;
  period_judged_ = 0;
  period_bad_ = 0;
}

OutlierChange OutlierDetection::record_attempt(Timestamp now, bool bad, OutlierState& state,
                                               AttemptHistory& history) {
  history.add_judged_attempt(now, bad);
  state.period_judged_ += 1;
  state.period_bad_ += bad ? 1 : 0;
  if (state.ejected_) return OutlierChange::none;
  if (!bad) {
    state.pause_ = Duration::zero();
    return OutlierChange::none;
  }
  const AttemptStatistics recent = history.recent(now, observation_.recent_buckets());
  if (bad_share(recent) <= fleet_.median_bad_share + ejection_excess) return OutlierChange::none;
  const bool half_already_ejected = 2 * fleet_.ejected >= fleet_.serving;
  if (half_already_ejected) return OutlierChange::none;  // the cause is not a few outliers
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
  state.start_ramp_period(now, std::max(min_period, observation_.interval() / ramp_periods_per_interval));
  if (state.attempt_share_ <= 1) return OutlierChange::none;
  state.ejected_ = false;
  history.clear();
  return OutlierChange::readmitted;
}

}  // namespace rushhill::routing
