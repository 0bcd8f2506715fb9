// Backoff after local failures, such as a lack of memory or file descriptors.
#pragma once

#include <algorithm>

#include "core/timer_service.h"

namespace rushhill::transport {

// A pause that doubles with each failure, up to a maximum, so that repeated failures do not make the event
// loop spin. It halves with each success.
class Backoff {
 public:
  // Tenths of a millisecond. The maximum is much shorter than any deadline or connect timeout.
  static constexpr Time min_pause = 10;
  static constexpr Time max_pause = 160;

  // Records a failure and returns how long to wait before the next try.
  Time pause_after_failure() {
    const Time pause = pause_;
    pause_ = std::min(2 * pause_, max_pause);
    return pause;
  }
  void record_success() { pause_ = std::max(pause_ / 2, min_pause); }

 private:
  Time pause_ = min_pause;
};

}  // namespace rushhill::transport
