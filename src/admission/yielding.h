// Which sources of events hold back while the core sheds. A source that can wait (a topic's messages stay at
// the broker) and has more than its part of what is honoured yields, so that what cannot wait, and what is
// below its part, finds the servers free. Free of I/O and chance; the clock is handed in.
#pragma once

#include <array>
#include <cstddef>
#include <limits>
#include <vector>

#include "routing/time.h"

namespace rushhill::admission {

class Yielding {
 public:
  // Sources come in the order of Shares' own; `waits`: what is not taken now is not lost.
  void add(double weight, bool waits);
  void took(Time now, std::size_t source);
  enum class End { succeeded, failed, cancelled };  // gone: its client did not wait, which tells nothing
  void ended(Time now, std::size_t source, End end);
  // Events that the source may have open at once.
  std::size_t allowance(std::size_t source) const;
  bool may_take(Time now, std::size_t source);

 private:
  static constexpr std::size_t beats_kept = 5;
  struct Beat {
    double honoured = 0, given_up = 0;
  };
  struct Row {
    double weight = 1;
    bool waits = false;
    std::size_t open = 0, most_open = 0;
    double allowance = std::numeric_limits<double>::infinity();
    double strained_at = 0;  // what was in use when it was cut last
    int unmet = 0;           // beats in a row in which the allowance was not met
    bool held = false;       // it wanted more than it was allowed, in this beat
    std::array<Beat, beats_kept> beats{};
  };
  void turn(Time now);
  void judge();

  std::vector<Row> sources_;
  Time beat_ends_ = 0;
  std::size_t beat_ = 0;
  int rest_ = 0;
};

}  // namespace rushhill::admission
