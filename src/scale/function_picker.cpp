#include "scale/function_picker.h"

#include <cmath>
#include <numeric>
#include <vector>

namespace rushhill::scale {
namespace {

// A function is called in proportion to (rank + rank_offset)^-exponent: of 15,000 functions and 110,000 calls
// a second more than half are called less than once a minute, and the first gets a tenth of the calls.
constexpr double rank_offset = 8;
constexpr double exponent = 2;
// The step from one function to the next in turn, in thousandths of their number, so that calls in turn do
// not go to functions with neighbouring numbers.
constexpr int stride_thousandths = 618;
constexpr int thousand = 1'000;

}  // namespace

FunctionPicker::FunctionPicker(const FleetSize& fleet, std::uint64_t seed)
    : functions_(fleet.functions), generator_(static_cast<std::uint_fast32_t>(seed)),
      round_robin_(fleet.round_robin) {
  if (round_robin_) return;
  std::vector<double> weights;
  for (int i = 0; i < functions_; ++i) weights.push_back(std::pow(i + 1 + rank_offset, -exponent));
  distribution_ = std::discrete_distribution<int>(weights.begin(), weights.end());
}

int FunctionPicker::next() { return round_robin_ ? next_in_turn() : distribution_(generator_); }

int FunctionPicker::next_in_turn() {
  last_ = (last_ + 1) % functions_;
  const auto count = static_cast<std::int64_t>(functions_);
  const std::int64_t stride = (count * stride_thousandths / thousand) | 1;
  // A stride that shares a factor with the number of functions would pass over some of them.
  const bool reaches_all = std::gcd(stride, count) == 1;
  return reaches_all ? static_cast<int>(last_ * stride % count) : last_;
}

}  // namespace rushhill::scale
