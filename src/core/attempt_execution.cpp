#include "core/attempt_execution.h"

#include <string>

namespace rushhill::core {

void AttemptExecution::start(EventId id, const ServerId& server, Time timeout) {
  Request* request = env_.requests.find(id);
  if (request == nullptr) {
    env_.log.line(Level::error, "shot for an event that is not open", {{"server", server}});
    return;
  }
  const Time now = env_.clock.now();
  const int number = static_cast<int>(request->attempts.size());
  request->attempts.push_back({.server = server, .started = now});
  Attempt& attempt = request->attempts.back();
  if (request->concluded || now >= request->deadline || number >= attempt_cap_) {
    attempt.open = false;
    report_end_soon(id, *request, number, Ending::not_sent);
    return;
  }
  ++env_.tally.shots;
  if (timeout > 0) {
    attempt.timeout_timer =
        env_.clock.at(now + timeout, [this, id, number] { cancel_sent(id, number, Ending::no_answer); });
  }
  env_.carrier.shoot({.event = id,
                      .leg = number,
                      .server = server,
                      .left = request->deadline - now,
                      .message = request->message});
}

void AttemptExecution::cancel(EventId id, int number) {
  const Attempt* attempt = env_.requests.find_attempt(id, number);
  if (attempt != nullptr && attempt->open) cancel_sent(id, number, Ending::called_off);
}

void AttemptExecution::cancel_unsent(EventId id, Request& request) {
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const int number = static_cast<int>(i);
    if (!request.attempts[i].open) continue;
    if (env_.carrier.recall(id, number)) close_and_report(id, request, number, Ending::not_sent);
  }
}

void AttemptExecution::cancel_at_deadline(EventId id, Request& request) {
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (request.attempts[i].open) cancel_sent(id, static_cast<int>(i), Ending::no_answer);
  }
}

// Closes the attempt's connection now; the module hears of it when what it does now is done.
void AttemptExecution::cancel_sent(EventId id, int number, Ending ending) {
  env_.carrier.drop(id, number);
  close_and_report(id, env_.requests.at(id), number, ending);
}

void AttemptExecution::close_and_report(EventId id, Request& request, int number, Ending ending) {
  close(request.attempts[static_cast<std::size_t>(number)]);
  report_end_soon(id, request, number, ending);
}

void AttemptExecution::close(Attempt& attempt) {
  attempt.open = false;
  env_.clock.withdraw(attempt.timeout_timer);
}

void AttemptExecution::report_end_soon(EventId id, Request& request, int number, Ending ending) {
  ++request.deferred_calls;
  env_.deferred.run_soon([this, id, number, ending] {
    --env_.requests.at(id).deferred_calls;
    report_end(id, number, {.ending = ending});
  });
}

void AttemptExecution::report_end(EventId id, int number, const ShotResult& result) {
  const Request& request = env_.requests.at(id);
  const Attempt& attempt = request.attempts[static_cast<std::size_t>(number)];
  env_.tally.count_ending(result.ending);
  log_end(request, number, result.ending);
  const ShotEnd end{.event = id,
                    .leg = number,
                    .server = attempt.server,
                    .ending = result.ending,
                    .final = request.concluded,
                    .taken = env_.clock.now() - attempt.started,
                    .warmth = result.warmth,
                    .crowd = result.crowd,
                    .report = result.report};
  env_.decisions.run([&](Router& router, Time now) { router.shot_ended(now, end); });
  env_.requests.erase_if_over(id);
}

void AttemptExecution::log_end(const Request& request, int number, Ending ending) {
  if (!env_.log.wants(Level::debug)) return;
  const ServerId& server = request.attempts[static_cast<std::size_t>(number)].server;
  env_.log.line(Level::debug, "shot ended",
                {{"event", request.message.id},
                 {"leg", std::to_string(number)},
                 {"server", server},
                 {"ending", std::to_string(static_cast<int>(ending))}});
}

}  // namespace rushhill::core
