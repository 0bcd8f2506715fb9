#include "routing/retry_policy.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp now{100 * one_second};

class RetryPolicyTest : public ::testing::Test {
 protected:
  RetryPolicyTest() {
    configuration.retries.attempt_limit = 3;
    configuration.retries.cancel_attempts = true;
    for (const char* id : {"a", "b", "c"}) {
      endpoints.update({.id = id, .location = *id < 'c' ? "left" : "right", .cell = *id});
    }
    tracked.class_estimate = &class_estimate;
    tracked.answer_deadline = now + 10 * one_second;
  }
  RequestClass& request_class() { return class_estimate.request_class; }
  EstimateKey key() { return {.request_class = class_estimate, .function = function}; }
  void add_ended(AttemptOutcome outcome, Timestamp sent = now) {
    tracked.attempts.push_back({.endpoint = "a", .sent = sent});
    tracked.attempts.back().end(outcome);
  }
  bool may_attempt(const EndpointId& id) const {
    return retries.may_attempt(now, tracked) && retries.may_attempt_at(now, tracked, endpoints.at(id));
  }

  static RoutingConfiguration with_tick() {
    RoutingConfiguration configuration;
    configuration.tick = Duration{40};
    return configuration;
  }

  RoutingConfiguration configuration = with_tick();
  EndpointTable endpoints;
  ObservationWindow observation;
  LatencyEstimates estimates{{}, observation};
  RetryPolicy retries{configuration, endpoints, estimates};
  ClassEstimate class_estimate{.request_class = {.latency_objective = one_second},
                               .response_time = FractionalDuration{100}};
  FunctionTimes function;
  TrackedRequest tracked;
};

TEST_F(RetryPolicyTest, AllowsNoAttemptAfterTheAnswerOrTheDeadline) {
  EXPECT_TRUE(may_attempt("a"));
  tracked.done = true;
  EXPECT_FALSE(may_attempt("a"));
  tracked.done = false;
  tracked.streaming_attempt = 0;
  EXPECT_FALSE(may_attempt("a"));
  tracked.streaming_attempt = TrackedRequest::no_attempt;
  tracked.answer_deadline = now;
  EXPECT_FALSE(may_attempt("a"));
}

TEST_F(RetryPolicyTest, LimitsTheNumberOfAttempts) {
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(may_attempt("b"));
    add_ended(AttemptOutcome::overloaded);
  }
  EXPECT_FALSE(may_attempt("b"));
}

TEST_F(RetryPolicyTest, SecondAttemptBesideAnOpenOneNeedsHedging) {
  tracked.attempts.push_back({.endpoint = "a"});
  EXPECT_FALSE(may_attempt("b"));
  configuration.retries.hedging = true;
  EXPECT_TRUE(may_attempt("b"));
}

TEST_F(RetryPolicyTest, RetriesAnAtMostOnceRequestOnlyIfItNeverRan) {
  request_class().retry_safety = RetrySafety::at_most_once;
  add_ended(AttemptOutcome::overloaded);
  EXPECT_TRUE(may_attempt("b"));
  EXPECT_TRUE(RetryPolicy::may_reject(tracked));
  add_ended(AttemptOutcome::error);
  EXPECT_FALSE(may_attempt("b"));
  EXPECT_FALSE(RetryPolicy::may_reject(tracked));
}

TEST_F(RetryPolicyTest, RetriesAKeyedRequestOnlyWithinItsScope) {
  request_class().retry_safety = RetrySafety::keyed;
  request_class().deduplication_span = 10 * one_second;
  add_ended(AttemptOutcome::connection_lost);
  request_class().deduplication_scope = DeduplicationScope::everywhere;
  EXPECT_TRUE(may_attempt("b") && may_attempt("c"));
  EXPECT_TRUE(RetryPolicy::may_reject(tracked));
  request_class().deduplication_scope = DeduplicationScope::location;
  EXPECT_TRUE(may_attempt("b"));
  EXPECT_FALSE(may_attempt("c"));
  EXPECT_FALSE(RetryPolicy::may_reject(tracked));
  request_class().deduplication_scope = DeduplicationScope::cell;
  EXPECT_TRUE(may_attempt("a"));
  EXPECT_FALSE(may_attempt("b"));
}

TEST_F(RetryPolicyTest, RetriesAKeyedRequestOnlyWhileItsKeyIsRemembered) {
  request_class().retry_safety = RetrySafety::keyed;
  request_class().deduplication_span = one_second;
  add_ended(AttemptOutcome::error, now - one_second + Duration{41});
  EXPECT_TRUE(may_attempt("a"));
  tracked.attempts.back().sent -= Duration{1};
  EXPECT_FALSE(may_attempt("a"));
}

TEST_F(RetryPolicyTest, OverdueDelayIsSixResponseTimesAndTheLoadsAndShorterAtAnEjectedEndpoint) {
  function.set_load_time(Duration{1'000});
  const Attempt cold{.endpoint = "a"};
  const Attempt warm{.endpoint = "a", .copy_confirmed = true};
  EndpointRecord& record = endpoints.at("a");
  EXPECT_EQ(retries.overdue_delay(key(), cold, record), Duration{600 + 2 * 1'000 + 2 * 40});
  EXPECT_EQ(retries.overdue_delay(key(), warm, record), Duration{600 + 1'000 + 2 * 40});
  OutlierDetection outliers(observation);
  outliers.observe_fleet({.serving = 3});
  while (!record.outlier.ejected()) outliers.record_attempt(now, true, record.outlier, record.history);
  EXPECT_EQ(retries.overdue_delay(key(), warm, record), Duration{300 + 2 * 40});
}

TEST_F(RetryPolicyTest, AttemptIsOverdueOnceItsOverdueDelayHasPassed) {
  const EndpointRecord& record = endpoints.at("a");
  const Attempt attempt{.endpoint = "a", .sent = now, .copy_confirmed = true};
  const Timestamp overdue_at = now + retries.overdue_delay(key(), attempt, record);
  EXPECT_FALSE(retries.is_overdue(overdue_at - Duration{1}, key(), attempt, record));
  EXPECT_TRUE(retries.is_overdue(overdue_at, key(), attempt, record));
}

TEST_F(RetryPolicyTest, AttemptIsLongRunningAfterHalfAResponseTime) {
  const Attempt attempt{.endpoint = "a", .sent = now};
  EXPECT_FALSE(retries.is_long_running(now + Duration{50}, key(), attempt));
  EXPECT_TRUE(retries.is_long_running(now + Duration{51}, key(), attempt));
}

TEST_F(RetryPolicyTest, HedgesOrCancelsAnOverdueAttemptAsConfigured) {
  tracked.attempts.push_back({.endpoint = "a"});
  EXPECT_EQ(retries.overdue_action(tracked), OverdueAction::cancel);
  configuration.retries.hedging = true;
  EXPECT_EQ(retries.overdue_action(tracked), OverdueAction::hedge);
  configuration.retries.hedging = configuration.retries.cancel_attempts = false;
  EXPECT_EQ(retries.overdue_action(tracked), OverdueAction::none);
}

TEST_F(RetryPolicyTest, LeavesAnOverdueAttemptIfARetryMayRepeatItsEffect) {
  request_class().retry_safety = RetrySafety::at_most_once;
  EXPECT_EQ(retries.overdue_action(tracked), OverdueAction::none);
  request_class().retry_safety = RetrySafety::keyed;
  EXPECT_EQ(retries.overdue_action(tracked), OverdueAction::cancel);
  request_class().deduplication_scope = DeduplicationScope::location;
  EXPECT_EQ(retries.overdue_action(tracked), OverdueAction::none);
}

// Guards against a further attempt that is chosen in time and leaves too late.
TEST_F(RetryPolicyTest, AttemptOfAKeyedRequestStartsBeforeTheKeyOfAnEarlierOneIsForgotten) {
  request_class().retry_safety = RetrySafety::keyed;
  request_class().deduplication_span = 5 * one_second;
  EXPECT_EQ(retries.start_before(tracked), Timestamp::max());
  add_ended(AttemptOutcome::not_sent, now - 3 * one_second);
  EXPECT_EQ(retries.start_before(tracked), Timestamp::max()) << "it has not run";
  add_ended(AttemptOutcome::error, now - one_second);
  add_ended(AttemptOutcome::error, now);
  const Timestamp start_before = retries.start_before(tracked);
  EXPECT_EQ(start_before, now + 4 * one_second - configuration.tick);
  EXPECT_TRUE(retries.may_attempt_at(start_before - Duration{1}, tracked, endpoints.at("b")));
  EXPECT_FALSE(retries.may_attempt_at(start_before, tracked, endpoints.at("b")));
  request_class().retry_safety = RetrySafety::idempotent;
  EXPECT_EQ(retries.start_before(tracked), Timestamp::max());
}

TEST_F(RetryPolicyTest, OverdueBudgetIsSpentByOverdueAttemptsAndEarnedBySuccesses) {
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(retries.overdue_action(tracked), OverdueAction::cancel);
    retries.spend_overdue_budget();
  }
  EXPECT_EQ(retries.overdue_action(tracked), OverdueAction::none);
  for (int i = 0; i < 11; ++i) retries.attempt_succeeded();
  EXPECT_EQ(retries.overdue_action(tracked), OverdueAction::cancel);
}

}  // namespace
}  // namespace rushhill::routing
