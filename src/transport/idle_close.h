// A server that closes a connection since it was idle may do so in the moment in which a request leaves on
// it. Whether the request ran is not known then; but the close says nothing of the server, which lives and is
// as warm as it was, where another lost connection may be its death.
#pragma once

#include "core/timer_service.h"

namespace rushhill::transport {

constexpr Time least_idle = 10'000;  // tenths of a millisecond; no server closes a connection as idle sooner
constexpr Time longest_crossing = 500;  // likewise, from a request's leaving until the close that it crossed

constexpr bool crossed_idle_close(Time idle_before, Time since_sent) {
  return idle_before >= least_idle && since_sent <= longest_crossing;
}

}  // namespace rushhill::transport
