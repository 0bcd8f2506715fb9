// Weighted taking and what is remembered of messages that come again.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <vector>

#include "admission/deliveries.h"
#include "admission/shares.h"
#include "admission/tries.h"
#include "admission/yielding.h"

namespace rushhill::admission {
namespace {

TEST(Shares, AFloodLeavesTheOthersTheirRoomAndTakesWhatTheyLeave) {
  Shares shares(100);
  const auto flood = shares.add(1), quiet = shares.add(1);
  int taken = 0;
  while (shares.may_take(flood)) shares.took(flood), ++taken;
  EXPECT_GT(taken, 80);   // more than its half, since the other is quiet
  EXPECT_LT(taken, 100);  // but not all
  EXPECT_TRUE(shares.may_take(quiet));
}

TEST(Shares, UnderFloodFromAllEachGetsItsPartByWeight) {
  Shares shares(120);
  const auto one = shares.add(1), two = shares.add(2), three = shares.add(3);
  const std::vector<Shares::Source> all{one, two, three};
  std::vector<Shares::Source> order;
  // One ends, one is taken, a thousand times: whatever was borrowed is given back.
  while (shares.may_take(one)) shares.took(one), order.push_back(one);
  for (int i = 0; i < 1'000; ++i) {
    Shares::Source chosen = 0;
    while (shares.next([](Shares::Source) { return true; }, chosen))
      shares.took(chosen), order.push_back(chosen);
    shares.ended(order.front());
    order.erase(order.begin());
  }
  EXPECT_NEAR(static_cast<double>(shares.open(one)), 20, 4);
  EXPECT_NEAR(static_cast<double>(shares.open(two)), 40, 4);
  EXPECT_NEAR(static_cast<double>(shares.open(three)), 60, 4);
}

TEST(Shares, ALoneSourceHasAllOfIt) {
  Shares shares(3);
  const auto one = shares.add(0.5);
  for (int i = 0; i < 3; ++i) shares.took(one);
  EXPECT_FALSE(shares.may_take(one));
  shares.ended(one);
  EXPECT_TRUE(shares.may_take(one));
}

TEST(Deliveries, WhatIsWorkedOnIsJoinedAndWhatEndedIsAnswered) {
  Deliveries deliveries(100, 10);
  EXPECT_EQ(deliveries.meet(1, "a"), Deliveries::Meeting::fresh);
  EXPECT_EQ(deliveries.meet(2, "a"), Deliveries::Meeting::joins);
  deliveries.ended(3, "a", Outcome::rejected);
  EXPECT_EQ(deliveries.meet(4, "a"), Deliveries::Meeting::answered);
  EXPECT_EQ(deliveries.outcome("a"), Outcome::rejected);
  EXPECT_EQ(deliveries.meet(103, "a"), Deliveries::Meeting::fresh);  // its span is over
}

TEST(Deliveries, WhatIsRememberedIsBoundedAndTheOldestGoFirst) {
  Deliveries deliveries(1'000'000, 10);
  for (int i = 0; i < 100; ++i) deliveries.ended(i, std::to_string(i), Outcome::succeeded);
  EXPECT_EQ(deliveries.known(), 10U);
  EXPECT_EQ(deliveries.meet(100, "99"), Deliveries::Meeting::answered);
  EXPECT_EQ(deliveries.meet(100, "1"), Deliveries::Meeting::fresh);
}

TEST(Deliveries, WhatWasNeverTakenIsFreshWhenItComesAgain) {
  Deliveries deliveries(100, 10);
  deliveries.meet(1, "a");
  deliveries.forget("a");
  EXPECT_EQ(deliveries.meet(2, "a"), Deliveries::Meeting::fresh);
}

TEST(Tries, WhatIsGivenUpRestsLongerEachTimeAndEndsAtTheToldCount) {
  Tries tries(3, 100);
  EXPECT_EQ(tries.again(0, "m", Outcome::rejected, RetrySafety::idempotent, 100'000, 0), Time{1'000});
  EXPECT_EQ(tries.again(1'000, "m", Outcome::failed, RetrySafety::idempotent, 100'000, 0), Time{3'000});
  EXPECT_EQ(tries.made("m"), 2);
  EXPECT_EQ(tries.again(3'000, "m", Outcome::rejected, RetrySafety::idempotent, 100'000, 0), std::nullopt);
  EXPECT_EQ(tries.made("m"), 3);
}

TEST(Tries, TheCoresTimeToComeBackIsKeptAndNothingIsTriedPastItsTime) {
  Tries tries(10, 100);
  EXPECT_EQ(tries.again(50, "m", Outcome::rejected, RetrySafety::idempotent, 100'000, 7'000), Time{7'050});
  EXPECT_EQ(tries.again(7'050, "m", Outcome::rejected, RetrySafety::idempotent, 14'000, 7'000), std::nullopt);
}

TEST(Tries, WhatMayHaveRunOrBelongsToItsGroupIsNeverTriedAgain) {
  Tries tries(10, 100);
  EXPECT_EQ(tries.again(0, "a", Outcome::failed, RetrySafety::at_most_once, 100'000, 0), std::nullopt);
  EXPECT_NE(tries.again(0, "b", Outcome::rejected, RetrySafety::at_most_once, 100'000, 0), std::nullopt);
  EXPECT_EQ(tries.again(0, "c", Outcome::rejected, RetrySafety::keyed, 100'000, 0), std::nullopt);
  EXPECT_EQ(tries.again(0, "d", Outcome::failed, RetrySafety::keyed, 100'000, 0), std::nullopt);
}

TEST(Tries, WhatIsCountedIsBoundedAndTheOldestGoFirst) {
  Tries tries(5, 2);
  for (const char* mark : {"a", "b", "c"})
    tries.again(0, mark, Outcome::rejected, RetrySafety::idempotent, 100'000, 0);
  EXPECT_EQ(tries.made("a"), 0);
  EXPECT_EQ(tries.made("c"), 1);
  tries.forget("c");
  EXPECT_EQ(tries.made("c"), 0);
}

// Three sources ask every millisecond before servers that bear so many events a beat and answer after 20 ms;
// what comes beyond is given up, from whom it may be.
class Yield : public testing::Test {
 protected:
  Yield() {
    yielding.add(1, false);
    yielding.add(1, true);
    yielding.add(1, true);
  }
  struct Sum {
    double wanted = 0, honoured = 0, given_up = 0;
  };
  // `wants`: events a second, by source.
  void play(Time until, const std::vector<double>& wants, double bears) {
    for (; now < until; now += 10) {
      room = std::min(room + bears / 1000, bears / 100);
      while (!out.empty() && out.front().first <= now) {
        const auto [source, honoured] = out.front().second;
        out.pop_front();
        yielding.ended(now, source, honoured ? Yielding::End::succeeded : Yielding::End::failed);
        (honoured ? sums[source].honoured : sums[source].given_up) += 1;
      }
      for (std::size_t turn = 0; turn < wants.size(); ++turn) {
        const std::size_t source = (turn + static_cast<std::size_t>(now / 10)) % wants.size();
        waiting[source] += wants[source] / 1000;
        sums[source].wanted += wants[source] / 1000;
        while (waiting[source] >= 1 && (source == 0 || yielding.may_take(now, source))) {
          waiting[source] -= 1;
          yielding.took(now, source);
          const bool honoured = room >= 1;
          room -= honoured ? 1 : 0;
          out.push_back({now + 200, {source, honoured}});
        }
      }
    }
  }
  Yielding yielding;
  Time now = 0;
  double room = 0;
  std::deque<std::pair<Time, std::pair<std::size_t, bool>>> out;
  std::array<double, 3> waiting{};
  std::array<Sum, 3> sums;
};

TEST_F(Yield, TheFloodHoldsBackAndTheOthersAreHonoured) {
  play(20'000, {300, 300, 6'000}, 2'000);
  sums = {};
  play(60'000, {300, 300, 6'000}, 2'000);
  for (const std::size_t source : {0U, 1U})
    EXPECT_GT(sums[source].honoured, 0.93 * sums[source].wanted) << source;
  EXPECT_GT(sums[2].honoured, 0.8 * 4 * 1'400) << "what the others leave is the flood's, but for a fifth";
  EXPECT_LT(sums[2].given_up, 0.1 * sums[2].honoured);
}

TEST_F(Yield, WithoutStrainNothingIsHeldBack) {
  play(40'000, {300, 300, 1'000}, 2'000);
  EXPECT_EQ(yielding.allowance(1), std::numeric_limits<std::size_t>::max());
  EXPECT_EQ(yielding.allowance(2), std::numeric_limits<std::size_t>::max());
}

TEST_F(Yield, AfterTheFloodItsSourceIsFreeAgain) {
  play(40'000, {300, 300, 6'000}, 2'000);
  ASSERT_LT(yielding.allowance(2), 1'000U);
  waiting = {};
  play(80'000, {300, 300, 100}, 2'000);
  EXPECT_EQ(yielding.allowance(2), std::numeric_limits<std::size_t>::max());
}

TEST_F(Yield, OneThatIsBelowItsPartNeverYieldsAndALoneOneLeavesTheShedToTheCore) {
  play(40'000, {6'000, 300, 0}, 2'000);
  EXPECT_EQ(yielding.allowance(1), std::numeric_limits<std::size_t>::max());
  Yielding lone;
  lone.add(1, true);
  for (Time at = 0; at < 50'000; at += 10) {
    lone.took(at, 0);
    lone.ended(at, 0, at % 20 == 0 ? Yielding::End::succeeded : Yielding::End::failed);
  }
  EXPECT_EQ(lone.allowance(0), std::numeric_limits<std::size_t>::max());
}

TEST_F(Yield, AfterASilenceOldStrainCountsForNothing) {
  play(10'000, {300, 300, 6'000}, 2'000);
  ASSERT_LT(yielding.allowance(2), 1'000U);
  const std::size_t before = yielding.allowance(2);
  EXPECT_TRUE(yielding.may_take(900'000, 1));
  EXPECT_GE(yielding.allowance(2), before * 3 / 4);  // of the last beat before it at most one cut
}

}  // namespace
}  // namespace rushhill::admission
