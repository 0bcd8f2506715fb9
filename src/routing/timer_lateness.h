// How late this router's timers have fired recently.
//
// A router that is short of processor time notices a timer only after everything else that its event loop has
// to do. The lateness of one timer shows how late others may be.
#pragma once

#include <algorithm>

#include "routing/sliding_window.h"
#include "routing/time.h"

namespace rushhill::routing {

// Keeps the longest lateness of the recent past.
class TimerLateness {
 public:
  // Records a timer that fired at `now`, that much later than it was due.
  void record(Timestamp now, Duration lateness) { longest_.bucket_at(now) += Longest{.span = lateness}; }

  // Returns the longest recorded lateness of the last few seconds, or zero if no timer was late.
  Duration longest(Timestamp now) const { return longest_.total(now).span; }

 private:
  static constexpr int window_buckets = 5;  // of one second

  struct Longest {
    Duration span{};
    Longest& operator+=(const Longest& other) {
      span = std::max(span, other.span);
      return *this;
    }
  };

  SlidingWindow<Longest, window_buckets> longest_{one_second};
};

}  // namespace rushhill::routing
