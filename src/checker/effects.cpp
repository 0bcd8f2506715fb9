// Rule 2: no effect twice. What may have run is repeated only where that is harmless.
#include <algorithm>
#include <string>
#include <vector>

#include "checker/rules.h"

namespace rushhill::checker {
namespace {

constexpr Ns side_by_side = 20 * millisecond;  // ends seen by one process in one iteration come in any order
constexpr const char* idempotent = "reissuable";
constexpr const char* keyed = "numbered";
constexpr const char* at_most_once = "at-most-once";
constexpr const char* everywhere = "all";

// Two attempts of one request.
struct AttemptPair {
  const Attempt& earlier;
  const Attempt& later;
};

bool same_group(const std::string& group, const AttemptPair& pair, const DayRules& rules) {
  if (group == everywhere) return true;
  const auto earlier = rules.servers.find(pair.earlier.server);
  const auto later = rules.servers.find(pair.later.server);
  if (earlier == rules.servers.end() || later == rules.servers.end()) return false;
  return group == "location" ? earlier->second.location == later->second.location
                             : earlier->second.cell == later->second.cell;
}

void check_pair(const Request& request, const AttemptPair& pair, const DayRules& rules, Finding& rule) {
  const auto& [earlier, later] = pair;
  if (!rules.hedging && earlier.router == later.router)
    rule.check(later.at >= earlier.ended - side_by_side,
               request.id + " was at " + earlier.server + " and " + later.server + " at once");
  const RequestClass& request_class = rules.request_class(request.type);
  if (!earlier.may_have_run() || request_class.effect == idempotent) return;
  if (request_class.effect == at_most_once) {
    rule.check(false, request.id + " was shot again after " + earlier.server + " may have run it");
    return;
  }
  rule.check(same_group(request_class.group, pair, rules),
             request.id + " went from " + earlier.server + " to " + later.server + " outside its group");
  rule.check(later.at - earlier.at <= request_class.deduplication_span + transit,
             request.id + " was sent again after its memory span");
}

void check_runs(const Request& request, const Day& day, Verdict& verdict, Finding& rule) {
  if (day.rules.request_class(request.type).effect == idempotent) return;
  const auto runs = day.history.runs.find(request.id);
  const bool ran_twice = runs != day.history.runs.end() && runs->second > 1;
  rule.check(!ran_twice, request.id + " ran more than once");
  if (request.submissions.size() <= 1) return;
  ++verdict.sent_again;
  verdict.ran_twice += ran_twice ? 1 : 0;
}

void check_attempts(const Request& request, const std::vector<Attempt>& attempts, const DayRules& rules,
                    Finding& rule) {
  if (attempts.empty()) return;
  int of_last_router = 0;
  for (std::size_t later = 0; later < attempts.size(); ++later) {
    of_last_router += attempts[later].router == attempts.back().router ? 1 : 0;
    for (std::size_t earlier = 0; earlier < later; ++earlier)
      check_pair(request, {.earlier = attempts[earlier], .later = attempts[later]}, rules, rule);
  }
  // A request that was sent to a router more than once may have been tried there as often each time.
  const auto copies = std::max<std::int64_t>(request.submissions_to(attempts.back().router), 1);
  rule.check(of_last_router <= copies * rules.attempt_limit,
             request.id + " had " + std::to_string(of_last_router) + " shots");
}

// Whether a request's last answer can have known of the attempt. Each router's answer speaks for its own
// attempts. If the request was sent to that router more than once, another copy may begin after the answer.
bool answer_covers(const Request& request, const Attempt& attempt) {
  if (request.submissions.size() < 2) return true;
  const int router = request.submissions.back().router;
  if (attempt.router != router) return false;
  return request.submissions_to(router) < 2 || attempt.at <= request.ended + transit;
}

// A request that was shed is promised not to have run.
void check_shed(const Request& request, const std::vector<Attempt>& attempts, const DayRules& rules,
                Finding& rule) {
  if (request.outcome != "shed") return;
  const bool may_have_run = std::ranges::any_of(attempts, [&](const Attempt& attempt) {
    return attempt.may_have_run() && answer_covers(request, attempt);
  });
  const RequestClass& request_class = rules.request_class(request.type);
  const bool harmless = request_class.effect == idempotent ||
                        (request_class.effect == keyed && request_class.group == everywhere);
  rule.check(harmless || !may_have_run, request.id + " was shed though it may have run");
}

}  // namespace

void check_effects(const Day& day, Verdict& verdict) {
  Finding& rule = verdict.rules["2 no effect twice"];
  for (const Request& request : day.history.requests) {
    const std::vector<Attempt>& attempts = day.history.attempts_of(request.id);
    check_runs(request, day, verdict, rule);
    check_attempts(request, attempts, day.rules, rule);
    check_shed(request, attempts, day.rules, rule);
  }
}

}  // namespace rushhill::checker
