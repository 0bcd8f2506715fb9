// Copies of what routers hold together, in virtual time: words are written, told, lost, told twice and late.
#include "replica/replica.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <random>

#include "replica/neighbours.h"

namespace rushhill::replica {
namespace {

constexpr Time second = 10'000;

struct Noted final : Findings {
  void full(Kind) override { ++fulls; }
  void copies_differed(const StreamId&, const Word& stands, const Word&) override {
    ++differed;
    last = stands;
  }
  void second_of_us(const Writer&) override { ++seconds; }
  void honoured_twice(const std::string&, const Writer&, const Writer&) override { ++twice; }
  int fulls = 0, differed = 0, seconds = 0, twice = 0;
  Word last;
};

Bounds bounds(std::size_t own = 1'000, std::size_t together = 10'000) {
  Bounds told{.streams = 4'000, .horizon = 60 * second};
  told.life.fill(30 * second);
  told.own.fill(own);
  told.together.fill(together);
  return told;
}

constexpr std::size_t all_words = 1'000'000;

struct Router {
  explicit Router(int number, const Bounds& told = bounds(), std::uint64_t incarnation = 1)
      : copy({number, incarnation}, told, noted) {}
  std::uint64_t mark(const std::string& event, Stage stage, Time now = 0) {
    return copy.write(now, Kind::mark, event, static_cast<std::uint32_t>(stage));
  }
  Stage stage(const std::string& event) const { return copy.stage(event); }
  // Tells the other how far it is and takes what it lacks.
  void ask(Router& other, Time now = 0, std::size_t most = all_words) {
    other.copy.heard_from(copy.me().router, copy.summary());
    const Batch batch = other.copy.lacking(now, copy.summary(), most);
    copy.heard_from(other.copy.me().router, other.copy.summary());
    copy.apply(now, batch);
  }
  Noted noted;
  Replica copy;
};

TEST(ReplicaStory, WhatARouterSawOfAnEventOutlivesIt) {
  Router second_one(2), third(3);
  {
    Router first(1);
    first.mark("shop/17", Stage::taken);
    first.mark("shop/17", Stage::abandoned);
    second_one.ask(first);
  }
  third.ask(second_one);
  EXPECT_EQ(third.stage("shop/17"), Stage::abandoned);
  EXPECT_EQ(third.stage("shop/18"), Stage::none);
}

TEST(ReplicaStory, AShedElsewhereDoesNotOutvoteWhatMayHaveRun) {
  Router first(1), other(2);
  first.mark("e", Stage::taken);
  other.mark("e", Stage::shed);
  first.ask(other);
  other.ask(first);
  EXPECT_EQ(first.stage("e"), Stage::taken);
  EXPECT_EQ(other.stage("e"), Stage::taken);
  first.mark("e", Stage::honoured);
  other.mark("e", Stage::honoured);
  EXPECT_EQ(other.noted.twice, 0);
  other.ask(first);
  EXPECT_EQ(other.noted.twice, 1);
}

TEST(ReplicaStory, ARouterThatStartsAgainHearsWhatItOrderedBeforeAndNobodyCountsItTwice) {
  Router keeper(2);
  {
    Router before(1, bounds(), 11);
    for (std::uint64_t orders = 1; orders <= 5; ++orders)
      before.copy.write(0, Kind::ration, "bucket 7", 0, orders);
    before.copy.write(0, Kind::ration, "bucket 8", 0, 2);
    keeper.ask(before);
    keeper.ask(before);
  }
  Router after(1, bounds(), 12);
  EXPECT_EQ(after.copy.written_before(Kind::ration), 0U);
  after.ask(keeper);
  EXPECT_EQ(after.copy.written_before(Kind::ration), 7U);
  EXPECT_EQ(keeper.copy.sum(Kind::ration, "bucket 7"), 5U);
  EXPECT_EQ(keeper.noted.seconds + after.noted.seconds, 0);
}

TEST(ReplicaStory, AWordCountsAsHeldByThoseThatToldTheyHaveIt) {
  Router writer(1), near(2), far(3);
  const std::uint64_t number = writer.mark("e", Stage::taken);
  EXPECT_EQ(writer.copy.holders(Kind::mark, number), 0);
  near.ask(writer);
  EXPECT_EQ(writer.copy.holders(Kind::mark, number), 0) << "sent is not held";
  near.ask(writer);
  EXPECT_EQ(writer.copy.holders(Kind::mark, number), 1);
  far.ask(near);
  writer.ask(far);
  EXPECT_EQ(writer.copy.holders(Kind::mark, number), 2);
  writer.copy.forget(2);
  EXPECT_EQ(writer.copy.holders(Kind::mark, number), 1);
}

TEST(ReplicaStory, CatchingUpGoesOnAtAnotherWhenTheGiverDies) {
  Router other(2), late(3);
  {
    Router giver(1);
    for (int i = 0; i < 500; ++i) giver.mark("e" + std::to_string(i), Stage::taken);
    other.ask(giver);
    for (int turn = 0; turn < 4; ++turn) late.ask(giver, 0, 50);
  }
  EXPECT_EQ(late.copy.size(Kind::mark), 200U);
  EXPECT_EQ(late.copy.behind(other.copy.summary()), 300U);
  for (int turn = 0; turn < 6; ++turn) late.ask(other, 0, 50);
  EXPECT_EQ(late.copy.behind(other.copy.summary()), 0U);
  EXPECT_EQ(late.copy.summary(), other.copy.summary());
}

TEST(ReplicaStory, NeitherRankNorCountUnderAKeyFalls) {
  Router router(1);
  const std::uint64_t first = router.copy.write(0, Kind::departure, "s1", 1, 9);
  EXPECT_EQ(router.copy.write(0, Kind::departure, "s1", 1, 4), first) << "nothing new, no word";
  EXPECT_GT(router.copy.write(0, Kind::departure, "s1", 2, 4), first);
  EXPECT_EQ(router.copy.sum(Kind::departure, "s1"), 9U);
  EXPECT_EQ(router.copy.strictest(Kind::departure, "s1"), 2U);
}

// Seen by the law below: a part of a longer telling lacks what a later part overwrites, which is no
// difference.
TEST(ReplicaStory, ACopyOnItsWayThroughALongTellingDoesNotDifferFromAnother) {
  Router writer(1), one(2), other(3);
  writer.mark("a", Stage::taken);
  writer.mark("b", Stage::taken);
  one.ask(writer);
  writer.mark("a", Stage::honoured);
  other.ask(writer, 0, 1);
  EXPECT_GT(other.copy.behind(writer.copy.summary()), 0U);
  other.ask(one);
  one.ask(other);
  EXPECT_EQ(one.noted.differed + other.noted.differed, 0);
  other.ask(writer);
  EXPECT_EQ(other.copy.summary(), writer.copy.summary());
}

TEST(ReplicaStory, WhatHasLapsedIsNotBroughtBackByOneWhoKeptItLonger) {
  Router writer(1), slow(2), back(3);
  writer.mark("e", Stage::honoured);
  slow.ask(writer, second);  // heard a second late: it thinks the word younger by the way there
  const Batch stale = slow.copy.lacking(second, {}, all_words);
  writer.copy.pass(30 * second);
  back.ask(writer, 30 * second);
  EXPECT_EQ(writer.copy.size(Kind::mark), 0U);
  slow.ask(writer, 30 * second);
  EXPECT_EQ(slow.copy.size(Kind::mark), 0U) << "the first who lets it lapse ends it for all";
  slow.copy.apply(31 * second, stale);
  back.ask(slow, 31 * second);
  EXPECT_EQ(slow.copy.size(Kind::mark) + back.copy.size(Kind::mark), 0U);
}

TEST(ReplicaStory, WhoWasAloneBeyondTheHorizonBringsOnlyItsOwn) {
  Bounds told = bounds();
  told.horizon = 100 * second;
  told.life.fill(90 * second);
  Router one(1, told), alone(2, told), fresh(3, told);
  one.mark("old", Stage::taken, second);
  alone.ask(one, second);
  alone.mark("own", Stage::taken, 80 * second);
  ASSERT_EQ(alone.copy.size(Kind::mark), 2U);
  fresh.ask(alone, 102 * second);
  EXPECT_EQ(fresh.stage("old"), Stage::none);
  EXPECT_EQ(fresh.stage("own"), Stage::taken);
}

TEST(ReplicaStory, AtTheBoundNothingIsLostThatMustNotBeAndHintsGiveWay) {
  for (const Kind kind : {Kind::mark, Kind::ration, Kind::quota, Kind::departure}) {
    Router router(1, bounds(3, 5));
    for (int i = 0; i < 3; ++i) EXPECT_NE(router.copy.write(0, kind, std::to_string(i), 1, 1), 0U);
    EXPECT_EQ(router.copy.write(0, kind, "one more", 1, 1), 0U);
    EXPECT_EQ(router.noted.fulls, 1);
    EXPECT_NE(router.copy.write(0, kind, "1", 2, 1), 0U) << "what is known goes on";
    EXPECT_NE(router.copy.write(31 * second, kind, "one more", 1, 1), 0U) << "room comes with time";
  }
  Router router(1, bounds(3, 5));
  for (int i = 0; i < 5; ++i) router.copy.write(0, Kind::hint, std::to_string(i), 1);
  EXPECT_EQ(router.copy.size(Kind::hint), 3U);
  EXPECT_EQ(router.copy.strictest(Kind::hint, "4"), 1U);
  EXPECT_EQ(router.copy.strictest(Kind::hint, "0"), 0U);
}

TEST(ReplicaStory, AFullCopySaysSoAndTakesTheRestWhenThereIsRoom) {
  Router one(1, bounds(4, 4)), other(2, bounds(4, 4)), third(3, bounds(4, 6));
  for (int i = 0; i < 4; ++i) one.mark("a" + std::to_string(i), Stage::taken, 0);
  for (int i = 0; i < 4; ++i) other.mark("b" + std::to_string(i), Stage::taken, 10 * second);
  third.ask(one, 10 * second);
  third.ask(other, 10 * second);
  EXPECT_EQ(third.copy.size(Kind::mark), 6U);
  EXPECT_GT(third.noted.fulls, 0);
  EXPECT_EQ(third.copy.behind(other.copy.summary()), 2U);
  third.copy.pass(30 * second);
  third.ask(other, 30 * second);
  EXPECT_EQ(third.stage("b3"), Stage::taken);
}

TEST(ReplicaStory, CopiesThatDifferAreFoundAndTheStricterStandsEverywhere) {
  Router writer(1), one(2), other(3);
  for (int i = 0; i < 20; ++i) writer.mark("e" + std::to_string(i), Stage::taken);
  one.ask(writer);
  // A merge gone wrong, or memory: one word says something else here, under the same number.
  Batch wrong = writer.copy.lacking(0, {}, all_words);
  wrong[0].words[13].rank = static_cast<std::uint32_t>(Stage::honoured);
  other.copy.apply(0, wrong);
  for (int turn = 0; turn < 10; ++turn) one.ask(other, 0, 4), other.ask(one, 0, 4);
  EXPECT_EQ(one.stage("e13"), Stage::honoured);
  EXPECT_EQ(one.copy.summary(), other.copy.summary());
  EXPECT_EQ(one.noted.differed, 1);
  EXPECT_EQ(one.noted.last.key, "e13");
}

TEST(ReplicaStory, ASecondRouterOfOurNameAndIncarnationIsFound) {
  Router us(1), keeper(2);
  {
    Router twin(1);
    twin.mark("e", Stage::taken);
    keeper.ask(twin);
  }
  us.ask(keeper);
  EXPECT_GT(us.noted.seconds, 0);
  EXPECT_EQ(us.stage("e"), Stage::none);
}

TEST(ReplicaStory, PiecesThatCannotBeAreNotTaken) {
  const StreamId stream{Kind::mark, {7, 1}};
  const std::vector<Piece> pieces{{.stream = stream,
                                   .after = 5,
                                   .ended = 0,
                                   .through = 6,
                                   .words = {{.number = 6, .key = "hole", .rank = 1}}},
                                  {.stream = stream, .after = 0, .ended = 9, .through = 3, .words = {}},
                                  {.stream = stream,
                                   .after = 0,
                                   .ended = 0,
                                   .through = 1,
                                   .words = {{.number = 2, .key = "beyond", .rank = 1}}},
                                  {.stream = stream,
                                   .after = 0,
                                   .ended = 0,
                                   .through = 1,
                                   .words = {{.number = 0, .key = "none", .rank = 1}}},
                                  {.stream = stream,
                                   .after = 0,
                                   .ended = 0,
                                   .through = 1,
                                   .words = {{.number = 1, .key = "early", .rank = 1, .age = -1}}},
                                  {.stream = stream,
                                   .after = 0,
                                   .ended = 0,
                                   .through = 1,
                                   .words = {{.number = 1, .key = std::string(600, 'x'), .rank = 1}}}};
  Router router(1);
  for (const Piece& piece : pieces) router.copy.apply(0, {piece});
  EXPECT_EQ(router.copy.size(Kind::mark), 0U);
  EXPECT_TRUE(router.copy.summary().empty());
}

// The whole fleet, each asking its neighbours in turn, a part of what is told being lost.
TEST(ReplicaStory, EveryWordReachesAllInALogarithmOfRounds) {
  for (const double lost : {0.0, 0.3}) {
    std::ranlux24_base chance(4);
    constexpr int size = 100;
    std::vector<std::unique_ptr<Router>> fleet;
    std::set<int> there;
    for (int i = 0; i < size; ++i) fleet.push_back(std::make_unique<Router>(i)), there.insert(i);
    for (int i = 0; i < size; i += 7)
      fleet[static_cast<std::size_t>(i)]->mark("e" + std::to_string(i), Stage::taken);
    int rounds = 0;
    const auto complete = [&] {
      return std::ranges::all_of(fleet,
                                 [](const auto& router) { return router->copy.size(Kind::mark) == 15; });
    };
    for (; !complete() && rounds < 50; ++rounds) {
      for (int i = 0; i < size; ++i) {
        for (const int near : neighbours(i, there)) {
          if (static_cast<double>(chance() % 1'000) < 1'000 * lost) continue;
          fleet[static_cast<std::size_t>(i)]->ask(*fleet[static_cast<std::size_t>(near)]);
        }
      }
    }
    EXPECT_LE(rounds, lost == 0 ? 7 : 10);
  }
}

TEST(NeighboursStory, AreFewAndReachAllAlsoWhenAThirdIsGone) {
  std::set<int> there;
  for (int i = 0; i < 1'000; ++i) {
    if (i % 3 != 1) there.insert(i);
  }
  std::set<int> reached{0};
  int hops = 0;
  for (std::set<int> edge = reached; reached.size() < there.size() && hops < 100; ++hops) {
    std::set<int> next;
    for (const int router : edge) {
      const std::set<int> near = neighbours(router, there);
      EXPECT_LE(near.size(), 10U);
      EXPECT_FALSE(near.contains(router));
      next.insert(near.begin(), near.end());
    }
    edge = next;
    reached.insert(next.begin(), next.end());
  }
  EXPECT_EQ(reached, there);
  EXPECT_LE(hops, 10);
  EXPECT_TRUE(neighbours(4, {4}).empty());
  EXPECT_EQ(neighbours(4, {2}), std::set<int>{2});
}

// Any history of writes and exchanges, some lost, some told again later, against a plain table.
TEST(ReplicaLaw, AnyHistoryEndsAtThePlainTableOnceAllHaveMet) {
  EXPECT_TRUE(rc::check("copies come together", [] {
    constexpr int size = 4;
    std::vector<std::unique_ptr<Router>> fleet;
    for (int i = 0; i < size; ++i) fleet.push_back(std::make_unique<Router>(i));
    std::map<std::pair<int, std::string>, std::uint64_t> counts;
    std::map<std::string, std::uint32_t> ranks;
    std::vector<Batch> earlier;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, size), rc::gen::inRange(0, size),
                       rc::gen::inRange(0, 6)));
    for (const auto& [what, one, other, figure] : steps) {
      Router& router = *fleet[static_cast<std::size_t>(one)];
      Router& peer = *fleet[static_cast<std::size_t>(other)];
      const std::string key = "k" + std::to_string(figure % 3);
      if (what == 0) {
        const auto rank = static_cast<std::uint32_t>(figure);
        router.copy.write(0, Kind::mark, key, rank);
        ranks[key] = std::max(ranks[key], rank);
      } else if (what == 1) {
        std::uint64_t& count = counts[{one, key}];
        count = std::max<std::uint64_t>(count, static_cast<std::uint64_t>(figure));
        router.copy.write(0, Kind::quota, key, 0, static_cast<std::uint64_t>(figure));
      } else if (what == 2) {
        router.ask(peer, 0, static_cast<std::size_t>(figure));
      } else if (what == 3) {
        earlier.push_back(router.copy.lacking(0, peer.copy.summary(), all_words));  // told, and lost for now
      } else if (!earlier.empty()) {
        router.copy.apply(0, earlier[static_cast<std::size_t>(figure) % earlier.size()]);
      }
    }
    for (int round = 0; round < 2; ++round) {
      for (const auto& router : fleet) {
        for (const auto& peer : fleet) router->ask(*peer);
      }
    }
    for (const auto& router : fleet) {
      RC_ASSERT(router->copy.summary() == fleet[0]->copy.summary());
      RC_ASSERT(router->noted.differed == 0);
      for (const std::string key : {"k0", "k1", "k2"}) {
        std::uint64_t total = 0;
        for (int writer = 0; writer < size; ++writer) total += counts[{writer, key}];
        RC_ASSERT(router->copy.sum(Kind::quota, key) == total);
        RC_ASSERT(router->copy.strictest(Kind::mark, key) == ranks[key]);
      }
    }
  }));
}

// What one router told, in pieces, taken in any order and any number of times.
TEST(ReplicaLaw, MergingCommutesAndRepeatsHarmlessly) {
  EXPECT_TRUE(rc::check("order and repetition do not matter", [] {
    Router writer(1);
    std::vector<Batch> told;
    Router follower(2);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(1, 6)));
    for (const auto& [key, rank] : steps) {
      writer.copy.write(0, Kind::departure, std::to_string(key), static_cast<std::uint32_t>(rank));
      told.push_back(writer.copy.lacking(0, follower.copy.summary(), all_words));
      follower.copy.apply(0, told.back());
    }
    Router one(3), other(4);
    const auto order = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 50));
    for (Router* router : {&one, &other}) {
      for (const std::size_t index : order) {
        if (!told.empty()) router->copy.apply(0, told[index % told.size()]);
      }
      if (router == &one) {
        for (const Batch& batch : told) router->copy.apply(0, batch);
      } else {
        for (std::size_t turn = 0; turn < told.size(); ++turn) {
          for (auto it = told.rbegin(); it != told.rend(); ++it) router->copy.apply(0, *it);
        }
      }
    }
    RC_ASSERT(one.copy.summary() == writer.copy.summary());
    RC_ASSERT(other.copy.summary() == writer.copy.summary());
    RC_ASSERT(one.noted.differed + other.noted.differed == 0);
  }));
}

// Whatever was told and is told again, later by no more than the horizon is beyond a life: what has lapsed
// stays away.
TEST(ReplicaLaw, NothingLapsedComesBack) {
  EXPECT_TRUE(rc::check("no resurrection", [] {
    Bounds long_memory = bounds();
    long_memory.horizon = 200 * second;
    constexpr Time most_late = 170 * second;
    Router one(1, long_memory), other(2, long_memory);
    std::vector<std::pair<Time, Batch>> told;
    Time now = 0;
    const auto tell_again = [&](const std::pair<Time, Batch>& batch) {
      if (now - batch.first <= most_late) other.copy.apply(now, batch.second);
    };
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 6)));
    for (const auto& [what, figure] : steps) {
      now += figure * second / 2;
      one.copy.pass(now), other.copy.pass(now);
      if (what == 0) one.mark("e" + std::to_string(figure), Stage::taken, now);
      if (what == 1) other.ask(one, now);
      if (what == 2) told.emplace_back(now, one.copy.lacking(now, {}, all_words));
      if (what == 3 && !told.empty()) tell_again(told[static_cast<std::size_t>(figure) % told.size()]);
    }
    other.ask(one, now);
    now += 31 * second;
    one.copy.pass(now), other.copy.pass(now);
    other.ask(one, now);
    for (const auto& batch : told) tell_again(batch);
    RC_ASSERT(one.copy.size(Kind::mark) == 0U);
    RC_ASSERT(other.copy.size(Kind::mark) == 0U);
  }));
}

}  // namespace
}  // namespace rushhill::replica
