// A sum over the recent past.
//
// Time is divided into buckets of equal width. Each value is added to the bucket of its time, and a total
// covers the newest buckets. The window is therefore exact to one bucket and needs constant memory. It is
// used for the windows of paces and failures (docs/design.md, "What changed for size") and for the load
// budget (rule 5).
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "routing/time.h"

namespace rushhill::routing {

// `Sum` needs a default value of zero and operator+=. A total adds the buckets in the order of the ring's
// slots, not of time. Floating-point sums depend on the order, and all routers must compute the same totals.
template <typename Sum, int bucket_count>
class SlidingWindow {
 public:
  explicit SlidingWindow(Duration bucket_width) : bucket_width_(std::max(bucket_width, Duration{1})) {}

  // Returns the sum of the bucket of `now`, for values to be added to it. `now` must not be earlier than in a
  // previous call.
  Sum& bucket_at(Timestamp now) {
    newest_ = bucket_number(now);
    Bucket& bucket = buckets_[static_cast<std::size_t>(newest_ % bucket_count)];
    if (std::exchange(bucket.number, newest_) != newest_) bucket.sum = Sum{};
    return bucket.sum;
  }

  // The total of the bucket of `now` and of the `newest_buckets - 1` buckets before it.
  Sum total(Timestamp now, int newest_buckets = bucket_count) const {
    const std::int64_t before = bucket_number(now) - newest_buckets;
    if (newest_ <= before) return Sum{};
    // Visits only slots that can hold a bucket of that span.
    const std::int64_t oldest = std::max({before + 1, newest_ - bucket_count + 1, std::int64_t{0}});
    const std::int64_t first = oldest % bucket_count;
    const std::int64_t last = newest_ % bucket_count;
    if (first <= last) return add_slots(Sum{}, {.first = first, .last = last}, before);
    const Sum wrapped_around = add_slots(Sum{}, {.first = 0, .last = last}, before);
    return add_slots(wrapped_around, {.first = first, .last = bucket_count - 1}, before);
  }

 private:
  // The sum of one bucket's span of time.
  struct Bucket {
    std::int64_t number = 0;  // its time divided by the bucket width
    Sum sum{};
  };

  // Adjacent slots of the ring, both ends included.
  struct SlotRange {
    std::int64_t first = 0;
    std::int64_t last = 0;
  };

  std::int64_t bucket_number(Timestamp time) const { return time.time_since_epoch() / bucket_width_; }

  // Returns `sum` plus the buckets in the slots that are newer than `before`. It is passed by value so that
  // it stays in registers.
  Sum add_slots(Sum sum, SlotRange range, std::int64_t before) const {
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
