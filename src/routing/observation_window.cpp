#include "routing/observation_window.h"

#include <algorithm>
#include <cstdint>

namespace rushhill::routing {
namespace {

constexpr double min_prior_samples = 1;

}  // namespace

Duration ObservationWindow::seen(Timestamp now) const {
  return std::clamp(observed_for(now), one_second, history_span);
}

void ObservationWindow::update(Timestamp now, double serving_endpoints) {
  const FractionalDuration interval = serving_endpoints * FractionalDuration{seen(now)} / (requests(now) + 1);
  interval_ = std::min(std::chrono::duration_cast<Duration>(interval), history_span);
  recent_buckets_ = static_cast<int>(
      std::clamp<std::int64_t>(2 * interval_ / history_bucket_width, min_recent_buckets, history_buckets));
  const FractionalDuration recent_span = recent_buckets_ * history_bucket_width;
  prior_samples_ =
      std::clamp(recent_span / (interval + FractionalDuration{1}), min_prior_samples, max_prior_samples);
}

double ObservationWindow::interval_share() const {
  return std::min(1.0, FractionalDuration{interval_} / FractionalDuration{history_span});
}

}  // namespace rushhill::routing
