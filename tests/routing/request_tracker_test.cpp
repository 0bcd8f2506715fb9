#include "routing/request_tracker.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

TEST(Attempt, MayHaveRunUnlessItsOutcomeRulesThatOut) {
  for (const AttemptOutcome outcome : {AttemptOutcome::overloaded, AttemptOutcome::connect_failed,
                                       AttemptOutcome::not_sent, AttemptOutcome::function_missing}) {
    Attempt attempt;
    attempt.end(outcome);
    EXPECT_FALSE(attempt.open);
    EXPECT_FALSE(attempt.may_have_run);
    EXPECT_EQ(attempt.function_missing, outcome == AttemptOutcome::function_missing);
  }
  for (const AttemptOutcome outcome :
       {AttemptOutcome::succeeded, AttemptOutcome::error, AttemptOutcome::unanswered,
        AttemptOutcome::connection_lost, AttemptOutcome::cancelled}) {
    Attempt attempt;
    attempt.end(outcome);
    EXPECT_TRUE(attempt.may_have_run);
  }
}

TEST(TrackedRequest, FindsItsAttempts) {
  TrackedRequest tracked;
  EXPECT_FALSE(tracked.has_open_attempt());
  tracked.attempts = {{.endpoint = "a", .open = false}, {.endpoint = "b"}, {.endpoint = "a"}};
  EXPECT_TRUE(tracked.has_open_attempt());
  EXPECT_EQ(tracked.newest_attempt_at("a"), &tracked.attempts[2]);
  EXPECT_EQ(tracked.newest_attempt_at("c"), nullptr);
  EXPECT_EQ(tracked.find_open_attempt(1), &tracked.attempts[1]);
  EXPECT_EQ(tracked.find_open_attempt(0), nullptr) << "the attempt has ended";
  EXPECT_EQ(tracked.find_open_attempt(3), nullptr);
  EXPECT_EQ(tracked.find_open_attempt(-1), nullptr);
}

TEST(RequestTracker, TakesWaitingRequestsOnceInTheOrderOfTheirIds) {
  RequestTracker requests;
  for (const RequestId id : {3, 1, 2}) requests.add_waiting(requests.add({.id = id}));
  requests.finish(*requests.find(2));
  EXPECT_EQ(requests.take_waiting(), (std::set<RequestId>{1, 3}));
  EXPECT_TRUE(requests.take_waiting().empty());
}

TEST(RequestTracker, RequestIsErasedWhenItIsDoneAndItsAttemptsHaveEnded) {
  RequestTracker requests;
  TrackedRequest& tracked = requests.add({.id = 1});
  tracked.attempts.emplace_back();
  requests.finish(tracked);
  requests.erase_finished();
  ASSERT_NE(requests.find(1), nullptr);
  tracked.attempts[0].end(AttemptOutcome::cancelled);
  requests.erase_finished();
  EXPECT_EQ(requests.find(1), nullptr);
}

}  // namespace
}  // namespace rushhill::routing
