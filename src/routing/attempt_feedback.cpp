#include "routing/attempt_feedback.h"

namespace rushhill::routing {
namespace {

// An attempt counts as slow if it takes longer than three quarters of its latency objective.
constexpr int slow_numerator = 3;
constexpr int slow_denominator = 4;
// Backoff of loads after a rejection, in load times: loads may be what fills the endpoint.
constexpr double load_backoff_factor = 0.5;

bool ended_by_this_router(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::cancelled || outcome == AttemptOutcome::not_sent;
}

}  // namespace

void AttemptFeedback::attempt_ended(Timestamp now, const TrackedRequest& tracked, Attempt& attempt,
                                    const AttemptEnd& end) {
  EndpointRecord& endpoint = parts_.endpoints.at(attempt.endpoint);
  FunctionRecord& function = parts_.functions.at(tracked.request.function);
  const EndedAttempt ended{.tracked = tracked,
                           .attempt = attempt,
                           .end = end,
                           .endpoint = endpoint,
                           .function = function,
                           .copy = function.copies.at(attempt.endpoint),
                           .found_copy = found_copy(attempt, end)};
  update_in_flight(now, ended);
  if (end.outcome == AttemptOutcome::succeeded) {
    record_success(now, ended);
  } else if (end.outcome == AttemptOutcome::overloaded) {
    record_rejection(now, ended);
  } else if (end.copy_state == CopyState::load_failed || end.outcome == AttemptOutcome::function_missing) {
    ended.copy.mark_missing();
  }
  monitor_.contact_ended(now, {.outcome = end.outcome, .taken = end.taken}, endpoint);
  monitor_.load_reported(now, end.report, endpoint);
  record_overload_signal(now, ended);
  if (ended_by_this_router(end.outcome) || end.outcome == AttemptOutcome::overloaded) return;
  const bool bad =
      end.outcome != AttemptOutcome::succeeded && end.outcome != AttemptOutcome::function_missing;
  monitor_.judge_attempt(now, bad, attempt, endpoint);
}

void AttemptFeedback::update_in_flight(Timestamp now, const EndedAttempt& ended) {
  ended.endpoint.in_flight.ended();
  ended.copy.attempt_ended();
  const AttemptOutcome outcome = ended.end.outcome;
  const bool answered = !ended_by_this_router(outcome) && outcome != AttemptOutcome::unanswered &&
                        outcome != AttemptOutcome::connect_failed;
  ended.endpoint.liveness.attempt_ended(now, answered, ended.endpoint.in_flight.open());
}

void AttemptFeedback::record_success(Timestamp now, const EndedAttempt& ended) {
  ended.copy.confirm(now);
  ended.endpoint.history.add_success(now);
  ended.endpoint.liveness.request_succeeded({.sent = ended.attempt.sent, .answered = now},
                                            parts_.configuration.tick);
  parts_.retries.attempt_succeeded();
  record_times(now, ended);
  const LatencyEstimates& estimates = parts_.estimates;
  const FractionalDuration load =
      ended.found_copy ? FractionalDuration::zero() : estimates.load_time(ended.key());
  parts_.overload.attempt_succeeded(now, estimates.no_load_response_time(ended.key()) + load);
}

void AttemptFeedback::record_times(Timestamp now, const EndedAttempt& ended) {
  if (ended.found_copy) {
    const double pace =
        parts_.estimates.answered(*ended.tracked.class_estimate, ended.function.times, ended.end.taken);
    ended.endpoint.history.add_pace(now, pace);
    return;
  }
  const bool other_load_awaited =
      parts_.configuration.copies.state_is_reported && ended.end.copy_state != CopyState::load_started;
  if (!other_load_awaited) parts_.estimates.record_answer_after_load(ended.key(), ended.end.taken);
}

// The endpoint is full, or it is draining and the endpoint list does not say so yet, so placement prefers it
// for fewer functions. The cause may also be too many loads from a slow store. Requests that need a load are
// therefore held back, while the copies that are loaded still serve.
void AttemptFeedback::record_rejection(Timestamp now, const EndedAttempt& ended) {
  constexpr double max_excess = 1;
  ended.endpoint.placement_weight.observe(max_excess, parts_.observation.interval_share());
  const FractionalDuration backoff = parts_.estimates.load_time(ended.key()) * load_backoff_factor;
  ended.endpoint.liveness.back_off_loads(now, std::chrono::duration_cast<Duration>(backoff));
  ended.endpoint.liveness.request_rejected(now, ended.tracked.class_estimate->response_time);
}

void AttemptFeedback::record_overload_signal(Timestamp now, const EndedAttempt& ended) {
  const bool state_is_reported = parts_.configuration.copies.state_is_reported;
  const bool rejected = ended.end.outcome == AttemptOutcome::overloaded;
  const bool copy_answered = state_is_reported ? ended.end.copy_state == CopyState::loaded
                                               : ended.end.outcome == AttemptOutcome::succeeded;
  if (!copy_answered && !(rejected && ended.attempt.copy_confirmed)) return;
  const Duration objective = ended.tracked.request_class().latency_objective;
  const bool slow = slow_denominator * ended.end.taken > slow_numerator * objective;
  parts_.overload.record_attempt_at_loaded_copy(now, ended.tracked.request.tenant, rejected || slow);
}

bool AttemptFeedback::found_copy(const Attempt& attempt, const AttemptEnd& end) const {
  return parts_.configuration.copies.state_is_reported ? end.copy_state == CopyState::loaded
                                                       : attempt.copy_confirmed;
}

}  // namespace rushhill::routing
