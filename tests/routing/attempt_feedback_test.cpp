#include "routing/attempt_feedback.h"

#include "routing/routing_parts_fixture.h"

namespace rushhill::routing {
namespace {

class AttemptFeedbackTest : public RoutingPartsTest {
 protected:
  AttemptFeedbackTest() {
    tracked.attempts.push_back({.endpoint = "a", .sent = start});
    endpoint("a").in_flight.sent();
    copy("a").attempt_sent(start, one_second);
  }
  void end(AttemptOutcome outcome, CopyState copy_state, Duration taken = Duration{100}) {
    Attempt& attempt = tracked.attempts.back();
    attempt.end(outcome);
    const AttemptEnd ended{
        .request = 1, .endpoint = "a", .outcome = outcome, .taken = taken, .copy_state = copy_state};
    feedback.attempt_ended(start, tracked, attempt, ended);
  }
  AttemptStatistics history() { return endpoint("a").history.all(start); }

  TrackedRequest& tracked = track(1);
  AttemptFeedback feedback{parts, monitor};
};

TEST_F(AttemptFeedbackTest, SuccessConfirmsTheCopyAndCountsAsGood) {
  end(AttemptOutcome::succeeded, CopyState::loaded);
  EXPECT_EQ(endpoint("a").in_flight.open(), 0);
  EXPECT_EQ(copy("a").open_attempts(), 0);
  EXPECT_TRUE(copy_believed("a"));
  EXPECT_EQ(history().succeeded, 1);
  EXPECT_EQ(history().pace_samples, 1);
  EXPECT_EQ(history().judged, 1);
  EXPECT_EQ(history().bad, 0);
}

TEST_F(AttemptFeedbackTest, AnswerAfterALoadUpdatesOnlyTheLoadTime) {
  const FractionalDuration before = tracked.class_estimate->response_time;
  end(AttemptOutcome::succeeded, CopyState::load_started, one_second);
  EXPECT_EQ(history().pace_samples, 0);
  EXPECT_EQ(tracked.class_estimate->response_time, before);
  const FunctionTimes unknown;
  EXPECT_EQ(parts.estimates.load_time({.request_class = *tracked.class_estimate, .function = unknown}),
            one_second - before);
}

TEST_F(AttemptFeedbackTest, AnswerThatWaitedForAnotherRequestsLoadUpdatesNoTime) {
  end(AttemptOutcome::succeeded, CopyState::load_awaited, one_second / 2);
  EXPECT_EQ(history().pace_samples, 0);
  const FunctionTimes unknown;
  EXPECT_EQ(parts.estimates.load_time({.request_class = *tracked.class_estimate, .function = unknown}),
            one_second);
}

TEST_F(AttemptFeedbackTest, RejectionLowersTheWeightAndHoldsBackLoadsButCountsAsNoFailure) {
  end(AttemptOutcome::overloaded, CopyState::unknown);
  EXPECT_LT(endpoint("a").placement_weight.factor(), 1);
  EXPECT_TRUE(endpoint("a").liveness.loads_backing_off(start));
  EXPECT_EQ(history().judged, 0);
}

TEST_F(AttemptFeedbackTest, MissingFunctionClearsTheCopyAndCountsAsGood) {
  copy("a").confirm(start);
  end(AttemptOutcome::function_missing, CopyState::unknown);
  EXPECT_FALSE(copy_believed("a"));
  EXPECT_EQ(history().judged, 1);
  EXPECT_EQ(history().bad, 0);
}

TEST_F(AttemptFeedbackTest, ErrorCountsAsBadAndACancelledAttemptIsNotCounted) {
  end(AttemptOutcome::error, CopyState::loaded);
  EXPECT_EQ(history().bad, 1);
  tracked.attempts.push_back({.endpoint = "a", .sent = start});
  endpoint("a").in_flight.sent();
  end(AttemptOutcome::cancelled, CopyState::unknown);
  EXPECT_EQ(history().judged, 1);
}

TEST_F(AttemptFeedbackTest, SlowAnswersOfLoadedCopiesRaiseTheTenantsShareToReject) {
  for (int i = 0; i < 20; ++i) {
    tracked.attempts.push_back({.endpoint = "a", .sent = start});
    end(AttemptOutcome::succeeded, CopyState::loaded, one_second);
  }
  EXPECT_GT(parts.overload.share_to_reject(start, ""), 0);
}

}  // namespace
}  // namespace rushhill::routing
