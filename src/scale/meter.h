// Measures the work of chosen sections of code with a counter.
#pragma once

#include <cstdint>

#include "scale/counter.h"

namespace rushhill::scale {

// The sum of the work between begin() and end(), without what reading the counter costs itself.
class Meter {
 public:
  explicit Meter(Counter& counter);

  void begin() { count_at_begin_ = counter_.read(); }
  void end() {
    sum_ += static_cast<double>(counter_.read() - count_at_begin_) - overhead_;
    ++sections_;
  }
  void clear() {
    sum_ = 0;
    sections_ = 0;
  }

  double sum() const { return sum_; }
  // How many sections the sum is of.
  std::int64_t sections() const { return sections_; }

 private:
  Counter& counter_;
  std::uint64_t count_at_begin_ = 0;
  double overhead_ = 0;
  double sum_ = 0;
  std::int64_t sections_ = 0;
};

}  // namespace rushhill::scale
