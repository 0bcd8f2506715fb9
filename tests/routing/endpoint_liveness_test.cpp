#include "routing/endpoint_liveness.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp start{100 * one_second};
constexpr Duration tick{40};

TEST(EndpointLiveness, ThreeConnectionsLostInARowAreADeath) {
  EndpointLiveness liveness;
  EXPECT_FALSE(liveness.connection_lost(start, true));
  EXPECT_FALSE(liveness.connection_lost(start, true));
  EXPECT_TRUE(liveness.connection_lost(start, true));
}

TEST(EndpointLiveness, AnAnswerBetweenStartsTheCountAgain) {
  EndpointLiveness liveness;
  liveness.connection_lost(start, true);
  liveness.connection_lost(start, true);
  liveness.contact_made(start);
  EXPECT_FALSE(liveness.connection_lost(start, true));
}

TEST(EndpointLiveness, WherePeersTellOnlyLossesWithinASecondOfEachOtherCount) {
  for (const bool peers_tell : {true, false}) {
    EndpointLiveness liveness;
    liveness.connection_lost(start, peers_tell);
    liveness.connection_lost(start, peers_tell);
    EXPECT_EQ(liveness.connection_lost(start + 2 * one_second, peers_tell), !peers_tell);
  }
}

TEST(EndpointLiveness, HasAnsweredJustNowForASecond) {
  EndpointLiveness liveness;
  EXPECT_FALSE(liveness.answered_just_now(start));
  liveness.contact_made(start);
  EXPECT_TRUE(liveness.answered_just_now(start + one_second));
  EXPECT_FALSE(liveness.answered_just_now(start + one_second + Duration{1}));
}

TEST(EndpointLiveness, DeathIsAnnouncedOnceASecond) {
  EndpointLiveness liveness;
  EXPECT_TRUE(liveness.announce_death(start));
  EXPECT_FALSE(liveness.announce_death(start + one_second / 2));
  liveness.peer_announced(start + 2 * one_second);
  EXPECT_FALSE(liveness.announce_death(start + 2 * one_second));
}

TEST(EndpointLiveness, AnswerToWhatWasSentBeforeARestartRefutesIt) {
  EndpointLiveness liveness;
  liveness.process_died(start);
  liveness.request_succeeded({.sent = start - one_second, .answered = start + tick}, tick);
  EXPECT_EQ(liveness.restarted_at(), start) << "it was on its way at that moment";
  liveness.request_succeeded({.sent = start, .answered = start + one_second}, tick);
  EXPECT_EQ(liveness.restarted_at(), start) << "it was sent afterwards";
  liveness.request_succeeded({.sent = start - one_second, .answered = start + one_second}, tick);
  EXPECT_EQ(liveness.restarted_at(), Timestamp{});
}

TEST(EndpointLiveness, AwaitsAnAnswerSinceTheFirstSendAfterTheLastAnswer) {
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

TEST(EndpointLiveness, IsSparedLoadsForTheGivenSpan) {
  EndpointLiveness liveness;
  liveness.spare_loads(start, one_second);
  EXPECT_TRUE(liveness.loads_backing_off(start));
  EXPECT_FALSE(liveness.backing_off(start));
  EXPECT_FALSE(liveness.loads_backing_off(start + one_second));
}

}  // namespace
}  // namespace rushhill::routing
