#include "routing/endpoint_liveness.h"

#include <algorithm>
#include <cmath>

namespace rushhill::routing {
namespace {

constexpr int lost_connections_of_death = 3;  // in a row; a process that dies loses all it has
constexpr int rejections_of_backoff = 3;      // in a row; a full endpoint still serves some between
constexpr int most_backoff_doublings = 6;     // after rejections
constexpr Duration longest_rejection_backoff = one_second;  // a draining endpoint leaves the list soon
constexpr int most_timeout_doublings = 3;                   // after connections that never came up
constexpr Duration longest_timeout_backoff =
    8 * one_second;  // an endpoint that is back is noticed within that
constexpr Duration just_now = one_second;

}  // namespace

bool EndpointLiveness::connection_lost(Timestamp now, bool peers_tell) {
  const Duration since_last = now - std::exchange(connection_lost_at_, now);
  if (since_last > just_now && peers_tell) connections_lost_ = 0;
  ++connections_lost_;
  return connections_lost_ >= lost_connections_of_death;
}

bool EndpointLiveness::answered_just_now(Timestamp now) const {
  return answered_at_ != Timestamp{} && now - answered_at_ <= just_now;
}

void EndpointLiveness::contact_made(Timestamp now) {
  connections_lost_ = 0;
  connect_timeouts_ = 0;
  answered_at_ = now;
}

// A process that dies takes along all that it has in hand: what it took before its supposed death and answers
// now tells that it lived. What was on its way at that moment does not.
void EndpointLiveness::request_succeeded(const AnsweredAttempt& attempt, Duration tick) {
  rejections_ = 0;
  backoff_until_ = Timestamp{};
  if (attempt.sent < restarted_at_ && attempt.answered - restarted_at_ > tick) forget_restart();
}

// An endpoint that rejects all drains, or is full for a while: it is asked again after doubling pauses.
void EndpointLiveness::request_rejected(Timestamp now, FractionalDuration response_time) {
  ++rejections_;
  const int doublings = std::min(rejections_ - rejections_of_backoff, most_backoff_doublings);
  if (doublings < 0) return;
  const Duration pause{static_cast<Duration::rep>(std::ldexp(response_time.count(), doublings))};
  backoff_until_ = now + std::min(pause, longest_rejection_backoff);
}

void EndpointLiveness::connect_timed_out(Timestamp now) {
  const int doublings = std::min(connect_timeouts_, most_timeout_doublings);
  ++connect_timeouts_;
  backoff_until_ = now + std::min(one_second * (1 << doublings), longest_timeout_backoff);
}

}  // namespace rushhill::routing
