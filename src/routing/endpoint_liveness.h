// Tracks whether an endpoint's process is alive and whether the router backs off from it (docs/design.md,
// "Signs of death").
#pragma once

#include <utility>

#include "routing/time.h"

namespace rushhill::routing {

// When an attempt was sent and answered.
struct AnsweredAttempt {
  Timestamp sent{};
  Timestamp answered{};
};

// The liveness of one endpoint: restarts, lost connections, unanswered attempts, and backoff after rejections
// and connect timeouts.
class EndpointLiveness {
 public:
  // When this router last concluded that the process had died. A process that answers later has started since
  // then. Default value: never.
  Timestamp restarted_at() const { return restarted_at_; }
  void process_died(Timestamp now) { restarted_at_ = now; }
  void forget_restart() { restarted_at_ = Timestamp{}; }

  // Counts a connection that was lost or refused, at this router or at a peer. Returns whether the number of
  // losses since the last answer shows that the process has died. With gossip, the count starts again when
  // more than a second has passed since the previous loss.
  bool record_lost_connection(Timestamp now, bool gossip_enabled);
  // Whether the endpoint answered within the last second.
  bool answered_recently(Timestamp now) const;

  // Records that the peers already know of the endpoint's death.
  void record_peer_announcement(Timestamp now) { death_noticed_at_ = now; }
  // Records a death that this router detected. Returns whether to announce it to the peers: they are not
  // notified if a death was announced or detected less than a second ago.
  bool should_announce_death(Timestamp now) {
    return now - std::exchange(death_noticed_at_, now) >= one_second;
  }

  void attempt_sent(Timestamp now) {
    if (awaiting_since_ == Timestamp{}) awaiting_since_ = now;
  }
  // `answered`: the endpoint sent an answer or closed the connection. `open_attempts`: the number of attempts
  // that are still open at the endpoint.
  void attempt_ended(Timestamp now, bool answered, int open_attempts) {
    if (open_attempts == 0) {
      awaiting_since_ = Timestamp{};
    } else if (answered) {
      awaiting_since_ = now;
    }
  }
  // Since when open attempts have been waiting without any answer from the endpoint. Default value: no
  // attempt is open.
  Timestamp awaiting_since() const { return awaiting_since_; }
  // Records that the endpoint answered, which resets the counts of lost connections and connect timeouts.
  void answer_received(Timestamp now);

  bool backing_off(Timestamp now) const { return now < backoff_until_; }
  // Whether requests for which the endpoint would have to load a copy should go elsewhere.
  bool loads_backing_off(Timestamp now) const { return now < loads_backoff_until_; }
  // Ends the backoff. Also withdraws a presumed restart if the attempt was sent before it and answered more
  // than `tick` after it.
  void request_succeeded(const AnsweredAttempt& attempt, Duration tick);
  // Several rejections in a row start a backoff. `response_time`: the mean of the request's class, which is
  // the first pause.
  void request_rejected(Timestamp now, FractionalDuration response_time);
  void back_off_loads(Timestamp now, Duration span) { loads_backoff_until_ = now + span; }
  void connect_timed_out(Timestamp now);

 private:
  Timestamp restarted_at_{};
  Timestamp connection_lost_at_{};  // the last loss, at this router or at a peer
  Timestamp answered_at_{};
  Timestamp death_noticed_at_{};  // the last death that was announced by a peer or detected here
  Timestamp awaiting_since_{};
  Timestamp backoff_until_{};
  Timestamp loads_backoff_until_{};
  int connections_lost_ = 0;  // since the last answer
  int connect_timeouts_ = 0;  // since the last answer
  int rejections_ = 0;        // in a row
};

}  // namespace rushhill::routing
