#include "routing/request_dispatcher.h"

#include "routing/routing_parts_fixture.h"

namespace rushhill::routing {
namespace {

class RequestDispatcherTest : public RoutingPartsTest {
 protected:
  void remove_all() {
    for (const char* id : {"a", "b", "c"}) parts.endpoints.remove(start, endpoint(id));
    parts.endpoints.increment_version();
  }
  void return_all() {
    parts.endpoints.increment_version();
    for (const char* id : {"a", "b", "c"}) parts.endpoints.update({.id = id});
  }

  TrackedRequest& tracked = track(1);
  RequestDispatcher dispatcher{parts, monitor};
};

TEST_F(RequestDispatcherTest, SendsAnAttemptAndCountsIt) {
  dispatcher.dispatch(start, tracked);
  ASSERT_EQ(host.shots.size(), 1U);
  const EndpointId& id = host.shots[0].server;
  EXPECT_EQ(tracked.attempts.size(), 1U);
  EXPECT_EQ(endpoint(id).in_flight.open(), 1);
  EXPECT_EQ(endpoint(id).liveness.awaiting_since(), start);
  EXPECT_TRUE(copy_believed(id));
}

TEST_F(RequestDispatcherTest, RequestWaitsForAnEndpointWhileItCanStillBeAnswered) {
  remove_all();
  dispatcher.dispatch(start, tracked);
  EXPECT_TRUE(tracked.waiting);
  EXPECT_TRUE(host.sheds.empty());
  return_all();
  dispatcher.dispatch_waiting(start);
  EXPECT_FALSE(tracked.waiting);
  EXPECT_EQ(host.shots.size(), 1U);
}

TEST_F(RequestDispatcherTest, RequestBeyondItsQuotaOrWithoutTimeDoesNotWait) {
  remove_all();
  tracked.over_quota = true;
  dispatcher.dispatch(start, tracked);
  EXPECT_EQ(host.sheds, std::vector<RequestId>{1});
  TrackedRequest& late = track(2);
  late.objective = start + Duration{100};
  dispatcher.dispatch(start, late);
  EXPECT_EQ(host.sheds, (std::vector<RequestId>{1, 2}));
  EXPECT_TRUE(late.done);
}

TEST_F(RequestDispatcherTest, RejectsARequestThatCannotBeAnsweredBeforeItsDeadline) {
  tracked.answer_deadline = start + Duration{100};
  dispatcher.dispatch(start, tracked);
  EXPECT_EQ(host.sheds, std::vector<RequestId>{1});
  EXPECT_TRUE(host.shots.empty());
}

TEST_F(RequestDispatcherTest, OrdersAMissingCopyOnceForAllWaitingRequests) {
  TrackedRequest& other = track(2);
  EXPECT_TRUE(dispatcher.wait_for_prewarm(start, "a", tracked));
  EXPECT_TRUE(dispatcher.wait_for_prewarm(start, "a", other));
  EXPECT_EQ(host.orders.size(), 1U);
  EXPECT_EQ(endpoint("a").tokens.level(), -1);
  EXPECT_TRUE(tracked.waiting && other.waiting);
}

TEST_F(RequestDispatcherTest, OrdersNothingAtADrainingEndpoint) {
  parts.endpoints.update({.id = "a", .state = EndpointState::draining});
  EXPECT_FALSE(dispatcher.wait_for_prewarm(start, "a", tracked));
  EXPECT_TRUE(host.orders.empty());
  EXPECT_FALSE(tracked.waiting);
}

TEST_F(RequestDispatcherTest, CountsAnOverdueAttemptAsBadAndCancelsIt) {
  dispatcher.dispatch(start, tracked);
  dispatcher.check_overdue(start + one_second, tracked);
  EXPECT_TRUE(host.called_off.empty());
  EXPECT_EQ(endpoint(host.shots[0].server).in_flight.outlasting(), 1);
  dispatcher.check_overdue(start + 10 * one_second, tracked);
  EXPECT_TRUE(tracked.attempts[0].judged);
  EXPECT_EQ(host.called_off.size(), 1U);
}

TEST_F(RequestDispatcherTest, OpenAttemptsAreCancelledUnlessTheAnswerHasBegun) {
  tracked.attempts = {{.endpoint = "a", .open = false}, {.endpoint = "b"}};
  tracked.streaming_attempt = 1;
  dispatcher.cancel_open_attempts(tracked);
  EXPECT_TRUE(host.called_off.empty());
  tracked.streaming_attempt = TrackedRequest::no_attempt;
  dispatcher.cancel_open_attempts(tracked);
  ASSERT_EQ(host.called_off.size(), 1U);
  EXPECT_EQ(host.called_off[0].second, 1);
}

TEST_F(RequestDispatcherTest, RejectsARequestIfThatIsSafeAndOtherwiseFailsIt) {
  dispatcher.reject_or_fail(tracked, Duration::zero());
  EXPECT_EQ(host.sheds, std::vector<RequestId>{1});
  TrackedRequest& risky = track(2);
  risky.class_estimate = &parts.estimates.of_class("unknown");
  risky.attempts.push_back({.endpoint = "a"});
  dispatcher.reject_or_fail(risky, Duration::zero());
  EXPECT_EQ(host.abandoned, std::vector<RequestId>{2});
  EXPECT_TRUE(risky.done);
}

}  // namespace
}  // namespace rushhill::routing
