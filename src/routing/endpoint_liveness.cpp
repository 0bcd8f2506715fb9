#include "routing/endpoint_liveness.h"

#include <algorithm>
#include <cmath>

namespace rushhill::routing {
namespace {

// In a row. A process that dies loses all its connections.
constexpr int lost_connections_until_death = 3;
// In a row. An overloaded endpoint still serves some requests in between.
constexpr int rejections_until_backoff = 3;
constexpr int max_backoff_doublings = 6;
// A draining endpoint leaves the endpoint list soon anyway.
constexpr Duration max_rejection_backoff = one_second;
constexpr int max_timeout_doublings = 3;
// An endpoint that can be reached again is noticed within this time.
constexpr Duration max_timeout_backoff = 8 * one_second;
constexpr Duration recent_window = one_second;

}  // namespace

bool EndpointLiveness::record_lost_connection(Timestamp now, bool gossip_enabled) {
  const Duration since_last = now - std::exchange(connection_lost_at_, now);
  if (since_last > recent_window && gossip_enabled) connections_lost_ = 0;
  ++connections_lost_;
  return connections_lost_ >= lost_connections_until_death;
}

bool EndpointLiveness::answered_recently(Timestamp now) const {
  return answered_at_ != Timestamp{} && now - answered_at_ <= recent_window;
}

void EndpointLiveness::answer_received(Timestamp now) {
  connections_lost_ = 0;
  connect_timeouts_ = 0;
  answered_at_ = now;
}

// A process that dies loses its open requests. An answer to a request that was sent before the presumed death
// therefore shows that the process survived, unless the answer may have been in transit at that moment.
void EndpointLiveness::request_succeeded(const AnsweredAttempt& attempt, Duration tick) {
  rejections_ = 0;
  backoff_until_ = Timestamp{};
  if (attempt.sent < restarted_at_ && attempt.answered - restarted_at_ > tick) forget_restart();
}

// An endpoint that rejects every request is draining or temporarily full. It is tried again after pauses that
// double with each rejection.
void EndpointLiveness::request_rejected(Timestamp now, FractionalDuration response_time) {
  ++rejections_;
  const int doublings = std::min(rejections_ - rejections_until_backoff, max_backoff_doublings);
  if (doublings < 0) return;
  const Duration pause{static_cast<Duration::rep>(std::ldexp(response_time.count(), doublings))};
  backoff_until_ = now + std::min(pause, max_rejection_backoff);
}

void EndpointLiveness::connect_timed_out(Timestamp now) {
  const int doublings = std::min(connect_timeouts_, max_timeout_doublings);
  ++connect_timeouts_;
  backoff_until_ = now + std::min(one_second * (1 << doublings), max_timeout_backoff);
}

}  // namespace rushhill::routing
