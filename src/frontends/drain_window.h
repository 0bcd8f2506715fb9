// How long a frontend that drains takes requests, and by when it answers them.
#pragma once

#include <algorithm>

#include "routing/time.h"

namespace rushhill::frontends {

// Times in tenths of a millisecond.
//
// A client that keeps connections open learns from the answer to its next request on each of them that it is
// to close it. An idle connection therefore stays open while requests keep coming: its client may be about to
// use it, and a request that crosses the close would get no answer.
class DrainWindow {
 public:
  // `timeout`: from the start of the drain until the process ends.
  explicit DrainWindow(Time timeout) : timeout_(timeout) {}

  void start(Time now) {
    started_at_ = now;
    last_request_at_ = now;
  }
  void request_arrived(Time now) { last_request_at_ = now; }

  // When an idle connection is closed.
  Time idle_close_at() const { return std::min(last_request_at_ + idle_limit, started_at_ + max_idle_drain); }
  // By when a request that arrives now has to be answered. One that has come so late may not have the whole
  // time of its class: the supervisor may kill the process once the requests before it must have ended.
  Time answer_by(Time now) const {
    const Time end = started_at_ + timeout_;
    return now - started_at_ <= idle_limit ? end : std::min(end, started_at_ + idle_limit + longest_deadline);
  }

 private:
  static constexpr Time idle_limit = 7'000;         // since the drain's start, or the last request
  static constexpr Time max_idle_drain = 20'000;    // leaves the last requests a part of the longest deadline
  static constexpr Time longest_deadline = 30'000;  // as far as a supervisor waits for it

  Time timeout_;
  Time started_at_ = 0;
  Time last_request_at_ = 0;
};

}  // namespace rushhill::frontends
