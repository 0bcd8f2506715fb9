#include "admission/yielding.h"

#include <algorithm>
#include <cmath>

namespace rushhill::admission {
namespace {

constexpr Time beat_length = 1'000;    // tenths of a millisecond; short beside due times, long beside answers
constexpr double strain = 0.02;        // share given up of all that ends, from which the core is overloaded
constexpr double least_ended = 10;     // events ended in the kept beats; of fewer nothing is concluded
constexpr double cut = 0.8;            // of an allowance, at strain
constexpr int rest_after_cut = 2;      // beats
constexpr double growth = 0.06;        // of an allowance, a beat without strain in which it was met
constexpr double near = 0.9;           // of what was in use at the last strain; from there on it
constexpr double slow_growth = 0.005;  // grows slower, since there the strain is expected
constexpr double least_allowed = 2;    // events
constexpr int forgotten = 20;  // beats in a row in which an allowance was not met; then it binds no more

}  // namespace

std::size_t Yielding::allowance(std::size_t source) const {
  const double allowance = sources_[source].allowance;
  return std::isfinite(allowance) ? static_cast<std::size_t>(allowance)
                                  : std::numeric_limits<std::size_t>::max();
}

void Yielding::add(double weight, bool waits) {
  sources_.push_back({.weight = std::max(weight, 1e-6), .waits = waits});
}

void Yielding::took(Time now, std::size_t source) {
  turn(now);
  Row& row = sources_[source];
  row.most_open = std::max(row.most_open, ++row.open);
}

void Yielding::ended(Time now, std::size_t source, End end) {
  turn(now);
  Row& row = sources_[source];
  --row.open;
  if (end == End::succeeded) ++row.beats[beat_].honoured;
  if (end == End::failed) ++row.beats[beat_].given_up;
}

bool Yielding::may_take(Time now, std::size_t source) {
  turn(now);
  Row& row = sources_[source];
  if (row.open < allowance(source)) return true;
  row.held = true;
  return false;
}

void Yielding::turn(Time now) {
  if (now < beat_ends_) return;
  // After a long silence the kept beats are all empty.
  const Time missed = (now - beat_ends_) / beat_length;
  for (Time i = 0; i <= std::min<Time>(missed, beats_kept); ++i) {
    judge();
    beat_ = (beat_ + 1) % beats_kept;
    for (Row& row : sources_) {
      row.beats[beat_] = {};
      row.most_open = row.open;
      row.held = false;
    }
  }
  beat_ends_ = now - now % beat_length + beat_length;
}

void Yielding::judge() {
  double honoured = 0, given_up = 0, weights = 0;
  std::vector<double> of_source(sources_.size());
  for (std::size_t i = 0; i < sources_.size(); ++i) {
    const Row& row = sources_[i];
    double ended = 0;
    for (const Beat& beat : row.beats) {
      of_source[i] += beat.honoured;
      given_up += beat.given_up;
      ended += beat.honoured + beat.given_up;
    }
    honoured += of_source[i];
    if (ended > 0 || row.open > 0) weights += row.weight;
  }
  const bool resting = rest_ > 0;
  rest_ = std::max(rest_ - 1, 0);
  const bool strained = honoured + given_up >= least_ended && given_up > strain * (honoured + given_up);
  for (std::size_t i = 0; i < sources_.size(); ++i) {
    Row& row = sources_[i];
    if (!row.waits) continue;
    const bool above_part = of_source[i] * weights > honoured * row.weight;
    if (strained && above_part) {
      if (resting) continue;
      row.unmet = 0;
      row.strained_at = std::min(row.allowance, static_cast<double>(row.most_open));
      row.allowance = std::max(row.strained_at * cut, least_allowed);
    } else if (std::isfinite(row.allowance) && (!strained || !above_part)) {
      if (row.held) {
        row.allowance *= 1 + (row.allowance < near * row.strained_at ? growth : slow_growth);
        row.unmet = 0;
      } else if (++row.unmet >= forgotten) {
        row.allowance = std::numeric_limits<double>::infinity();
      }
    }
  }
  if (strained && !resting) rest_ = rest_after_cut;
  if (!strained && !resting) return;
  // What was given up counts once, and not at all where it was taken before the last cut.
  for (Row& row : sources_) {
    for (Beat& beat : row.beats) beat.given_up = 0;
  }
}

}  // namespace rushhill::admission
