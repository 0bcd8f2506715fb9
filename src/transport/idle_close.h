// An endpoint may close an idle connection at the moment when a request is sent on it. Whether that request
// ran is then unknown, but the close says nothing about the endpoint, which is still up and has the same
// functions loaded. Any other lost connection may mean that the endpoint has stopped.
#pragma once

#include "core/timer_service.h"

namespace rushhill::transport {

// Tenths of a millisecond.
constexpr Time min_idle_timeout = 10'000;  // no endpoint closes an idle connection sooner
constexpr Time max_close_delay = 500;      // from sending a request until the close that crossed it

// Returns whether a lost connection was probably closed as idle. It had been idle for `idle_before` when the
// request was sent, and was lost `since_sent` later.
constexpr bool raced_with_idle_close(Time idle_before, Time since_sent) {
  return idle_before >= min_idle_timeout && since_sent <= max_close_delay;
}

}  // namespace rushhill::transport
