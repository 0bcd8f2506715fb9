// Guards against replicas that lose records, count them twice, bring back expired ones or do not converge.
// Routers write and exchange records in virtual time; exchanges are partial, lost, repeated or late.
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

struct CountingObserver final : ReplicaObserver {
  void full(Kind) override { ++limit_hits; }
  void on_divergence(const StreamId&, const Word& stands, const Word&) override {
    ++divergences;
    kept = stands;
  }
  void on_duplicate_writer(const Writer&) override { ++duplicate_writers; }
  void on_executed_twice(const std::string&, const Writer&, const Writer&) override { ++double_executions; }
  int limit_hits = 0, divergences = 0, duplicate_writers = 0, double_executions = 0;
  Word kept;
};

Bounds bounds(std::size_t max_own = 1'000, std::size_t max_all = 10'000) {
  Bounds result{.streams = 4'000, .horizon = 60 * second};
  result.life.fill(30 * second);
  result.own.fill(max_own);
  result.together.fill(max_all);
  return result;
}

constexpr std::size_t all_records = 1'000'000;

struct Router {
  explicit Router(int number, const Bounds& limits = bounds(), std::uint64_t incarnation = 1)
      : replica({number, incarnation}, limits, observer) {}
  std::uint64_t record(const std::string& request, Stage stage, Time now = 0) {
    return replica.write(now, Kind::deduplication, request, static_cast<std::uint32_t>(stage));
  }
  Stage stage(const std::string& request) const { return replica.stage(request); }
  // Exchanges versions with the other router and applies the records that this one lacks.
  void pull_from(Router& other, Time now = 0, std::size_t max_records = all_records) {
    other.replica.set_peer_versions(replica.me().router, replica.versions());
    const DeltaBatch batch = other.replica.deltas_for(now, replica.versions(), max_records);
    replica.set_peer_versions(other.replica.me().router, other.replica.versions());
    replica.apply(now, batch);
  }
  CountingObserver observer;
  Replica replica;
};

TEST(ReplicaTest, ARecordOutlivesTheRouterThatWroteIt) {
  Router second_router(2), third(3);
  {
    Router first(1);
    first.record("shop/17", Stage::admitted);
    first.record("shop/17", Stage::may_have_executed);
    second_router.pull_from(first);
  }
  third.pull_from(second_router);
  EXPECT_EQ(third.stage("shop/17"), Stage::may_have_executed);
  EXPECT_EQ(third.stage("shop/18"), Stage::none);
}

TEST(ReplicaTest, ARejectionElsewhereDoesNotHideThatTheRequestMayHaveBeenExecuted) {
  Router first(1), other(2);
  first.record("e", Stage::admitted);
  other.record("e", Stage::not_executed);
  first.pull_from(other);
  other.pull_from(first);
  EXPECT_EQ(first.stage("e"), Stage::admitted);
  EXPECT_EQ(other.stage("e"), Stage::admitted);
  first.record("e", Stage::executed);
  other.record("e", Stage::executed);
  EXPECT_EQ(other.observer.double_executions, 0);
  other.pull_from(first);
  EXPECT_EQ(other.observer.double_executions, 1);
}

TEST(ReplicaTest, ARestartedRouterGetsBackItsEarlierCountsAndNoneIsCountedTwice) {
  Router keeper(2);
  {
    Router before(1, bounds(), 11);
    for (std::uint64_t prewarms = 1; prewarms <= 5; ++prewarms)
      before.replica.write(0, Kind::load_budget, "bucket 7", 0, prewarms);
    before.replica.write(0, Kind::load_budget, "bucket 8", 0, 2);
    keeper.pull_from(before);
    keeper.pull_from(before);
  }
  Router after(1, bounds(), 12);
  EXPECT_EQ(after.replica.count_of_earlier_incarnations(Kind::load_budget), 0U);
  after.pull_from(keeper);
  EXPECT_EQ(after.replica.count_of_earlier_incarnations(Kind::load_budget), 7U);
  EXPECT_EQ(keeper.replica.total_count(Kind::load_budget, "bucket 7"), 5U);
  EXPECT_EQ(keeper.observer.duplicate_writers + after.observer.duplicate_writers, 0);
}

TEST(ReplicaTest, ARecordCountsAsHeldByThePeersThatReportedIt) {
  Router writer(1), near(2), far(3);
  const std::uint64_t number = writer.record("e", Stage::admitted);
  EXPECT_EQ(writer.replica.holder_count(Kind::deduplication, number), 0);
  near.pull_from(writer);
  EXPECT_EQ(writer.replica.holder_count(Kind::deduplication, number), 0)
      << "a record that was only sent does not count as held";
  near.pull_from(writer);
  EXPECT_EQ(writer.replica.holder_count(Kind::deduplication, number), 1);
  far.pull_from(near);
  writer.pull_from(far);
  EXPECT_EQ(writer.replica.holder_count(Kind::deduplication, number), 2);
  writer.replica.forget_peer(2);
  EXPECT_EQ(writer.replica.holder_count(Kind::deduplication, number), 1);
}

TEST(ReplicaTest, CatchingUpContinuesFromAnotherPeerAfterTheSenderDied) {
  Router other(2), late(3);
  {
    Router sender(1);
    for (int i = 0; i < 500; ++i) sender.record("e" + std::to_string(i), Stage::admitted);
    other.pull_from(sender);
    for (int round = 0; round < 4; ++round) late.pull_from(sender, 0, 50);
  }
  EXPECT_EQ(late.replica.size(Kind::deduplication), 200U);
  EXPECT_EQ(late.replica.missing_records(other.replica.versions()), 300U);
  for (int round = 0; round < 6; ++round) late.pull_from(other, 0, 50);
  EXPECT_EQ(late.replica.missing_records(other.replica.versions()), 0U);
  EXPECT_EQ(late.replica.versions(), other.replica.versions());
}

TEST(ReplicaTest, TheRankAndCountOfAKeyNeverDecrease) {
  Router router(1);
  const std::uint64_t first = router.replica.write(0, Kind::departure, "s1", 1, 9);
  EXPECT_EQ(router.replica.write(0, Kind::departure, "s1", 1, 4), first)
      << "neither value increased, so no record is written";
  EXPECT_GT(router.replica.write(0, Kind::departure, "s1", 2, 4), first);
  EXPECT_EQ(router.replica.total_count(Kind::departure, "s1"), 9U);
  EXPECT_EQ(router.replica.highest_rank(Kind::departure, "s1"), 2U);
}

// A replica that has received part of a stream lacks the later record that replaces an earlier one. This is
// no divergence; a property test below found the case.
TEST(ReplicaTest, AReplicaThatReceivedPartOfAStreamDoesNotDiverge) {
  Router writer(1), one(2), other(3);
  writer.record("a", Stage::admitted);
  writer.record("b", Stage::admitted);
  one.pull_from(writer);
  writer.record("a", Stage::executed);
  other.pull_from(writer, 0, 1);
  EXPECT_GT(other.replica.missing_records(writer.replica.versions()), 0U);
  other.pull_from(one);
  one.pull_from(other);
  EXPECT_EQ(one.observer.divergences + other.observer.divergences, 0);
  other.pull_from(writer);
  EXPECT_EQ(other.replica.versions(), writer.replica.versions());
}

TEST(ReplicaTest, AnExpiredRecordIsNotBroughtBackByARouterThatKeptItLonger) {
  Router writer(1), slow(2), returning(3);
  writer.record("e", Stage::executed);
  slow.pull_from(writer, second);
  // Applied late below, when its record seems to be only a second old.
  const DeltaBatch stale = slow.replica.deltas_for(second, {}, all_records);
  writer.replica.expire_records(30 * second);
  returning.pull_from(writer, 30 * second);
  EXPECT_EQ(writer.replica.size(Kind::deduplication), 0U);
  slow.pull_from(writer, 30 * second);
  EXPECT_EQ(slow.replica.size(Kind::deduplication), 0U) << "the expiry at the writer was passed on";
  slow.replica.apply(31 * second, stale);
  returning.pull_from(slow, 31 * second);
  EXPECT_EQ(slow.replica.size(Kind::deduplication) + returning.replica.size(Kind::deduplication), 0U);
}

TEST(ReplicaTest, ARouterThatWasIsolatedBeyondAllLifetimesSendsOnlyItsOwnRecords) {
  Bounds limits = bounds();
  limits.horizon = 100 * second;
  limits.life.fill(90 * second);
  Router one(1, limits), alone(2, limits), fresh(3, limits);
  one.record("old", Stage::admitted, second);
  alone.pull_from(one, second);
  alone.record("own", Stage::admitted, 80 * second);
  ASSERT_EQ(alone.replica.size(Kind::deduplication), 2U);
  fresh.pull_from(alone, 102 * second);
  EXPECT_EQ(fresh.stage("old"), Stage::none);
  EXPECT_EQ(fresh.stage("own"), Stage::admitted);
}

TEST(ReplicaTest, AtTheLimitNewRecordsAreRefusedAndOnlyOldHintsAreReplaced) {
  for (const Kind kind : {Kind::deduplication, Kind::load_budget, Kind::quota, Kind::departure}) {
    Router router(1, bounds(3, 5));
    for (int i = 0; i < 3; ++i) EXPECT_NE(router.replica.write(0, kind, std::to_string(i), 1, 1), 0U);
    EXPECT_EQ(router.replica.write(0, kind, "one more", 1, 1), 0U);
    EXPECT_EQ(router.observer.limit_hits, 1);
    EXPECT_NE(router.replica.write(0, kind, "1", 2, 1), 0U)
        << "the record of a known key can still be updated";
    EXPECT_NE(router.replica.write(31 * second, kind, "one more", 1, 1), 0U)
        << "the earlier records have expired";
  }
  Router router(1, bounds(3, 5));
  for (int i = 0; i < 5; ++i) router.replica.write(0, Kind::hint, std::to_string(i), 1);
  EXPECT_EQ(router.replica.size(Kind::hint), 3U);
  EXPECT_EQ(router.replica.highest_rank(Kind::hint, "4"), 1U);
  EXPECT_EQ(router.replica.highest_rank(Kind::hint, "0"), 0U);
}

TEST(ReplicaTest, AFullReplicaReportsTheLimitAndAppliesTheRestOnceRecordsHaveExpired) {
  Router one(1, bounds(4, 4)), other(2, bounds(4, 4)), third(3, bounds(4, 6));
  for (int i = 0; i < 4; ++i) one.record("a" + std::to_string(i), Stage::admitted, 0);
  for (int i = 0; i < 4; ++i) other.record("b" + std::to_string(i), Stage::admitted, 10 * second);
  third.pull_from(one, 10 * second);
  third.pull_from(other, 10 * second);
  EXPECT_EQ(third.replica.size(Kind::deduplication), 6U);
  EXPECT_GT(third.observer.limit_hits, 0);
  EXPECT_EQ(third.replica.missing_records(other.replica.versions()), 2U);
  third.replica.expire_records(30 * second);
  third.pull_from(other, 30 * second);
  EXPECT_EQ(third.stage("b3"), Stage::admitted);
}

TEST(ReplicaTest, DivergingReplicasAreDetectedAndTheHigherRankIsKeptEverywhere) {
  Router writer(1), one(2), other(3);
  for (int i = 0; i < 20; ++i) writer.record("e" + std::to_string(i), Stage::admitted);
  one.pull_from(writer);
  // As after a faulty merge or a memory error, one record differs under the same number.
  DeltaBatch wrong = writer.replica.deltas_for(0, {}, all_records);
  wrong[0].words[13].rank = static_cast<std::uint32_t>(Stage::executed);
  other.replica.apply(0, wrong);
  for (int round = 0; round < 10; ++round) one.pull_from(other, 0, 4), other.pull_from(one, 0, 4);
  EXPECT_EQ(one.stage("e13"), Stage::executed);
  EXPECT_EQ(one.replica.versions(), other.replica.versions());
  EXPECT_EQ(one.observer.divergences, 1);
  EXPECT_EQ(one.observer.kept.key, "e13");
}

TEST(ReplicaTest, ASecondRouterWithTheSameNumberAndIncarnationIsDetected) {
  Router original(1), keeper(2);
  {
    Router twin(1);
    twin.record("e", Stage::admitted);
    keeper.pull_from(twin);
  }
  original.pull_from(keeper);
  EXPECT_GT(original.observer.duplicate_writers, 0);
  EXPECT_EQ(original.stage("e"), Stage::none);
}

TEST(ReplicaTest, InvalidDeltasAreNotApplied) {
  const StreamId stream{Kind::deduplication, {7, 1}};
  const std::vector<Piece> deltas{
      {.stream = stream,
       .after = 5,
       .expired_through = 0,
       .through = 6,
       .words = {{.number = 6, .key = "hole", .rank = 1}}},
      {.stream = stream, .after = 0, .expired_through = 9, .through = 3, .words = {}},
      {.stream = stream,
       .after = 0,
       .expired_through = 0,
       .through = 1,
       .words = {{.number = 2, .key = "beyond", .rank = 1}}},
      {.stream = stream,
       .after = 0,
       .expired_through = 0,
       .through = 1,
       .words = {{.number = 0, .key = "none", .rank = 1}}},
      {.stream = stream,
       .after = 0,
       .expired_through = 0,
       .through = 1,
       .words = {{.number = 1, .key = "early", .rank = 1, .age = -1}}},
      {.stream = stream,
       .after = 0,
       .expired_through = 0,
       .through = 1,
       .words = {{.number = 1, .key = std::string(600, 'x'), .rank = 1}}}};
  Router router(1);
  for (const Piece& delta : deltas) router.replica.apply(0, {delta});
  EXPECT_EQ(router.replica.size(Kind::deduplication), 0U);
  EXPECT_TRUE(router.replica.versions().empty());
}

// In each round every router pulls from its neighbours in turn, and a share of the exchanges is lost.
TEST(ReplicaTest, EveryRecordReachesAllRoutersInALogarithmicNumberOfRounds) {
  for (const double lost : {0.0, 0.3}) {
    std::ranlux24_base generator(4);
    constexpr int size = 100;
    std::vector<std::unique_ptr<Router>> fleet;
    std::set<int> reachable;
    for (int i = 0; i < size; ++i) fleet.push_back(std::make_unique<Router>(i)), reachable.insert(i);
    for (int i = 0; i < size; i += 7)
      fleet[static_cast<std::size_t>(i)]->record("e" + std::to_string(i), Stage::admitted);
    int rounds = 0;
    const auto complete = [&] {
      return std::ranges::all_of(
          fleet, [](const auto& router) { return router->replica.size(Kind::deduplication) == 15; });
    };
    for (; !complete() && rounds < 50; ++rounds) {
      for (int i = 0; i < size; ++i) {
        for (const int near : select_neighbours(i, reachable)) {
          if (static_cast<double>(generator() % 1'000) < 1'000 * lost) continue;
          fleet[static_cast<std::size_t>(i)]->pull_from(*fleet[static_cast<std::size_t>(near)]);
        }
      }
    }
    EXPECT_LE(rounds, lost == 0 ? 7 : 10);
  }
}

TEST(NeighboursTest, AreFewAndConnectAllRoutersAlsoWhenAThirdIsGone) {
  std::set<int> reachable;
  for (int i = 0; i < 1'000; ++i) {
    if (i % 3 != 1) reachable.insert(i);
  }
  std::set<int> reached{0};
  int hops = 0;
  for (std::set<int> edge = reached; reached.size() < reachable.size() && hops < 100; ++hops) {
    std::set<int> next;
    for (const int router : edge) {
      const std::set<int> near = select_neighbours(router, reachable);
      EXPECT_LE(near.size(), 10U);
      EXPECT_FALSE(near.contains(router));
      next.insert(near.begin(), near.end());
    }
    edge = next;
    reached.insert(next.begin(), next.end());
  }
  EXPECT_EQ(reached, reachable);
  EXPECT_LE(hops, 10);
  EXPECT_TRUE(select_neighbours(4, {4}).empty());
  EXPECT_EQ(select_neighbours(4, {2}), std::set<int>{2});
}

// Compares the result of any history of writes and exchanges, some of them lost or late, with a plain table.
TEST(ReplicaPropertyTest, AllReplicasMatchThePlainTableOnceAllHaveExchangedState) {
  EXPECT_TRUE(rc::check("replicas converge", [] {
    constexpr int size = 4;
    std::vector<std::unique_ptr<Router>> fleet;
    for (int i = 0; i < size; ++i) fleet.push_back(std::make_unique<Router>(i));
    std::map<std::pair<int, std::string>, std::uint64_t> counts;
    std::map<std::string, std::uint32_t> ranks;
    std::vector<DeltaBatch> delayed;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, size), rc::gen::inRange(0, size),
                       rc::gen::inRange(0, 6)));
    for (const auto& [action, one, other, value] : steps) {
      Router& router = *fleet[static_cast<std::size_t>(one)];
      Router& peer = *fleet[static_cast<std::size_t>(other)];
      const std::string key = "k" + std::to_string(value % 3);
      if (action == 0) {
        const auto rank = static_cast<std::uint32_t>(value);
        router.replica.write(0, Kind::deduplication, key, rank);
        ranks[key] = std::max(ranks[key], rank);
      } else if (action == 1) {
        std::uint64_t& count = counts[{one, key}];
        count = std::max<std::uint64_t>(count, static_cast<std::uint64_t>(value));
        router.replica.write(0, Kind::quota, key, 0, static_cast<std::uint64_t>(value));
      } else if (action == 2) {
        router.pull_from(peer, 0, static_cast<std::size_t>(value));
      } else if (action == 3) {
        delayed.push_back(
            router.replica.deltas_for(0, peer.replica.versions(), all_records));  // applied later, or never
      } else if (!delayed.empty()) {
        router.replica.apply(0, delayed[static_cast<std::size_t>(value) % delayed.size()]);
      }
    }
    for (int round = 0; round < 2; ++round) {
      for (const auto& router : fleet) {
        for (const auto& peer : fleet) router->pull_from(*peer);
      }
    }
    for (const auto& router : fleet) {
      RC_ASSERT(router->replica.versions() == fleet[0]->replica.versions());
      RC_ASSERT(router->observer.divergences == 0);
      for (const std::string key : {"k0", "k1", "k2"}) {
        std::uint64_t total = 0;
        for (int writer = 0; writer < size; ++writer) total += counts[{writer, key}];
        RC_ASSERT(router->replica.total_count(Kind::quota, key) == total);
        RC_ASSERT(router->replica.highest_rank(Kind::deduplication, key) == ranks[key]);
      }
    }
  }));
}

// Applies the deltas of one writer in any order and any number of times.
TEST(ReplicaPropertyTest, MergingIsCommutativeAndIdempotent) {
  EXPECT_TRUE(rc::check("order and repetition do not matter", [] {
    Router writer(1);
    std::vector<DeltaBatch> sent;
    Router follower(2);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(1, 6)));
    for (const auto& [key, rank] : steps) {
      writer.replica.write(0, Kind::departure, std::to_string(key), static_cast<std::uint32_t>(rank));
      sent.push_back(writer.replica.deltas_for(0, follower.replica.versions(), all_records));
      follower.replica.apply(0, sent.back());
    }
    Router one(3), other(4);
    const auto order = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 50));
    for (Router* router : {&one, &other}) {
      for (const std::size_t index : order) {
        if (!sent.empty()) router->replica.apply(0, sent[index % sent.size()]);
      }
      if (router == &one) {
        for (const DeltaBatch& batch : sent) router->replica.apply(0, batch);
      } else {
        for (std::size_t round = 0; round < sent.size(); ++round) {
          for (auto it = sent.rbegin(); it != sent.rend(); ++it) router->replica.apply(0, *it);
        }
      }
    }
    RC_ASSERT(one.replica.versions() == writer.replica.versions());
    RC_ASSERT(other.replica.versions() == writer.replica.versions());
    RC_ASSERT(one.observer.divergences + other.observer.divergences == 0);
  }));
}

// Deltas that are late by no more than the stream retention exceeds the lifetime do not bring back expired
// records.
TEST(ReplicaPropertyTest, NoExpiredRecordComesBack) {
  EXPECT_TRUE(rc::check("expired records stay away", [] {
    Bounds limits = bounds();
    limits.horizon = 200 * second;
    constexpr Time max_delay = 170 * second;
    Router one(1, limits), other(2, limits);
    std::vector<std::pair<Time, DeltaBatch>> sent;
    Time now = 0;
    const auto apply_late = [&](const std::pair<Time, DeltaBatch>& batch) {
      if (now - batch.first <= max_delay) other.replica.apply(now, batch.second);
    };
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 6)));
    for (const auto& [action, value] : steps) {
      now += value * second / 2;
      one.replica.expire_records(now), other.replica.expire_records(now);
      if (action == 0) one.record("e" + std::to_string(value), Stage::admitted, now);
      if (action == 1) other.pull_from(one, now);
      if (action == 2) sent.emplace_back(now, one.replica.deltas_for(now, {}, all_records));
      if (action == 3 && !sent.empty()) apply_late(sent[static_cast<std::size_t>(value) % sent.size()]);
    }
    other.pull_from(one, now);
    now += 31 * second;
    one.replica.expire_records(now), other.replica.expire_records(now);
    other.pull_from(one, now);
    for (const auto& batch : sent) apply_late(batch);
    RC_ASSERT(one.replica.size(Kind::deduplication) == 0U);
    RC_ASSERT(other.replica.size(Kind::deduplication) == 0U);
  }));
}

}  // namespace
}  // namespace rushhill::replica
