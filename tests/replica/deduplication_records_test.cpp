// Guards against a request that is executed twice because two routers admit it, or because a restarted router
// has lost its records. Several routers admit requests, some of them the same, over links that deliver bytes
// in pieces, break or are blocked, while routers restart without their records. A plain count of the
// executions of each request is the judge.
#include "replica/deduplication_records.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <random>

#include "replica/conversation.h"

namespace rushhill::replica {
namespace {

constexpr Time second = 10'000;

struct IgnoringObserver final : ReplicaObserver {
  void full(Kind) override {}
  void on_divergence(const StreamId&, const Word&, const Word&) override {}
  void on_duplicate_writer(const Writer&) override {}
  void on_executed_twice(const std::string&, const Writer&, const Writer&) override {}
};

Bounds bounds(std::size_t own_records = 1'000) {
  Bounds result{.streams = 4'000, .horizon = 600 * second};
  result.life.fill(300 * second);
  result.own.fill(own_records);
  result.together.fill(20 * own_records);
  return result;
}

class BufferedConnection final : public Line {
 public:
  void send(const std::string& bytes) override { buffer += bytes; }
  std::size_t unsent() const override { return buffer.size(); }
  std::string take_bytes(std::size_t max_bytes) {
    std::string bytes = buffer.substr(0, max_bytes);
    buffer.erase(0, bytes.size());
    return bytes;
  }
  std::string buffer;
};

struct FleetConfig {
  int routers = 5, required_holders = 2;
  DeduplicationLevel level = DeduplicationLevel::held;
  bool counts_as_holder_at_start = false;  // a planted fault
};

// Counts the executions of each request over all routers.
struct ExecutionCheck {
  std::map<std::string, int> counts;
  bool any_twice = false;
  void on_executed(const std::string& key) { any_twice |= ++counts[key] > 1; }
};

class Router final : Taker {
 public:
  Router(int number, std::uint64_t incarnation, const FleetConfig& config, ExecutionCheck& executions)
      : replica({number, incarnation}, bounds(), observer),
        marks(replica, config.routers, config.required_holders, *this), executions_(executions) {
    replica.set_recovered(config.counts_as_holder_at_start);
    hello.name = "n" + std::to_string(number);
    hello.writer = replica.me();
  }
  Taking admit(const std::string& key, DeduplicationLevel level, Time now = 0) {
    keys_[++last_request_] = key;
    const Taking result = marks.take(now, last_request_, key, level, now + second);
    if (result == Taking::go) executions_.on_executed(key);
    return result;
  }
  IgnoringObserver observer;
  Replica replica;
  DeduplicationRecords marks;
  Hello hello;
  std::vector<std::string> admitted, duplicates, timed_out;

 private:
  void on_admitted(std::int64_t request) override {
    admitted.push_back(keys_.at(request)), executions_.on_executed(keys_.at(request));
  }
  void on_duplicate(std::int64_t request) override {
    duplicates.push_back(keys_.at(request));
    marks.ended(0, keys_.at(request), Stage::not_executed);
  }
  void on_replication_timeout(std::int64_t request) override {
    timed_out.push_back(keys_.at(request));
    marks.ended(0, keys_.at(request), Stage::not_executed);
  }
  ExecutionCheck& executions_;
  std::map<std::int64_t, std::string> keys_;
  std::int64_t last_request_ = 0;
};

// All routers, and a link between any two of them.
class Fleet {
 public:
  explicit Fleet(const FleetConfig& fleet_config, bool recovered_at_start = true) : config(fleet_config) {
    for (int i = 0; i < config.routers; ++i)
      routers.push_back(std::make_unique<Router>(i, ++last_incarnation_, config, executions));
    for (int i = 0; i < config.routers; ++i) {
      if (recovered_at_start) routers[static_cast<std::size_t>(i)]->replica.set_recovered(true);
      for (int k = 0; k < i; ++k) connect(k, i);
    }
  }
  Router& operator[](int i) { return *routers[static_cast<std::size_t>(i)]; }

  void connect(int a, int b) {
    Link& link = links_[{std::min(a, b), std::max(a, b)}];
    link = {};
    (*this)[a].replica.forget_peer(b), (*this)[b].replica.forget_peer(a);
    link.conversations[0] = std::make_unique<Conversation>(
        (*this)[std::min(a, b)].hello, (*this)[std::min(a, b)].replica, *link.connections[0], SyncLimits{});
    link.conversations[1] = std::make_unique<Conversation>(
        (*this)[std::max(a, b)].hello, (*this)[std::max(a, b)].replica, *link.connections[1], SyncLimits{});
    for (const auto& conversation : link.conversations) conversation->opened();
  }
  // Delivers at most `max_bytes` in each direction and lets both routers act on them.
  void deliver(int a, int b, std::size_t max_bytes = 1'000'000) {
    Link& link = links_.at({std::min(a, b), std::max(a, b)});
    if (link.blocked) return;
    const std::string to_second = link.connections[0]->take_bytes(max_bytes),
                      to_first = link.connections[1]->take_bytes(max_bytes);
    ASSERT_TRUE(link.conversations[1]->arrived(now, to_second)) << link.conversations[1]->reason();
    ASSERT_TRUE(link.conversations[0]->arrived(now, to_first)) << link.conversations[0]->reason();
    for (const int router : {a, b}) {
      (*this)[router].marks.heard();
      update_recovered(router);
    }
    for (const auto& conversation : link.conversations) conversation->turn(now);
  }
  void set_blocked(int a, int b, bool blocked) {
    links_.at({std::min(a, b), std::max(a, b)}).blocked = blocked;
  }
  void deliver_all(int rounds = 12) {
    for (int i = 0; i < rounds; ++i) {
      now += 1'000;
      for (const auto& [pair, link] : links_) deliver(pair.first, pair.second);
    }
  }
  void restart(int i) {
    routers[static_cast<std::size_t>(i)] = nullptr;
    for (int k = 0; k < config.routers; ++k) {
      if (k != i) links_.erase({std::min(i, k), std::max(i, k)});
    }
    routers[static_cast<std::size_t>(i)] =
        std::make_unique<Router>(i, ++last_incarnation_, config, executions);
    for (int k = 0; k < config.routers; ++k) {
      if (k != i) connect(i, k);
    }
  }
  void update_recovered(int i) {
    int synchronized = 0, recovered = 0;
    for (const auto& [pair, link] : links_) {
      if (pair.first != i && pair.second != i) continue;
      const Conversation& conversation = *link.conversations[pair.first == i ? 0 : 1];
      synchronized += conversation.has_initial_records() ? 1 : 0;
      recovered += conversation.has_initial_records() && conversation.peer_recovered() ? 1 : 0;
    }
    if (settled(config.routers, config.required_holders, synchronized, recovered))
      (*this)[i].replica.set_recovered(true);
  }
  bool all_recovered() const {
    return std::ranges::all_of(routers, [](const auto& router) { return router->replica.recovered(); });
  }

  FleetConfig config;
  ExecutionCheck executions;
  std::vector<std::unique_ptr<Router>> routers;
  Time now = 1;

 private:
  struct Link {
    std::array<std::unique_ptr<BufferedConnection>, 2> connections{std::make_unique<BufferedConnection>(),
                                                                   std::make_unique<BufferedConnection>()};
    std::array<std::unique_ptr<Conversation>, 2> conversations;
    bool blocked = false;
  };
  std::map<std::pair<int, int>, Link> links_;
  std::uint64_t last_incarnation_ = 0;
};

TEST(DeduplicationRecordsTest, AdmitsARequestOnceEnoughOthersHaveItsRecordAndNowhereAfterwards) {
  Fleet fleet({});
  fleet.deliver_all();
  EXPECT_EQ(fleet[0].admit("e", DeduplicationLevel::held), Taking::wait);
  EXPECT_TRUE(fleet[0].admitted.empty());
  fleet.deliver_all(3);
  EXPECT_EQ(fleet[0].admitted, std::vector<std::string>{"e"});
  EXPECT_EQ(fleet[3].admit("e", DeduplicationLevel::held), Taking::known);
  EXPECT_EQ(fleet[0].admit("e", DeduplicationLevel::held), Taking::known)
      << "a duplicate that the same router receives is rejected, too";
}

TEST(DeduplicationRecordsTest, EveryRouterRejectsADuplicateAfterTheAdmittingRouterRestarted) {
  Fleet fleet({});
  fleet.deliver_all();
  fleet[0].admit("e", DeduplicationLevel::held);
  fleet.deliver_all(3);
  fleet.restart(0);
  fleet.deliver_all();
  for (int i = 0; i < 5; ++i) EXPECT_EQ(fleet[i].admit("e", DeduplicationLevel::held), Taking::known) << i;
}

TEST(DeduplicationRecordsTest, OfTwoConcurrentAdmissionsExactlyOneSucceeds) {
  Fleet fleet({});
  fleet.deliver_all();
  fleet[0].admit("e", DeduplicationLevel::held);
  fleet[4].admit("e", DeduplicationLevel::held);
  fleet.deliver_all();
  EXPECT_EQ(fleet[0].admitted.size() + fleet[4].admitted.size(), 1U);
  EXPECT_EQ(fleet[0].admitted.size() + fleet[0].duplicates.size(), 1U) << "each admission was decided";
  EXPECT_EQ(fleet[4].admitted.size() + fleet[4].duplicates.size(), 1U);
}

TEST(DeduplicationRecordsTest, RejectsARequestWhoseRecordIsNotReplicatedInTimeAndAdmitsItLater) {
  Fleet fleet({});
  fleet.deliver_all();
  for (int i = 1; i < 5; ++i) fleet.set_blocked(0, i, true);
  fleet[0].admit("e", DeduplicationLevel::held, fleet.now);
  fleet.deliver_all();
  fleet[0].marks.pass(fleet.now + second);
  EXPECT_EQ(fleet[0].timed_out, std::vector<std::string>{"e"});
  EXPECT_EQ(fleet[0].marks.next(), 0);
  for (int i = 1; i < 5; ++i) fleet.set_blocked(0, i, false);
  fleet.deliver_all();
  EXPECT_TRUE(fleet[0].admitted.empty()) << "the deadline had passed";
  EXPECT_EQ(fleet[2].admit("e", DeduplicationLevel::held), Taking::wait);
  fleet.deliver_all();
  EXPECT_EQ(fleet[2].admitted, std::vector<std::string>{"e"});
  fleet[2].marks.ended(fleet.now, "e", Stage::not_executed);
  EXPECT_EQ(fleet[2].admit("e", DeduplicationLevel::held), Taking::wait)
      << "this router rejected the request without executing it, so it may be admitted again";
}

TEST(DeduplicationRecordsTest, ARestartedRouterIsNoHolderBeforeItHasRecoveredItsRecords) {
  Fleet fleet({});
  fleet.deliver_all();
  // Router 0 admits the request, and only routers 1 and 2 hold its record. Then router 0 is cut off for good,
  // and router 1 restarts without its records.
  for (const int other : {3, 4}) fleet.set_blocked(0, other, true);
  for (const int holder : {1, 2}) {
    for (const int other : {3, 4}) fleet.set_blocked(holder, other, true);
  }
  fleet[0].admit("e", DeduplicationLevel::held);
  fleet.deliver_all();
  ASSERT_EQ(fleet[0].admitted.size(), 1U);
  fleet.restart(1);
  for (int i = 1; i < 5; ++i) fleet.set_blocked(0, i, true);
  fleet.set_blocked(1, 2, true);  // so it cannot recover the record from router 2
  fleet.deliver_all();
  EXPECT_FALSE(fleet[1].replica.recovered())
      << "it has synchronized with two of the three routers that it needs";
  EXPECT_EQ(fleet[3].admit("e", DeduplicationLevel::held), Taking::wait);
  fleet.deliver_all();
  EXPECT_TRUE(fleet[3].admitted.empty())
      << "router 4 holds the record, but router 1 does not count as a holder";
  fleet.set_blocked(1, 2, false);
  fleet.deliver_all();
  EXPECT_TRUE(fleet[1].replica.recovered());
  EXPECT_TRUE(fleet[3].admitted.empty())
      << "router 1 has recovered the record of router 0 and reports the new one as contested";
  fleet[3].marks.pass(fleet.now + second);
  EXPECT_EQ(fleet[3].duplicates, std::vector<std::string>{"e"});
}

TEST(DeduplicationRecordsTest, AFleetThatStartsAtOnceRecoversBySynchronizingWithAllRouters) {
  Fleet fleet({}, false);
  EXPECT_FALSE(fleet.all_recovered());
  fleet.deliver_all();
  EXPECT_TRUE(fleet.all_recovered());
}

TEST(DeduplicationRecordsTest, AdmitsNothingAboveTheLimitAndDistinguishesLongKeys) {
  IgnoringObserver observer;
  Replica replica({1, 1}, bounds(2), observer);
  ExecutionCheck executions;
  struct UnusedObserver final : Taker {
    void on_admitted(std::int64_t) override {}
    void on_duplicate(std::int64_t) override {}
    void on_replication_timeout(std::int64_t) override {}
  } unused_observer;
  DeduplicationRecords marks(replica, 1, 0, unused_observer);
  const std::string long_source(5'000, 'x');
  EXPECT_EQ(marks.take(0, 1, deduplication_key(long_source, "1"), DeduplicationLevel::held, second),
            Taking::go)
      << "no other router has to hold the record";
  EXPECT_EQ(marks.take(0, 2, deduplication_key(long_source, "2"), DeduplicationLevel::announced, second),
            Taking::go);
  EXPECT_EQ(marks.take(0, 3, deduplication_key(long_source, "1"), DeduplicationLevel::announced, second),
            Taking::known);
  EXPECT_EQ(marks.take(0, 4, deduplication_key("/shop", "17"), DeduplicationLevel::announced, second),
            Taking::full);
  EXPECT_NE(deduplication_key("a", "b c"), deduplication_key("a b", "c"));
}

// Returns whether a request was executed twice in a history of admissions, deliveries of bytes, broken and
// blocked links, and restarts of one router at a time.
bool executes_twice(const FleetConfig& config, const std::vector<std::uint32_t>& steps) {
  Fleet fleet(config);
  fleet.deliver_all(4);
  for (const std::uint32_t step : steps) {
    auto draw = [rest = step / 16](std::uint32_t choices) mutable {
      const std::uint32_t chosen = rest % choices;
      rest /= choices;
      return static_cast<int>(chosen);
    };
    const auto routers = static_cast<std::uint32_t>(config.routers);
    const int first = draw(routers), other = (first + 1 + draw(routers - 1)) % config.routers;
    fleet.now += 100;
    switch (step % 16) {
      case 0:
        if (fleet.all_recovered()) fleet.restart(first);
        break;
      case 1:
        fleet.connect(first, other);
        break;
      case 2:
        fleet.set_blocked(first, other, draw(2) == 0);
        break;
      case 3:
      case 4:
      case 5:
        if (fleet[first].replica.recovered())
          fleet[first].admit("e" + std::to_string(draw(4)), config.level, fleet.now);
        break;
      case 6:
        fleet[first].marks.pass(fleet.now - second);
        break;
      default:
        fleet.deliver(first, other, draw(3) == 0 ? 40 : 100'000);
    }
  }
  return fleet.executions.any_twice;
}

// Returns the index of the first history in which a request was executed twice, or -1 if there is none. The
// seed is fixed, so that every planted fault is looked for in the same histories on all machines.
int first_history_with_double_execution(const FleetConfig& config, int histories) {
  std::mt19937 generator(20261201);
  for (int i = 0; i < histories; ++i) {
    std::vector<std::uint32_t> steps(400);
    for (std::uint32_t& step : steps) step = static_cast<std::uint32_t>(generator());
    if (executes_twice(config, steps)) return i;
  }
  return -1;
}

TEST(DeduplicationRecordsPropertyTest, NoHistoryExecutesARequestWithAReplicatedRecordTwice) {
  rc::check("more than half of the routers hold each record, and one restarts at a time",
            [](const std::vector<std::uint32_t>& steps) { RC_ASSERT(!executes_twice({}, steps)); });
  EXPECT_EQ(first_history_with_double_execution({}, 60), -1);
  EXPECT_EQ(first_history_with_double_execution({.routers = 3, .required_holders = 1}, 60), -1);
  EXPECT_EQ(first_history_with_double_execution({.routers = 4, .required_holders = 2}, 60), -1);
}

TEST(DeduplicationRecordsPropertyTest, EachPlantedFaultExecutesSomeRequestTwice) {
  const auto expect_found = [](const char* fault, const FleetConfig& config) {
    const int history = first_history_with_double_execution(config, 300);
    EXPECT_GE(history, 0) << fault;
    testing::Test::RecordProperty(fault, history);
  };
  expect_found("nobody_is_waited_for", {.level = DeduplicationLevel::announced});
  expect_found("held_by_too_few", {.required_holders = 1});
  expect_found("who_forgot_counts_as_a_holder", {.counts_as_holder_at_start = true});
}

}  // namespace
}  // namespace rushhill::replica
