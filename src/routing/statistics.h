// Moving averages and medians.
#pragma once

#include <algorithm>
#include <cstddef>
#include <type_traits>
#include <vector>

namespace rushhill::routing {

// The weight of a new sample in an exponential moving average, which thus covers about twenty samples.
constexpr double new_sample_weight = 0.05;

// Adds a sample to an exponential moving average. A mean of 0 has no samples yet and is set to the first one.
// `Value` is a number or a FractionalDuration.
template <typename Value>
void add_sample(Value& mean, std::type_identity_t<Value> sample) {
  if (mean == Value{}) {
    mean = sample;
  } else {
    mean += new_sample_weight * (sample - mean);
  }
}

// Returns the median: of an even number of values, the larger of the two in the middle. Returns `fallback` if
// there are no values. Reorders the values.
inline double median(std::vector<double>& values, double fallback) {
  if (values.empty()) return fallback;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace rushhill::routing
