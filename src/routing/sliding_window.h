// A sum over the recent past.
//
// Time is cut into buckets of equal width; each value is added to the bucket of its moment, and a total is
// taken over the newest buckets. The window is therefore exact to one bucket and needs constant memory.
// Windows of pace and failures (docs/design.md, "What changed for size") and the load budget (rule 5) are
// counted by it.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

#include "routing/time.h"

namespace rushhill::routing {

// `Sum` needs a default value of zero and operator+=. Totals are taken in the order of the ring's slots, not
// of time: sums of floating-point numbers depend on the order, and every router's have to come out the same.
template <typename Sum, int bucket_count>
class SlidingWindow {
 public:
  explicit SlidingWindow(Time bucket_width) : bucket_width_(std::max<Time>(bucket_width, 1)) {}

  // The sum of the bucket of `now`, to be added to. `now` must not lie before that of an earlier call.
  Sum& bucket_at(Time now) {
    newest_ = now / bucket_width_;
    Bucket& bucket = buckets_[static_cast<std::size_t>(newest_ % bucket_count)];
    if (std::exchange(bucket.number, newest_) != newest_) bucket.sum = Sum{};
    return bucket.sum;
  }

  // Over the bucket of `now` and the `newest_buckets - 1` before it.
  Sum total(Time now, int newest_buckets = bucket_count) const {
    const Time before = now / bucket_width_ - newest_buckets;
    if (newest_ <= before) return Sum{};
    // Only slots that can hold a bucket of that span.
    const Time oldest = std::max({before + 1, newest_ - bucket_count + 1, Time{0}});
    const Time first = oldest % bucket_count;
    const Time last = newest_ % bucket_count;
    if (first <= last) return with_slots(Sum{}, first, last, before);
    const Sum wrapped_around = with_slots(Sum{}, 0, last, before);
    return with_slots(wrapped_around, first, bucket_count - 1, before);
  }

 private:
  struct Bucket {
    Time number = 0;  // moment divided by the width
    Sum sum{};
  };

  // The sum so far and the slots' buckets newer than `before`. Passed by value, which keeps it in registers.
  Sum with_slots(Sum sum, Time first, Time last, Time before) const {
    for (Time slot = first; slot <= last; ++slot) {
      const Bucket& bucket = buckets_[static_cast<std::size_t>(slot)];
      if (bucket.number > before) sum += bucket.sum;
    }
    return sum;
  }

  Time bucket_width_;
  Time newest_ = 0;
  std::array<Bucket, bucket_count> buckets_{};
};

}  // namespace rushhill::routing
