// Several routers take events, some of them the same, over ways that carry bytes in pieces, break, and
// routers that start again having forgotten everything. Who may run an event is judged by the test's own
// plain list.
#include "replica/marks.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <random>

#include "replica/conversation.h"

namespace rushhill::replica {
namespace {

constexpr Time second = 10'000;

struct Quiet final : Findings {
  void full(Kind) override {}
  void copies_differed(const StreamId&, const Word&, const Word&) override {}
  void second_of_us(const Writer&) override {}
  void honoured_twice(const std::string&, const Writer&, const Writer&) override {}
};

Bounds bounds(std::size_t marks = 1'000) {
  Bounds told{.streams = 4'000, .horizon = 600 * second};
  told.life.fill(300 * second);
  told.own.fill(marks);
  told.together.fill(20 * marks);
  return told;
}

class MemoryLine final : public Line {
 public:
  void send(const std::string& bytes) override { out += bytes; }
  std::size_t unsent() const override { return out.size(); }
  std::string take(std::size_t most) {
    std::string bytes = out.substr(0, most);
    out.erase(0, bytes.size());
    return bytes;
  }
  std::string out;
};

struct Plan {
  int routers = 5, others = 2;
  MarkLevel level = MarkLevel::held;
  bool trusts_at_once = false;  // planted: a router that has forgotten counts as a holder
};

// Events that went at some router, and have not been said unrun since.
struct Ran {
  std::map<std::string, int> times;
  bool twice = false;
  void went(const std::string& mark) { twice |= ++times[mark] > 1; }
};

class Node final : Taker {
 public:
  Node(int number, std::uint64_t life, const Plan& plan, Ran& ran)
      : copy({number, life}, bounds(), quiet), marks(copy, plan.routers, plan.others, *this), ran_(ran) {
    copy.vouch(plan.trusts_at_once);
    hello.name = "n" + std::to_string(number);
    hello.writer = copy.me();
  }
  Taking take(const std::string& mark, MarkLevel level, Time now = 0) {
    names_[++last_] = mark;
    const Taking how = marks.take(now, last_, mark, level, now + second);
    if (how == Taking::go) ran_.went(mark);
    return how;
  }
  Quiet quiet;
  Replica copy;
  Marks marks;
  Hello hello;
  std::vector<std::string> gone, elsewhere, dropped;

 private:
  void may_go(std::int64_t event) override { gone.push_back(names_.at(event)), ran_.went(names_.at(event)); }
  void taken_elsewhere(std::int64_t event) override {
    elsewhere.push_back(names_.at(event));
    marks.ended(0, names_.at(event), Stage::shed);
  }
  void not_held(std::int64_t event) override {
    dropped.push_back(names_.at(event));
    marks.ended(0, names_.at(event), Stage::shed);
  }
  Ran& ran_;
  std::map<std::int64_t, std::string> names_;
  std::int64_t last_ = 0;
};

// All routers, and a way between every two.
class Fleet {
 public:
  explicit Fleet(const Plan& of, bool long_up = true) : plan(of) {
    for (int i = 0; i < plan.routers; ++i) nodes.push_back(std::make_unique<Node>(i, ++lives_, plan, ran));
    for (int i = 0; i < plan.routers; ++i) {
      if (long_up) nodes[static_cast<std::size_t>(i)]->copy.vouch(true);
      for (int k = 0; k < i; ++k) join(k, i);
    }
  }
  Node& operator[](int i) { return *nodes[static_cast<std::size_t>(i)]; }

  void join(int a, int b) {
    Way& way = ways_[{std::min(a, b), std::max(a, b)}];
    way = {};
    (*this)[a].copy.forget(b), (*this)[b].copy.forget(a);
    way.talks[0] = std::make_unique<Conversation>((*this)[std::min(a, b)].hello, (*this)[std::min(a, b)].copy,
                                                  *way.lines[0], Pace{});
    way.talks[1] = std::make_unique<Conversation>((*this)[std::max(a, b)].hello, (*this)[std::max(a, b)].copy,
                                                  *way.lines[1], Pace{});
    for (const auto& talk : way.talks) talk->opened();
  }
  // At most so many bytes each way; what they bring about follows.
  void carry(int a, int b, std::size_t most = 1'000'000) {
    Way& way = ways_.at({std::min(a, b), std::max(a, b)});
    if (way.held) return;
    const std::string there = way.lines[0]->take(most), back = way.lines[1]->take(most);
    ASSERT_TRUE(way.talks[1]->arrived(now, there)) << way.talks[1]->reason();
    ASSERT_TRUE(way.talks[0]->arrived(now, back)) << way.talks[0]->reason();
    for (const int one : {a, b}) {
      (*this)[one].marks.heard();
      settle(one);
    }
    for (const auto& talk : way.talks) talk->turn(now);
  }
  void hold(int a, int b, bool on) { ways_.at({std::min(a, b), std::max(a, b)}).held = on; }
  void carry_all(int times = 12) {
    for (int i = 0; i < times; ++i) {
      now += 1'000;
      for (const auto& [pair, way] : ways_) carry(pair.first, pair.second);
    }
  }
  void restart(int i) {
    nodes[static_cast<std::size_t>(i)] = nullptr;
    for (int k = 0; k < plan.routers; ++k) {
      if (k != i) ways_.erase({std::min(i, k), std::max(i, k)});
    }
    nodes[static_cast<std::size_t>(i)] = std::make_unique<Node>(i, ++lives_, plan, ran);
    for (int k = 0; k < plan.routers; ++k) {
      if (k != i) join(i, k);
    }
  }
  void settle(int i) {
    int all = 0, vouching = 0;
    for (const auto& [pair, way] : ways_) {
      if (pair.first != i && pair.second != i) continue;
      const Conversation& talk = *way.talks[pair.first == i ? 0 : 1];
      all += talk.learnt() ? 1 : 0;
      vouching += talk.learnt() && talk.other_vouches() ? 1 : 0;
    }
    if (settled(plan.routers, plan.others, all, vouching)) (*this)[i].copy.vouch(true);
  }
  bool all_vouch() const {
    return std::ranges::all_of(nodes, [](const auto& node) { return node->copy.vouches(); });
  }

  Plan plan;
  Ran ran;
  std::vector<std::unique_ptr<Node>> nodes;
  Time now = 1;

 private:
  struct Way {
    std::array<std::unique_ptr<MemoryLine>, 2> lines{std::make_unique<MemoryLine>(),
                                                     std::make_unique<MemoryLine>()};
    std::array<std::unique_ptr<Conversation>, 2> talks;
    bool held = false;
  };
  std::map<std::pair<int, int>, Way> ways_;
  std::uint64_t lives_ = 0;
};

TEST(MarksStory, AnEventGoesOnceEnoughOthersHaveItsMarkAndNowhereElseAfter) {
  Fleet fleet({});
  fleet.carry_all();
  EXPECT_EQ(fleet[0].take("e", MarkLevel::held), Taking::wait);
  EXPECT_TRUE(fleet[0].gone.empty());
  fleet.carry_all(3);
  EXPECT_EQ(fleet[0].gone, std::vector<std::string>{"e"});
  EXPECT_EQ(fleet[3].take("e", MarkLevel::held), Taking::known);
  EXPECT_EQ(fleet[0].take("e", MarkLevel::held), Taking::known) << "sent twice to one router, too";
}

TEST(MarksStory, TheRouterThatDiedBetweenShotAndAnswerIsSpokenForByTheOthers) {
  Fleet fleet({});
  fleet.carry_all();
  fleet[0].take("e", MarkLevel::held);
  fleet.carry_all(3);
  fleet.restart(0);
  fleet.carry_all();
  for (int i = 0; i < 5; ++i) EXPECT_EQ(fleet[i].take("e", MarkLevel::held), Taking::known) << i;
}

TEST(MarksStory, OfTwoThatTakeOneEventAtOnceTheOneThatReachedMoreFirstGoes) {
  Fleet fleet({});
  fleet.carry_all();
  fleet[0].take("e", MarkLevel::held);
  fleet[4].take("e", MarkLevel::held);
  fleet.carry_all();
  EXPECT_EQ(fleet[0].gone.size() + fleet[4].gone.size(), 1U);
  EXPECT_EQ(fleet[0].gone.size() + fleet[0].elsewhere.size(), 1U) << "each has its answer";
  EXPECT_EQ(fleet[4].gone.size() + fleet[4].elsewhere.size(), 1U);
}

TEST(MarksStory, AMarkThatNobodyTakesInTimeEndsUnrunAndTheEventIsFreeAgain) {
  Fleet fleet({});
  fleet.carry_all();
  for (int i = 1; i < 5; ++i) fleet.hold(0, i, true);
  fleet[0].take("e", MarkLevel::held, fleet.now);
  fleet.carry_all();
  fleet[0].marks.pass(fleet.now + second);
  EXPECT_EQ(fleet[0].dropped, std::vector<std::string>{"e"});
  EXPECT_EQ(fleet[0].marks.next(), 0);
  for (int i = 1; i < 5; ++i) fleet.hold(0, i, false);
  fleet.carry_all();
  EXPECT_TRUE(fleet[0].gone.empty()) << "its time was up";
  EXPECT_EQ(fleet[2].take("e", MarkLevel::held), Taking::wait);
  fleet.carry_all();
  EXPECT_EQ(fleet[2].gone, std::vector<std::string>{"e"});
  fleet[2].marks.ended(fleet.now, "e", Stage::shed);
  EXPECT_EQ(fleet[2].take("e", MarkLevel::held), Taking::wait) << "shed here, unrun: it may come once more";
}

TEST(MarksStory, ARouterThatStartedHoldsNothingUntilItHasLearntWhatItMayHaveForgotten) {
  Fleet fleet({});
  fleet.carry_all();
  // 0 takes it, held by 1 and 2 alone; then 0 dies for good, and 1 forgets.
  for (const int far : {3, 4}) fleet.hold(0, far, true);
  for (const int holder : {1, 2}) {
    for (const int far : {3, 4}) fleet.hold(holder, far, true);
  }
  fleet[0].take("e", MarkLevel::held);
  fleet.carry_all();
  ASSERT_EQ(fleet[0].gone.size(), 1U);
  fleet.restart(1);
  for (int i = 1; i < 5; ++i) fleet.hold(0, i, true);
  fleet.hold(1, 2, true);  // and cannot ask 2
  fleet.carry_all();
  EXPECT_FALSE(fleet[1].copy.vouches()) << "two of three that it needs";
  EXPECT_EQ(fleet[3].take("e", MarkLevel::held), Taking::wait);
  fleet.carry_all();
  EXPECT_TRUE(fleet[3].gone.empty()) << "4 holds it, 1 does not count";
  fleet.hold(1, 2, false);
  fleet.carry_all();
  EXPECT_TRUE(fleet[1].copy.vouches());
  EXPECT_TRUE(fleet[3].gone.empty()) << "1 has heard of it again, and says so";
  fleet[3].marks.pass(fleet.now + second);
  EXPECT_EQ(fleet[3].elsewhere, std::vector<std::string>{"e"});
}

TEST(MarksStory, AFleetThatStartsAllAtOnceSettlesByHearingEverybody) {
  Fleet fleet({}, false);
  EXPECT_FALSE(fleet.all_vouch());
  fleet.carry_all();
  EXPECT_TRUE(fleet.all_vouch());
}

TEST(MarksStory, AtTheBoundNothingIsTakenAndALongNameIsStillTold) {
  Quiet quiet;
  Replica copy({1, 1}, bounds(2), quiet);
  Ran ran;
  struct Nobody final : Taker {
    void may_go(std::int64_t) override {}
    void taken_elsewhere(std::int64_t) override {}
    void not_held(std::int64_t) override {}
  } nobody;
  Marks marks(copy, 1, 0, nobody);
  const std::string endless(5'000, 'x');
  EXPECT_EQ(marks.take(0, 1, mark_of(endless, "1"), MarkLevel::held, second), Taking::go)
      << "nobody is asked";
  EXPECT_EQ(marks.take(0, 2, mark_of(endless, "2"), MarkLevel::announced, second), Taking::go);
  EXPECT_EQ(marks.take(0, 3, mark_of(endless, "1"), MarkLevel::announced, second), Taking::known);
  EXPECT_EQ(marks.take(0, 4, mark_of("/shop", "17"), MarkLevel::announced, second), Taking::full);
  EXPECT_NE(mark_of("a", "b c"), mark_of("a b", "c"));
}

// Any history of takings, pieces carried, ways that break, and routers that forget one at a time.
bool ran_twice(const Plan& plan, const std::vector<std::uint32_t>& steps) {
  Fleet fleet(plan);
  fleet.carry_all(4);
  for (const std::uint32_t step : steps) {
    auto draw = [left = step / 16](std::uint32_t of) mutable {
      const std::uint32_t chosen = left % of;
      left /= of;
      return static_cast<int>(chosen);
    };
    const auto routers = static_cast<std::uint32_t>(plan.routers);
    const int one = draw(routers), other = (one + 1 + draw(routers - 1)) % plan.routers;
    fleet.now += 100;
    switch (step % 16) {
      case 0:
        if (fleet.all_vouch()) fleet.restart(one);
        break;
      case 1:
        fleet.join(one, other);
        break;
      case 2:
        fleet.hold(one, other, draw(2) == 0);
        break;
      case 3:
      case 4:
      case 5:
        if (fleet[one].copy.vouches()) fleet[one].take("e" + std::to_string(draw(4)), plan.level, fleet.now);
        break;
      case 6:
        fleet[one].marks.pass(fleet.now - second);
        break;
      default:
        fleet.carry(one, other, draw(3) == 0 ? 40 : 100'000);
    }
  }
  return fleet.ran.twice;
}

// The first of so many histories in which an event ran twice, drawn here from one seed so that a planted
// fault is looked for in the same ones everywhere; -1: none.
int first_run_twice(const Plan& plan, int histories) {
  std::mt19937 chance(20261201);
  for (int i = 0; i < histories; ++i) {
    std::vector<std::uint32_t> steps(400);
    for (std::uint32_t& step : steps) step = static_cast<std::uint32_t>(chance());
    if (ran_twice(plan, steps)) return i;
  }
  return -1;
}

TEST(MarksLaw, NoHistoryRunsAHeldEventTwice) {
  rc::check("held by more than half, one forgets at a time",
            [](const std::vector<std::uint32_t>& steps) { RC_ASSERT(!ran_twice({}, steps)); });
  EXPECT_EQ(first_run_twice({}, 60), -1);
  EXPECT_EQ(first_run_twice({.routers = 3, .others = 1}, 60), -1);
  EXPECT_EQ(first_run_twice({.routers = 4, .others = 2}, 60), -1);
}

TEST(MarksLaw, EachPlantedFaultRunsSomeEventTwice) {
  const auto found = [](const char* what, const Plan& plan) {
    const int at = first_run_twice(plan, 300);
    EXPECT_GE(at, 0) << what;
    testing::Test::RecordProperty(what, at);
  };
  found("nobody_is_waited_for", {.level = MarkLevel::announced});
  found("held_by_too_few", {.others = 1});
  found("who_forgot_counts_as_a_holder", {.trusts_at_once = true});
}

}  // namespace
}  // namespace rushhill::replica
