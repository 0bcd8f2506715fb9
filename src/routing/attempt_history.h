// What the attempts at one endpoint showed of late.
#pragma once

#include "routing/sliding_window.h"
#include "routing/time.h"

namespace rushhill::routing {

constexpr int history_buckets = 20;  // what an endpoint bears is steady over that
constexpr Duration history_bucket_width = one_second;
constexpr Duration history_span = history_buckets * history_bucket_width;

// Sums over the attempts that ended at an endpoint.
struct AttemptStatistics {
  double succeeded = 0;
  double judged = 0;    // attempts that went well or badly
  double bad = 0;       // of these: failed, or overdue
  double paced = 0;     // answers whose pace is known
  double pace_sum = 0;  // response times over the usual ones of their functions
  AttemptStatistics& operator+=(const AttemptStatistics& other) {
    succeeded += other.succeeded;
    judged += other.judged;
    bad += other.bad;
    paced += other.paced;
    pace_sum += other.pace_sum;
    return *this;
  }
};

// The statistics of one endpoint over the history span.
class AttemptHistory {
 public:
  void add_success(Timestamp now) { window_.bucket_at(now).succeeded += 1; }

  // An answer took that many times the usual response time of its function.
  void add_pace(Timestamp now, double times_usual) {
    AttemptStatistics& bucket = window_.bucket_at(now);
    bucket.paced += 1;
    bucket.pace_sum += times_usual;
  }

  void add_verdict(Timestamp now, bool bad) {
    AttemptStatistics& bucket = window_.bucket_at(now);
    bucket.judged += 1;
    bucket.bad += bad ? 1 : 0;
  }

  AttemptStatistics recent(Timestamp now, int newest_buckets) const {
    return window_.total(now, newest_buckets);
  }
  AttemptStatistics all(Timestamp now) const { return window_.total(now); }

  void clear() { window_ = Window{history_bucket_width}; }

 private:
  using Window = SlidingWindow<AttemptStatistics, history_buckets>;

  Window window_{history_bucket_width};
};

}  // namespace rushhill::routing
