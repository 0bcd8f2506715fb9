#include "routing/endpoint_liveness.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp start{100 * one_second};
constexpr Duration tick{40};

TEST(EndpointLiveness, ThreeConnectionsLostInARowShowADeath) {
  EndpointLiveness liveness;
  EXPECT_FALSE(liveness.record_lost_connection(start, true));
  EXPECT_FALSE(liveness.record_lost_connection(start, true));
  EXPECT_TRUE(liveness.record_lost_connection(start, true));
}

TEST(EndpointLiveness, AnswerResetsTheCountOfLostConnections) {
  EndpointLiveness liveness;
  liveness.record_lost_connection(start, true);
  liveness.record_lost_connection(start, true);
  liveness.answer_received(start);
  EXPECT_FALSE(liveness.record_lost_connection(start, true));
}

TEST(EndpointLiveness, WithGossipALossAfterMoreThanASecondRestartsTheCount) {
  for (const bool gossip_enabled : {true, false}) {
    EndpointLiveness liveness;
    liveness.record_lost_connection(start, gossip_enabled);
    liveness.record_lost_connection(start, gossip_enabled);
    EXPECT_EQ(liveness.record_lost_connection(start + 2 * one_second, gossip_enabled), !gossip_enabled);
  }
}

TEST(EndpointLiveness, CountsAnAnswerAsRecentForASecond) {
  EndpointLiveness liveness;
  EXPECT_FALSE(liveness.answered_recently(start));
  liveness.answer_received(start);
  EXPECT_TRUE(liveness.answered_recently(start + one_second));
  EXPECT_FALSE(liveness.answered_recently(start + one_second + Duration{1}));
}

TEST(EndpointLiveness, AnnouncesADeathAtMostOnceASecond) {
  EndpointLiveness liveness;
  EXPECT_TRUE(liveness.should_announce_death(start));
  EXPECT_FALSE(liveness.should_announce_death(start + one_second / 2));
  liveness.record_peer_announcement(start + 2 * one_second);
  EXPECT_FALSE(liveness.should_announce_death(start + 2 * one_second));
}

TEST(EndpointLiveness, AnswerToARequestSentBeforeAPresumedRestartRefutesIt) {
  EndpointLiveness liveness;
  liveness.process_died(start);
  liveness.request_succeeded({.sent = start - one_second, .answered = start + tick}, tick);
  EXPECT_EQ(liveness.restarted_at(), start) << "the answer may have been in transit at that moment";
  liveness.request_succeeded({.sent = start, .answered = start + one_second}, tick);
  EXPECT_EQ(liveness.restarted_at(), start) << "the request was sent after the presumed restart";
  liveness.request_succeeded({.sent = start - one_second, .answered = start + one_second}, tick);
  EXPECT_EQ(liveness.restarted_at(), Timestamp{});
}

TEST(EndpointLiveness, AwaitsAnAnswerSinceTheFirstSendOrTheLastAnswer) {
  EndpointLiveness liveness;
  liveness.attempt_sent(start);
  liveness.attempt_sent(start + one_second);
  EXPECT_EQ(liveness.awaiting_since(), start);
  liveness.attempt_ended(start + 2 * one_second, false, 1);
  EXPECT_EQ(liveness.awaiting_since(), start);
  liveness.attempt_ended(start + 2 * one_second, true, 1);
  EXPECT_EQ(liveness.awaiting_since(), start + 2 * one_second);
  liveness.attempt_ended(start + 3 * one_second, false, 0);
  EXPECT_EQ(liveness.awaiting_since(), Timestamp{});
}

TEST(EndpointLiveness, BackoffAfterRejectionsDoublesUpToASecondAndEndsWithASuccess) {
  constexpr FractionalDuration response_time{500};
  EndpointLiveness liveness;
  liveness.request_rejected(start, response_time);
  liveness.request_rejected(start, response_time);
  EXPECT_FALSE(liveness.backing_off(start));
  liveness.request_rejected(start, response_time);
  EXPECT_TRUE(liveness.backing_off(start + Duration{499}));
  EXPECT_FALSE(liveness.backing_off(start + Duration{500}));
  liveness.request_rejected(start, response_time);
  EXPECT_TRUE(liveness.backing_off(start + Duration{999}));
  for (int i = 0; i < 10; ++i) liveness.request_rejected(start, response_time);
  EXPECT_TRUE(liveness.backing_off(start + one_second - Duration{1}));
  EXPECT_FALSE(liveness.backing_off(start + one_second));
  liveness.request_succeeded({.sent = start, .answered = start}, tick);
  EXPECT_FALSE(liveness.backing_off(start));
}

TEST(EndpointLiveness, BackoffAfterConnectTimeoutsDoublesUpToEightSeconds) {
  EndpointLiveness liveness;
  for (const int seconds : {1, 2, 4, 8, 8}) {
    liveness.connect_timed_out(start);
    EXPECT_TRUE(liveness.backing_off(start + seconds * one_second - Duration{1}));
    EXPECT_FALSE(liveness.backing_off(start + seconds * one_second));
  }
}

TEST(EndpointLiveness, BacksOffLoadsForTheGivenSpan) {
  EndpointLiveness liveness;
  liveness.back_off_loads(start, one_second);
  EXPECT_TRUE(liveness.loads_backing_off(start));
  EXPECT_FALSE(liveness.backing_off(start));
  EXPECT_FALSE(liveness.loads_backing_off(start + one_second));
}

}  // namespace
}  // namespace rushhill::routing
