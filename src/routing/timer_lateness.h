// How late this router's timers have fired recently.
//
// A router that is short of processor time notices a timer only after everything else that its event loop has
// to do. The lateness of one timer shows how late others may be.
#pragma once

#include <algorithm>

#include "routing/sliding_window.h"
#include "routing/time.h"

namespace rushhill::routing {

// Keeps the lateness that was reached repeatedly in the recent past. A single late timer, as after a stop of
// the process, foretells nothing.
class TimerLateness {
 public:
  // Records a timer that fired at `now`, that much later than it was due.
  void record(Timestamp now, Duration lateness) { longest_.bucket_at(now) += Longest{.first = lateness}; }

  // Returns the second-longest recorded lateness of the last few seconds, or zero if at most one was late.
  Duration repeated(Timestamp now) const { return longest_.total(now).second; }

 private:
  static constexpr int window_buckets = 5;  // of one second

  struct Longest {
    Duration first{};
    Duration second{};
    Longest& operator+=(const Longest& other) {
      second = std::max(std::min(first, other.first), std::max(second, other.second));
      first = std::max(first, other.first);
      return *this;
    }
  };

  SlidingWindow<Longest, window_buckets> longest_{one_second};
};

}  // namespace rushhill::routing
