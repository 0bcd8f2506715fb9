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
#include <cstdint>
#include <utility>

#include "routing/time.h"

namespace rushhill::routing {

// `Sum` needs a default value of zero and operator+=. Totals are taken in the order of the ring's slots, not
// of time: sums of floating-point numbers depend on the order, and every router's have to come out the same.
template <typename Sum, int bucket_count>
class SlidingWindow {
 public:
  explicit SlidingWindow(Duration bucket_width) : bucket_width_(std::max(bucket_width, Duration{1})) {}

  // The sum of the bucket of `now`, to be added to. `now` must not lie before that of an earlier call.
  Sum& bucket_at(Timestamp now) {
    newest_ = number_at(now);
    Bucket& bucket = buckets_[static_cast<std::size_t>(newest_ % bucket_count)];
    if (std::exchange(bucket.number, newest_) != newest_) bucket.sum = Sum{};
    return bucket.sum;
  }

  // Over the bucket of `now` and the `newest_buckets - 1` before it.
  Sum total(Timestamp now, int newest_buckets = bucket_count) const {
    const std::int64_t before = number_at(now) - newest_buckets;
    if (newest_ <= before) return Sum{};
    // Only slots that can hold a bucket of that span.
    const std::int64_t oldest = std::max({before + 1, newest_ - bucket_count + 1, std::int64_t{0}});
    const std::int64_t first = oldest % bucket_count;
    const std::int64_t last = newest_ % bucket_count;
    if (first <= last) return with_slots(Sum{}, {.first = first, .last = last}, before);
    const Sum wrapped_around = with_slots(Sum{}, {.first = 0, .last = last}, before);
    return with_slots(wrapped_around, {.first = first, .last = bucket_count - 1}, before);
  }

 private:
  // The sum of one span of time.
  struct Bucket {
    std::int64_t number = 0;  // moment divided by the width
    Sum sum{};
  };

  // Neighbouring slots of the ring, both ends included.
  struct SlotRange {
    std::int64_t first = 0;
    std::int64_t last = 0;
  };

  std::int64_t number_at(Timestamp moment) const { return moment.time_since_epoch() / bucket_width_; }

  // The sum so far and the slots' buckets newer than `before`. Passed by value, which keeps it in registers.
  Sum with_slots(Sum sum, SlotRange range, std::int64_t before) const {
    for (std::int64_t slot = range.first; slot <= range.last; ++slot) {
      const Bucket& bucket = buckets_[static_cast<std::size_t>(slot)];
      if (bucket.number > before) sum += bucket.sum;
    }
    return sum;
  }

  Duration bucket_width_;
  std::int64_t newest_ = 0;  // number of the newest bucket
  std::array<Bucket, bucket_count> buckets_{};
};

}  // namespace rushhill::routing
