// Rule 1: every request gets one final answer in time, and nothing is done for it after that.
#include <algorithm>
#include <string>

#include "checker/rules.h"

namespace rushhill::checker {
namespace {

bool is_final(const std::string& outcome) {
  return outcome == "honoured" || outcome == "shed" || outcome == "abandoned";
}

std::string milliseconds(Ns span) { return std::to_string(span / millisecond); }

// A router that is stopped or killed answers nobody; what its clients see is no router's breach.
bool excused(const Request& request, const History& history) {
  if (request.submissions.empty()) return false;
  const Submission& last = request.submissions.back();
  return history.unavailable(last.router, {.from = last.sent, .to = request.ended});
}

// A router's time for a message runs from when the broker last handed it over.
void check_delivery(const Request& request, const Day& day, Verdict& verdict, Finding& rule) {
  const auto deliveries = day.history.deliveries.find(request.id);
  if (!request.by_broker || deliveries == day.history.deliveries.end()) return;
  const Ns taken = request.ended - *std::ranges::max_element(deliveries->second);
  rule.check(taken <= day.rules.request_class(request.type).deadline_span,
             request.id + " was answered " + milliseconds(taken) + " ms after the broker sent it");
  verdict.redelivered += deliveries->second.size() > 1 ? 1 : 0;
}

// Of a request sent to one router more than once, the attempts there may be another submission's.
void check_attempts_after_answer(const Request& request, const History& history, Finding& rule) {
  if (request.submissions.empty()) return;
  const int router = request.submissions.back().router;
  if (request.submissions_to(router) > 1) return;
  for (const Attempt& attempt : history.attempts_of(request.id)) {
    if (attempt.router != router) continue;
    rule.check(attempt.at <= request.ended + transit,
               request.id + " was shot at " + attempt.server + " after its answer");
  }
}

void check_request(const Request& request, const Day& day, Verdict& verdict, Finding& rule) {
  if (excused(request, day.history)) {
    ++verdict.excused;
    return;
  }
  const bool final = is_final(request.outcome);
  rule.check(final, request.id + " ended as " + request.outcome);
  if (final) {
    const Ns taken = request.ended - request.sent;
    rule.check(taken <= request.limit,
               request.id + " was answered " + milliseconds(taken) + " ms after it was sent");
    check_delivery(request, day, verdict, rule);
  }
  check_attempts_after_answer(request, day.history, rule);
}

}  // namespace

void check_final_answers(const Day& day, Verdict& verdict) {
  Finding& rule = verdict.rules["1 one final answer"];
  std::map<std::string, int> ends;
  for (const Request& request : day.history.requests) {
    ++verdict.outcomes[request.outcome];
    ++ends[request.id];
    check_request(request, day, verdict, rule);
  }
  for (const std::string& id : day.history.extras) rule.check(false, "more came after the answer to " + id);
  for (const auto& [id, times] : ends)
    rule.check(times == 1, id + " ended " + std::to_string(times) + " times");
  rule.check(
      static_cast<std::int64_t>(ends.size()) == day.rules.expected_requests,
      std::to_string(ends.size()) + " of " + std::to_string(day.rules.expected_requests) + " events ended");
  verdict.events = static_cast<std::int64_t>(day.history.requests.size());
}

}  // namespace rushhill::checker
