#include "admission/source_throttle.h"

#include <algorithm>
#include <cmath>

namespace rushhill::admission {
namespace {

// Tenths of a millisecond; short compared with latency objectives, long compared with answer times.
constexpr Time interval_length = 1'000;
// Share of failures among the ended requests above which the router counts as overloaded.
constexpr double overload_ratio = 0.02;
// Fewer ended requests in the kept intervals do not show whether there is an overload.
constexpr double min_ended_requests = 10;

// An allowance is cut to this part of the open requests at which the overload occurred.
constexpr double cut_factor = 0.8;
constexpr int intervals_after_cut = 2;  // intervals without a further cut

// Growth of an allowance per interval in which it refused a request. Near the load of the last cut, where an
// overload is likely again, it grows more slowly.
constexpr double growth_rate = 0.06;
constexpr double slow_growth_start = 0.9;  // part of the load at the last cut
constexpr double slow_growth_rate = 0.005;
constexpr double min_allowance = 2;  // requests; the smallest allowance after a cut

// An allowance that has refused no request for this many intervals is lifted.
constexpr int intervals_until_release = 20;

}  // namespace

std::size_t SourceThrottle::allowance(std::size_t source) const {
  const double allowance = sources_[source].allowance;
  return std::isfinite(allowance) ? static_cast<std::size_t>(allowance)
                                  : std::numeric_limits<std::size_t>::max();
}

void SourceThrottle::add(double weight, bool can_wait) {
  sources_.push_back({.weight = std::max(weight, 1e-6), .can_wait = can_wait});
}

void SourceThrottle::on_admitted(Time now, std::size_t source) {
  advance_intervals(now);
  SourceState& state = sources_[source];
  state.peak_open = std::max(state.peak_open, ++state.open);
}

void SourceThrottle::ended(Time now, std::size_t source, End end) {
  advance_intervals(now);
  SourceState& state = sources_[source];
  --state.open;
  if (end == End::succeeded) ++state.intervals[current_interval_].succeeded;
  if (end == End::failed) ++state.intervals[current_interval_].failed;
}

bool SourceThrottle::may_admit(Time now, std::size_t source) {
  advance_intervals(now);
  SourceState& state = sources_[source];
  if (state.open < allowance(source)) return true;
  state.refused = true;
  return false;
}

void SourceThrottle::advance_intervals(Time now) {
  if (now < interval_ends_at_) return;
  // After `kept_intervals` intervals without a call all kept intervals are empty.
  const Time elapsed = (now - interval_ends_at_) / interval_length;
  for (Time i = 0; i <= std::min<Time>(elapsed, kept_intervals); ++i) {
    adjust_allowances();
    current_interval_ = (current_interval_ + 1) % kept_intervals;
    for (SourceState& state : sources_) {
      state.intervals[current_interval_] = {};
      state.peak_open = state.open;
      state.refused = false;
    }
  }
  interval_ends_at_ = now - now % interval_length + interval_length;
}

void SourceThrottle::adjust_allowances() {
  double succeeded = 0, failed = 0, active_weight = 0;
  std::vector<double> succeeded_by_source(sources_.size());
  for (std::size_t i = 0; i < sources_.size(); ++i) {
    const SourceState& state = sources_[i];
    double ended = 0;
    for (const Interval& interval : state.intervals) {
      succeeded_by_source[i] += interval.succeeded;
      failed += interval.failed;
      ended += interval.succeeded + interval.failed;
    }
    succeeded += succeeded_by_source[i];
    if (ended > 0 || state.open > 0) active_weight += state.weight;
  }
  const bool in_cooldown = cooldown_ > 0;
  cooldown_ = std::max(cooldown_ - 1, 0);
  const bool overloaded =
      succeeded + failed >= min_ended_requests && failed > overload_ratio * (succeeded + failed);
  for (std::size_t i = 0; i < sources_.size(); ++i) {
    SourceState& state = sources_[i];
    if (!state.can_wait) continue;
    const bool above_share = succeeded_by_source[i] * active_weight > succeeded * state.weight;
    if (overloaded && above_share) {
      if (in_cooldown) continue;
      state.intervals_without_refusal = 0;
      state.load_at_last_cut = std::min(state.allowance, static_cast<double>(state.peak_open));
      state.allowance = std::max(state.load_at_last_cut * cut_factor, min_allowance);
    } else if (std::isfinite(state.allowance) && (!overloaded || !above_share)) {
      if (state.refused) {
        state.allowance *=
            1 +
            (state.allowance < slow_growth_start * state.load_at_last_cut ? growth_rate : slow_growth_rate);
        state.intervals_without_refusal = 0;
      } else if (++state.intervals_without_refusal >= intervals_until_release) {
        state.allowance = std::numeric_limits<double>::infinity();
      }
    }
  }
  if (overloaded && !in_cooldown) cooldown_ = intervals_after_cut;
  if (!overloaded && !in_cooldown) return;
  // A failure leads to one cut only, and one during the cooldown to none, since its request was admitted
  // before the last cut.
  for (SourceState& state : sources_) {
    for (Interval& interval : state.intervals) interval.failed = 0;
  }
}

}  // namespace rushhill::admission
