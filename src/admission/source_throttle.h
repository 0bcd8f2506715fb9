// Limits the open requests of sources that can wait while the router is overloaded. A source can wait if its
// requests are not lost when they are not admitted now (a topic's messages stay at the broker). Such a source
// is throttled if it has more than its weighted share of the requests that succeed, so that the servers have
// room for the sources that cannot wait or are below their share. Free of I/O and randomness; the caller
// passes the time.
#pragma once

#include <array>
#include <cstddef>
#include <limits>
#include <vector>

#include "routing/time.h"

namespace rushhill::admission {

class SourceThrottle {
 public:
  // Sources are added in the same order as to SourceQuotas, so that their numbers agree. `can_wait`: requests
  // that are not admitted now are not lost.
  void add(double weight, bool can_wait);
  void on_admitted(Time now, std::size_t source);
  // `failed` includes rejected requests. `cancelled` does not count, since it says nothing about the load.
  enum class End { succeeded, failed, cancelled };
  void ended(Time now, std::size_t source, End end);
  // Returns how many requests the source may have open at once.
  std::size_t allowance(std::size_t source) const;
  bool may_admit(Time now, std::size_t source);

 private:
  static constexpr std::size_t kept_intervals = 5;
  struct Interval {
    double succeeded = 0, failed = 0;  // requests that ended in it
  };
  struct SourceState {
    double weight = 1;
    bool can_wait = false;
    std::size_t open = 0, peak_open = 0;  // requests open now, and at most in this interval
    double allowance = std::numeric_limits<double>::infinity();
    double load_at_last_cut = 0;  // open requests at which the allowance was last cut
    // Intervals since the last cut or refusal. Intervals of the cooldown may be left out.
    int intervals_without_refusal = 0;
    bool refused = false;  // whether the allowance refused a request in this interval
    std::array<Interval, kept_intervals> intervals{};
  };
  void advance_intervals(Time now);
  void adjust_allowances();

  std::vector<SourceState> sources_;
  Time interval_ends_at_ = 0;
  std::size_t current_interval_ = 0;
  int cooldown_ = 0;  // intervals in which no allowance is cut
};

}  // namespace rushhill::admission
