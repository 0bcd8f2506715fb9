// Backoff after failures of this machine, such as a lack of memory or descriptors.
#pragma once

#include <algorithm>

#include "core/timer_service.h"

namespace rushhill::transport {

// A pause that doubles with each failure up to a bound, so that no failure makes the loop spin, and halves
// with each success.
class Backoff {
 public:
  // Tenths of a millisecond. The longest is short beside any deadline and any connect limit.
  static constexpr Time first_pause = 10;
  static constexpr Time longest_pause = 160;

  // How long to wait after a failure.
  Time failed() {
    const Time pause = pause_;
    pause_ = std::min(2 * pause_, longest_pause);
    return pause;
  }
  void succeeded() { pause_ = std::max(pause_ / 2, first_pause); }

 private:
  Time pause_ = first_pause;
};

}  // namespace rushhill::transport
