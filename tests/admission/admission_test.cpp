// Admission: weighted quotas per source, repeated deliveries, retries, and throttling of sources that can
// wait. Guards against one flooding source starving the others, against a message being run twice, and
// against retries that never stop or that repeat a request which may have run.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <vector>

#include "admission/delivery_tracker.h"
#include "admission/message_retries.h"
#include "admission/source_quotas.h"
#include "admission/source_throttle.h"

namespace rushhill::admission {
namespace {

TEST(SourceQuotas, FloodingSourceUsesUnusedQuotaButLeavesTheReserve) {
  SourceQuotas quotas(100);
  const auto flooding = quotas.add(1), idle = quotas.add(1);
  int admitted = 0;
  while (quotas.may_admit(flooding)) quotas.on_admitted(flooding), ++admitted;
  EXPECT_GT(admitted, 80);   // more than its quota, since the other source is idle
  EXPECT_LT(admitted, 100);  // the reserve stays free
  EXPECT_TRUE(quotas.may_admit(idle));
}

TEST(SourceQuotas, OpenRequestsFollowTheWeightsWhenAllSourcesFlood) {
  SourceQuotas quotas(120);
  const auto one = quotas.add(1), two = quotas.add(2), three = quotas.add(3);
  const std::vector<SourceQuotas::Source> all{one, two, three};
  std::vector<SourceQuotas::Source> order;
  // The first source takes all that it may. Then the oldest request ends and is replaced, a thousand times,
  // which brings every source to its quota.
  while (quotas.may_admit(one)) quotas.on_admitted(one), order.push_back(one);
  for (int i = 0; i < 1'000; ++i) {
    SourceQuotas::Source chosen = 0;
    while (quotas.next_source([](SourceQuotas::Source) { return true; }, chosen))
      quotas.on_admitted(chosen), order.push_back(chosen);
    quotas.ended(order.front());
    order.erase(order.begin());
  }
  EXPECT_NEAR(static_cast<double>(quotas.open(one)), 20, 4);
  EXPECT_NEAR(static_cast<double>(quotas.open(two)), 40, 4);
  EXPECT_NEAR(static_cast<double>(quotas.open(three)), 60, 4);
}

TEST(SourceQuotas, OnlySourceMayUseTheWholeLimit) {
  SourceQuotas quotas(3);
  const auto one = quotas.add(0.5);
  for (int i = 0; i < 3; ++i) quotas.on_admitted(one);
  EXPECT_FALSE(quotas.may_admit(one));
  quotas.ended(one);
  EXPECT_TRUE(quotas.may_admit(one));
}

TEST(DeliveryTracker, RecognisesMessagesInProgressAndEnded) {
  DeliveryTracker deliveries(100, 10);
  EXPECT_EQ(deliveries.meet(1, "a"), DeliveryTracker::DeliveryStatus::fresh);
  EXPECT_EQ(deliveries.meet(2, "a"), DeliveryTracker::DeliveryStatus::joins);
  deliveries.ended(3, "a", Outcome::rejected);
  EXPECT_EQ(deliveries.meet(4, "a"), DeliveryTracker::DeliveryStatus::answered);
  EXPECT_EQ(deliveries.outcome("a"), Outcome::rejected);
  EXPECT_EQ(deliveries.meet(103, "a"), DeliveryTracker::DeliveryStatus::fresh);  // its retention is over
}

TEST(DeliveryTracker, ForgetsTheOldestEndedMessagesAtTheLimit) {
  DeliveryTracker deliveries(1'000'000, 10);
  for (int i = 0; i < 100; ++i) deliveries.ended(i, std::to_string(i), Outcome::succeeded);
  EXPECT_EQ(deliveries.ended_count(), 10U);
  EXPECT_EQ(deliveries.meet(100, "99"), DeliveryTracker::DeliveryStatus::answered);
  EXPECT_EQ(deliveries.meet(100, "1"), DeliveryTracker::DeliveryStatus::fresh);
}

TEST(DeliveryTracker, ForgottenMessageCountsAsNew) {
  DeliveryTracker deliveries(100, 10);
  deliveries.meet(1, "a");
  deliveries.forget("a");
  EXPECT_EQ(deliveries.meet(2, "a"), DeliveryTracker::DeliveryStatus::fresh);
}

TEST(MessageRetries, BackoffDoublesAndRetriesEndAtTheLimit) {
  MessageRetries retries(3, 100);
  EXPECT_EQ(retries.again(0, "m", Outcome::rejected, RetrySafety::idempotent, 100'000, 0), Time{1'000});
  EXPECT_EQ(retries.again(1'000, "m", Outcome::failed, RetrySafety::idempotent, 100'000, 0), Time{3'000});
  EXPECT_EQ(retries.made("m"), 2);
  EXPECT_EQ(retries.again(3'000, "m", Outcome::rejected, RetrySafety::idempotent, 100'000, 0), std::nullopt);
  EXPECT_EQ(retries.made("m"), 3);
}

TEST(MessageRetries, UsesRetryAfterAndDoesNotRetryPastTheDeadline) {
  MessageRetries retries(10, 100);
  EXPECT_EQ(retries.again(50, "m", Outcome::rejected, RetrySafety::idempotent, 100'000, 7'000), Time{7'050});
  EXPECT_EQ(retries.again(7'050, "m", Outcome::rejected, RetrySafety::idempotent, 14'000, 7'000),
            std::nullopt);
}

TEST(MessageRetries, NeverRetriesKeyedRequestsNorThoseThatMayHaveRun) {
  MessageRetries retries(10, 100);
  EXPECT_EQ(retries.again(0, "a", Outcome::failed, RetrySafety::at_most_once, 100'000, 0), std::nullopt);
  EXPECT_NE(retries.again(0, "b", Outcome::rejected, RetrySafety::at_most_once, 100'000, 0), std::nullopt);
  EXPECT_EQ(retries.again(0, "c", Outcome::rejected, RetrySafety::keyed, 100'000, 0), std::nullopt);
  EXPECT_EQ(retries.again(0, "d", Outcome::failed, RetrySafety::keyed, 100'000, 0), std::nullopt);
}

TEST(MessageRetries, ForgetsTheOldestMessagesAtTheLimit) {
  MessageRetries retries(5, 2);
  for (const char* message_key : {"a", "b", "c"})
    retries.again(0, message_key, Outcome::rejected, RetrySafety::idempotent, 100'000, 0);
  EXPECT_EQ(retries.made("a"), 0);
  EXPECT_EQ(retries.made("c"), 1);
  retries.forget("c");
  EXPECT_EQ(retries.made("c"), 0);
}

// Three sources submit requests every millisecond to simulated servers that have a fixed capacity per second
// and answer after 20 ms. Requests beyond the capacity fail, whichever source they come from. Source 0 cannot
// wait.
class SourceThrottleTest : public testing::Test {
 protected:
  SourceThrottleTest() {
    throttle.add(1, false);
    throttle.add(1, true);
    throttle.add(1, true);
  }
  struct Totals {
    double submitted = 0, succeeded = 0, failed = 0;
  };
  // Runs until the moment `until`. `request_rates`: requests per second, by source; `capacity`: of the
  // servers, requests per second.
  void run(Time until, const std::vector<double>& request_rates, double capacity) {
    for (; now < until; now += 10) {
      spare_capacity = std::min(spare_capacity + capacity / 1000, capacity / 100);
      while (!in_flight.empty() && in_flight.front().first <= now) {
        const auto [source, succeeded] = in_flight.front().second;
        in_flight.pop_front();
        throttle.ended(now, source, succeeded ? SourceThrottle::End::succeeded : SourceThrottle::End::failed);
        (succeeded ? totals[source].succeeded : totals[source].failed) += 1;
      }
      for (std::size_t offset = 0; offset < request_rates.size(); ++offset) {
        const std::size_t source = (offset + static_cast<std::size_t>(now / 10)) % request_rates.size();
        waiting[source] += request_rates[source] / 1000;
        totals[source].submitted += request_rates[source] / 1000;
        while (waiting[source] >= 1 && (source == 0 || throttle.may_admit(now, source))) {
          waiting[source] -= 1;
          throttle.on_admitted(now, source);
          const bool succeeded = spare_capacity >= 1;
          spare_capacity -= succeeded ? 1 : 0;
          in_flight.push_back({now + 200, {source, succeeded}});
        }
      }
    }
  }
  SourceThrottle throttle;
  Time now = 0;
  double spare_capacity = 0;
  std::deque<std::pair<Time, std::pair<std::size_t, bool>>> in_flight;
  std::array<double, 3> waiting{};
  std::array<Totals, 3> totals;
};

TEST_F(SourceThrottleTest, FloodingSourceIsThrottledAndTheOthersSucceed) {
  run(20'000, {300, 300, 6'000}, 2'000);
  totals = {};
  run(60'000, {300, 300, 6'000}, 2'000);
  for (const std::size_t source : {0U, 1U})
    EXPECT_GT(totals[source].succeeded, 0.93 * totals[source].submitted) << source;
  EXPECT_GT(totals[2].succeeded, 0.8 * 4 * 1'400)
      << "the flooding source has to get over 80% of what the others leave";
  EXPECT_LT(totals[2].failed, 0.1 * totals[2].succeeded);
}

TEST_F(SourceThrottleTest, NoSourceIsThrottledWithoutOverload) {
  run(40'000, {300, 300, 1'000}, 2'000);
  EXPECT_EQ(throttle.allowance(1), std::numeric_limits<std::size_t>::max());
  EXPECT_EQ(throttle.allowance(2), std::numeric_limits<std::size_t>::max());
}

TEST_F(SourceThrottleTest, ThrottleIsLiftedAfterTheFlood) {
  run(40'000, {300, 300, 6'000}, 2'000);
  ASSERT_LT(throttle.allowance(2), 1'000U);
  waiting = {};
  run(80'000, {300, 300, 100}, 2'000);
  EXPECT_EQ(throttle.allowance(2), std::numeric_limits<std::size_t>::max());
}

TEST_F(SourceThrottleTest, NeitherASourceBelowItsShareNorTheOnlySourceIsThrottled) {
  run(40'000, {6'000, 300, 0}, 2'000);
  EXPECT_EQ(throttle.allowance(1), std::numeric_limits<std::size_t>::max());
  SourceThrottle single_source;
  single_source.add(1, true);
  for (Time at = 0; at < 50'000; at += 10) {
    single_source.on_admitted(at, 0);
    single_source.ended(at, 0, at % 20 == 0 ? SourceThrottle::End::succeeded : SourceThrottle::End::failed);
  }
  EXPECT_EQ(single_source.allowance(0), std::numeric_limits<std::size_t>::max());
}

TEST_F(SourceThrottleTest, OverloadBeforeALongSilenceCausesAtMostOneCut) {
  run(10'000, {300, 300, 6'000}, 2'000);
  ASSERT_LT(throttle.allowance(2), 1'000U);
  const std::size_t before = throttle.allowance(2);
  EXPECT_TRUE(throttle.may_admit(900'000, 1));
  // At most one cut, for the last interval before the silence.
  EXPECT_GE(throttle.allowance(2), before * 3 / 4);
}

}  // namespace
}  // namespace rushhill::admission
