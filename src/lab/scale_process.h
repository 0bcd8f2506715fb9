// A measurement in a process of its own, so that the allocator and the memory held start afresh.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>

#include "scale/counter.h"
#include "scale/figures.h"

namespace rushhill::lab {

// What a measurement returned: figures, or why there are none.
struct Measurement {
  scale::Figures figures{};  // a figure that is no number is NaN
  std::string failure{};     // empty: it succeeded

  bool failed() const { return !failure.empty(); }
};

// What is measured: instructions, or user time, which counting would disturb.
enum class MeasuredQuantity { instructions, user_time };

// One running measurement. result() is called exactly once.
class MeasuringProcess {
 public:
  using Work = std::function<scale::Figures(scale::Counter& counter)>;

  // Starts the work in a forked process. Throws std::runtime_error where there is none to be had.
  MeasuringProcess(MeasuredQuantity quantity, const Work& work);

  // Waits for its end.
  Measurement result() const;

 private:
  pid_t process_ = 0;
  int read_end_ = -1;
};

// Starts the work and waits for its end.
Measurement measure_in_process(MeasuredQuantity quantity, const MeasuringProcess::Work& work);

}  // namespace rushhill::lab
