// Whether an endpoint's process lives, and whether it is to be left alone for a while (docs/design.md, "Signs
// of death").
#pragma once

#include <utility>

#include "routing/time.h"

namespace rushhill::routing {

// When an attempt was sent and answered.
struct AnsweredAttempt {
  Timestamp sent{};
  Timestamp answered{};
};

// One endpoint's signs of life: lost connections, silence, restarts, and the backoff after rejections.
class EndpointLiveness {
 public:
  // Signs of a restart.
  // The last sign that the process died: what answers since then has just started. Default: none.
  Timestamp restarted_at() const { return restarted_at_; }
  void process_died(Timestamp now) { restarted_at_ = now; }
  void forget_restart() { restarted_at_ = Timestamp{}; }

  // A connection was lost, here or at a peer. Returns whether so many were lost that the process has died;
  // where peers tell of theirs, only those within a second of each other count.
  bool connection_lost(Timestamp now, bool peers_tell);
  bool answered_just_now(Timestamp now) const;

  // What peers know.
  void peer_announced(Timestamp now) { death_noted_at_ = now; }
  // Whether peers have to be told of a death; they are told once a second at most.
  bool announce_death(Timestamp now) { return now - std::exchange(death_noted_at_, now) >= one_second; }

  // Silence.
  void attempt_sent(Timestamp now) {
    if (awaiting_since_ == Timestamp{}) awaiting_since_ = now;
  }
  // `answered`: the endpoint was heard. `open_attempts`: how many are still there.
  void attempt_ended(Timestamp now, bool answered, int open_attempts) {
    if (open_attempts == 0) {
      awaiting_since_ = Timestamp{};
    } else if (answered) {
      awaiting_since_ = now;
    }
  }
  // The first send after the last answer; default: no attempt is there.
  Timestamp awaiting_since() const { return awaiting_since_; }
  // Something was answered on a connection.
  void contact_made(Timestamp now);

  // Backoff.
  bool backing_off(Timestamp now) const { return now < backoff_until_; }
  // Whether it is spared requests for which it would have to load a copy.
  bool loads_backing_off(Timestamp now) const { return now < loads_backoff_until_; }
  void request_succeeded(const AnsweredAttempt& attempt, Duration tick);
  // `response_time`: the usual one of the request's class. Several rejections in a row start a backoff.
  void request_rejected(Timestamp now, FractionalDuration response_time);
  void spare_loads(Timestamp now, Duration span) { loads_backoff_until_ = now + span; }
  void connect_timed_out(Timestamp now);

 private:
  Timestamp restarted_at_{};
  Timestamp connection_lost_at_{};  // the last one, here or at a peer
  Timestamp answered_at_{};
  Timestamp death_noted_at_{};  // when peers last told of its death or were told
  Timestamp awaiting_since_{};
  Timestamp backoff_until_{};
  Timestamp loads_backoff_until_{};
  int connections_lost_ = 0;  // since anything was answered
  int connect_timeouts_ = 0;  // likewise
  int rejections_ = 0;        // in a row
};

}  // namespace rushhill::routing
