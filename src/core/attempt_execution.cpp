#include "core/attempt_execution.h"

#include <string>

namespace rushhill::core {

void AttemptExecution::start(RequestId id, const EndpointId& endpoint, const AttemptLimits& limits) {
  Request* request = env_.requests.find(id);
  if (request == nullptr) {
    env_.log.write(Level::error, "not sending an attempt for an unknown request", {{"server", endpoint}});
    return;
  }
  const Timestamp now = env_.clock.timestamp();
  const int number = static_cast<int>(request->attempts.size());
  request->attempts.push_back({.endpoint = endpoint, .started = now});
  Attempt& attempt = request->attempts.back();
  if (request->concluded || now >= request->deadline || number >= attempt_limit_) {
    attempt.open = false;
    report_end_soon(id, *request, number, AttemptOutcome::not_sent);
    return;
  }
  ++env_.counters.attempts;
  if (limits.timeout > Duration::zero()) {
    attempt.timeout_timer = env_.clock.at(to_ticks(now + limits.timeout), [this, id, number] {
      cancel_and_report(id, number, AttemptOutcome::unanswered);
    });
  }
  env_.upstream.send({.request = id,
                      .attempt_number = number,
                      .endpoint = endpoint,
                      .time_left = request->deadline - now,
                      .message = request->message,
                      .start_before = limits.start_before});
}

void AttemptExecution::cancel(RequestId id, int number) {
  const Attempt* attempt = env_.requests.find_attempt({.request = id, .number = number});
  if (attempt != nullptr && attempt->open) cancel_and_report(id, number, AttemptOutcome::cancelled);
}

void AttemptExecution::cancel_unsent(RequestId id, Request& request) {
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const int number = static_cast<int>(i);
    if (!request.attempts[i].open) continue;
    if (env_.upstream.cancel_unsent(id, number))
      close_and_report(id, request, number, AttemptOutcome::not_sent);
  }
}

void AttemptExecution::expire_attempts(RequestId id, Request& request) {
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (request.attempts[i].open) cancel_and_report(id, static_cast<int>(i), AttemptOutcome::unanswered);
  }
}

// Cancels the attempt at once and reports its end to the policy after the current call has returned.
void AttemptExecution::cancel_and_report(RequestId id, int number, AttemptOutcome outcome) {
  env_.upstream.cancel(id, number);
  close_and_report(id, env_.requests.at(id), number, outcome);
}

void AttemptExecution::close_and_report(RequestId id, Request& request, int number, AttemptOutcome outcome) {
  close(request.attempts[static_cast<std::size_t>(number)]);
  report_end_soon(id, request, number, outcome);
}

void AttemptExecution::close(Attempt& attempt) {
  attempt.open = false;
  env_.clock.cancel(attempt.timeout_timer);
}

void AttemptExecution::report_end_soon(RequestId id, Request& request, int number, AttemptOutcome outcome) {
  ++request.deferred_calls;
  env_.deferred.run_soon([this, id, number, outcome] {
    --env_.requests.at(id).deferred_calls;
    report_end(id, number, {.outcome = outcome});
  });
}

void AttemptExecution::report_end(RequestId id, int number, const AttemptResult& result) {
  const Request& request = env_.requests.at(id);
  const Attempt& attempt = request.attempts[static_cast<std::size_t>(number)];
  env_.counters.count_outcome(result.outcome);
  log_end(request, number, result.outcome);
  const AttemptEnd end{.request = id,
                       .attempt_number = number,
                       .endpoint = attempt.endpoint,
                       .outcome = result.outcome,
                       .final = request.concluded,
                       .taken = env_.clock.timestamp() - attempt.started,
                       .copy_state = result.copy_state,
                       .in_flight = result.in_flight,
                       .report = result.report};
  env_.policy.run([&](RoutingPolicy& policy, Timestamp now) { policy.attempt_ended(now, end); });
  env_.requests.erase_if_finished(id);
}

void AttemptExecution::log_end(const Request& request, int number, AttemptOutcome outcome) {
  if (!env_.log.should_log(Level::debug)) return;
  const EndpointId& endpoint = request.attempts[static_cast<std::size_t>(number)].endpoint;
  env_.log.write(Level::debug, "attempt ended",
                 {{"event", request.message.id},
                  {"leg", std::to_string(number)},
                  {"server", endpoint},
                  {"ending", std::to_string(static_cast<int>(outcome))}});
}

}  // namespace rushhill::core
