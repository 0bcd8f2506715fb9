#include "scale/meter.h"

#include <algorithm>
#include <limits>

namespace rushhill::scale {
namespace {

constexpr int calibrations = 64;  // empty sections, the cheapest of which is the overhead of a section

}  // namespace

Meter::Meter(Counter& counter) : counter_(counter) {
  double least = std::numeric_limits<double>::max();
  for (int i = 0; i < calibrations; ++i) {
    const std::uint64_t before = counter_.read();
    least = std::min(least, static_cast<double>(counter_.read() - before));
  }
  overhead_ = least;
}

}  // namespace rushhill::scale
