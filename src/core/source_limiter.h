// Limits how many requests each source may have open. Each source has a weighted share of the overall limit,
// and sources that can wait are limited further while the router rejects or fails requests.
#pragma once

#include <cstddef>

#include "admission/source_quotas.h"
#include "admission/source_throttle.h"
#include "routing/time.h"

namespace rushhill::core {

// Divides the limit on open requests among the sources.
class SourceLimiter {
 public:
  using Source = admission::SourceQuotas::Source;
  using End = admission::SourceThrottle::End;

  // `open_request_limit` is the number of requests that may be open at once over all sources. Zero or less
  // means that there is no limit.
  explicit SourceLimiter(int open_request_limit)
      : shares_(open_request_limit > 0 ? static_cast<std::size_t>(open_request_limit) : unlimited_requests) {}

  // Adds a source with a relative weight. `can_wait` says that requests which the source holds back are not
  // lost and may be passed on later.
  Source add_source(double weight, bool can_wait) {
    yielding_.add(weight, can_wait);
    return shares_.add(weight);
  }
  // Returns whether the source should pass on a request now.
  bool has_room(Timestamp now, Source source) {
    return within_share(source) && yielding_.may_admit(to_ticks(now), source);
  }
  // Returns whether a request of the source is accepted, even if has_room() advised the source to wait.
  bool within_share(Source source) const { return shares_.may_admit(source); }

  void request_accepted(Timestamp now, Source source) {
    shares_.on_admitted(source);
    yielding_.on_admitted(to_ticks(now), source);
  }
  void request_concluded(Timestamp now, Source source, End end) {
    shares_.ended(source);
    yielding_.ended(to_ticks(now), source, end);
  }
  // The number of requests that are accepted and not concluded.
  std::size_t open_requests() const { return shares_.open(); }

 private:
  static constexpr std::size_t unlimited_requests = 1'000'000'000;

  admission::SourceQuotas shares_;
  admission::SourceThrottle yielding_;
};

}  // namespace rushhill::core
