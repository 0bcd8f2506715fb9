// Which sources of requests have room: by their weighted share of the requests open at once, and by what they
// leave to others while requests are rejected.
#pragma once

#include <cstddef>

#include "admission/shares.h"
#include "admission/yielding.h"
#include "routing/time.h"

namespace rushhill::core {

// Shares the limit on open requests among the sources.
class SourceRoom {
 public:
  using Source = admission::Shares::Source;
  using End = admission::Yielding::End;

  // `open_request_limit`: requests open at once, over all sources; 0 or less: unlimited.
  explicit SourceRoom(int open_request_limit)
      : shares_(open_request_limit > 0 ? static_cast<std::size_t>(open_request_limit) : unlimited_requests) {}

  // `can_wait`: requests that the source does not hand over now are not lost.
  Source add(double weight, bool can_wait) {
    yielding_.add(weight, can_wait);
    return shares_.add(weight);
  }
  // Whether the source should hand over a request now.
  bool has_room(Timestamp now, Source source) {
    return within_share(source) && yielding_.may_take(to_ticks(now), source);
  }
  // Whether a request that the source hands over all the same may be accepted.
  bool within_share(Source source) const { return shares_.may_take(source); }

  void accepted(Timestamp now, Source source) {
    shares_.took(source);
    yielding_.took(to_ticks(now), source);
  }
  void concluded(Timestamp now, Source source, End end) {
    shares_.ended(source);
    yielding_.ended(to_ticks(now), source, end);
  }
  // Requests accepted and not concluded.
  std::size_t open() const { return shares_.open(); }

 private:
  static constexpr std::size_t unlimited_requests = 1'000'000'000;

  admission::Shares shares_;
  admission::Yielding yielding_;
};

}  // namespace rushhill::core
