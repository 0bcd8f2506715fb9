// Means and medians.
#pragma once

#include <algorithm>
#include <cstddef>
#include <type_traits>
#include <vector>

namespace rushhill::routing {

// Weight of a new sample in an exponential moving average; some twenty samples make the mean.
constexpr double new_sample_weight = 0.05;

// Adds a sample to an exponential moving average. A mean of 0 holds no sample yet and takes the first as it
// is. `Value` is a number or a FractionalDuration.
template <typename Value>
void add_sample(Value& mean, std::type_identity_t<Value> sample) {
  if (mean == Value{}) {
    mean = sample;
  } else {
    mean += new_sample_weight * (sample - mean);
  }
}

// The median, of an even number the upper of the two in the middle; `otherwise` where there is no value.
// Reorders the values.
inline double median(std::vector<double>& values, double otherwise) {
  if (values.empty()) return otherwise;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace rushhill::routing
