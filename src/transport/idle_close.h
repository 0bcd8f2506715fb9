// An endpoint that closes an idle connection may do so in the moment in which a request leaves on it. Whether
// the request ran is not known then; but the close says nothing of the endpoint, which is up and as warm as
// it was, while any other lost connection may mean that it has stopped.
#pragma once

#include "core/timer_service.h"

namespace rushhill::transport {

// Tenths of a millisecond.
constexpr Time min_idle = 10'000;   // no endpoint closes a connection as idle sooner
constexpr Time max_crossing = 500;  // from a request's leaving until the close that it crossed

// Whether a lost connection was probably closed as idle: it had been idle for `idle_before` when the request
// left, and was lost `since_sent` after that.
constexpr bool crossed_idle_close(Time idle_before, Time since_sent) {
  return idle_before >= min_idle && since_sent <= max_crossing;
}

}  // namespace rushhill::transport
