// The machines' model: it must fail as real ones do, or the days prove nothing.
#include "standin/server_model.h"

#include <gtest/gtest.h>

#include "core/timer_queue.h"

namespace rushhill::standin {
namespace {

constexpr Time second = 10'000;

class HandClock final : public core::TimerService {
 public:
  Time now() const override { return now_; }
  core::Timer at(Time when, Call call) override { return alarms_.add(when, std::move(call)); }
  void cancel(core::Timer& alarm) override { alarms_.cancel(alarm); }
  void post(Call call) override { alarms_.add(now_, std::move(call)); }
  void pass(Time span) {
    const Time end = now_ + span;
    while (alarms_.next_deadline() && *alarms_.next_deadline() <= end) {
      now_ = std::max(now_, *alarms_.next_deadline());
      alarms_.fire_due(now_);
    }
    now_ = end;
  }

 private:
  Time now_ = 100 * second;
  core::TimerQueue alarms_;
};

class MachineStory : public testing::Test {
 protected:
  void make(bool missing = false, bool cold = false) {
    machine = std::make_unique<ServerModel>(place, rules, missing, store, clock, 3);
    machine->start(cold);
  }
  ServerModel::JobId take(const FunctionSpec& function, Time work = 200) {
    return machine->take(
        {&function, work, 0}, [this] { ++began; }, [this](const JobResult& end) { ends.push_back(end); });
  }

  HandClock clock;
  ServerSpec place{.id = "m", .cores = 2, .memory_mb = 1000, .concurrent_loads = 2, .keep_alive = 5 * second};
  RuleParameters rules;
  ModelStore store{{}};
  FunctionSpec a{.name = "a", .memory_mb = 400, .lanes = 1, .load = second / 2};
  FunctionSpec b{.name = "b", .memory_mb = 400, .lanes = 1, .load = second / 2};
  FunctionSpec c{.name = "c", .memory_mb = 400, .lanes = 1, .load = second / 2};
  std::unique_ptr<ServerModel> machine;
  std::vector<JobResult> ends;
  int began = 0;
};

TEST_F(MachineStory, TheFirstEventWaitsForTheLoadAndTheNextFindsTheCopy) {
  make();
  take(a);
  clock.pass(second / 4);
  EXPECT_EQ(began, 0);
  clock.pass(second);
  take(a);
  clock.pass(second);
  ASSERT_EQ(ends.size(), 2U);
  EXPECT_EQ(ends[0].copy_state, CopyState::load_started);
  EXPECT_EQ(ends[1].copy_state, CopyState::loaded);
}

TEST_F(MachineStory, AnIdleCopyGivesWayAndABusyOneDoesNot) {
  make();
  take(a);
  take(b, 100 * second);
  clock.pass(2 * second);
  take(c);  // a's place
  clock.pass(second);
  ASSERT_EQ(ends.size(), 2U);
  take(a);  // c's place, which is idle by now
  take(c);  // no room: a loads, b works
  EXPECT_EQ(ends.back().outcome, JobOutcome::overloaded);
}

TEST_F(MachineStory, AnIdleCopyLapses) {
  make();
  take(a);
  clock.pass(second);
  EXPECT_EQ(machine->instance_counts().front().second, 1);
  clock.pass(6 * second);
  EXPECT_EQ(machine->instance_counts().front().second, 0);
}

TEST_F(MachineStory, AColdMachineFallsOverWhenPushedAndAWarmOneDoesNot) {
  make(false, false);
  for (int i = 0; i < 100; ++i) take(a, 1'000);
  EXPECT_FALSE(machine->collapsed());
  make(false, true);
  // 0.16 of two cores, twice that for a second and a half: N is 48 requests of the mean work, 200. The budget
  // is N + 2 x root of N + 2, whatever the work of each.
  for (int i = 0; i < 63; ++i) take(a, i % 2 == 0 ? 1'000 : 10);
  EXPECT_FALSE(machine->collapsed());
  take(a, 10);
  EXPECT_TRUE(machine->collapsed());
  const std::size_t before = ends.size();
  take(b);
  clock.pass(20 * second);
  EXPECT_EQ(ends.size(), before);  // silent for good
}

TEST_F(MachineStory, WhatAColdMachineTurnsAwayCountsAgainstItsBudgetAndUnderThirtyThatIsWider) {
  place.speed = 0.5;
  make(true, true);
  // N is 24; the budget N + 3 x root of N + 3.
  for (int i = 0; i < 41; ++i) take(a);
  EXPECT_FALSE(machine->collapsed());
  take(a);
  EXPECT_TRUE(machine->collapsed());
  ASSERT_EQ(ends.size(), 41U);
  EXPECT_EQ(ends[0].outcome, JobOutcome::function_missing);
}

TEST_F(MachineStory, TheBudgetOfAColdMachineIsForASpanAndGrowsAsItWarms) {
  make(true, true);
  for (int i = 0; i < 63; ++i) take(a);
  clock.pass(rules.budget_span);
  // An age of 1.5 s: 0.239 of its power, and N is 71.
  for (int i = 0; i < 90; ++i) take(a);
  EXPECT_FALSE(machine->collapsed());
  take(a);
  EXPECT_TRUE(machine->collapsed());
}

TEST_F(MachineStory, WhatIsDroppedBeforeItBeginsNeverRuns) {
  make();
  const auto job = take(a);
  machine->cancel_job(job);
  clock.pass(2 * second);
  EXPECT_EQ(began, 0);
  EXPECT_EQ(machine->job_count(), 0);
}

TEST_F(MachineStory, AFailedFetchIsToldToAllThatWaited) {
  make();
  store.fault(1, true);
  take(a);
  take(a);
  clock.pass(second);
  ASSERT_EQ(ends.size(), 2U);
  EXPECT_EQ(ends[0].outcome, JobOutcome::load_failed);
  EXPECT_EQ(ends[1].outcome, JobOutcome::load_failed);
  EXPECT_EQ(began, 0);
}

TEST_F(MachineStory, WhereMissingIsAnsweredOnlyAnOrderBringsACopy) {
  make(true);
  take(a);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].outcome, JobOutcome::function_missing);
  int copies = 0;
  machine->prewarm(a, 1, [&](JobOutcome outcome, int standing) {
    copies = outcome == JobOutcome::completed ? standing : -1;
  });
  take(a);  // waits on the load that was ordered
  clock.pass(second);
  EXPECT_EQ(copies, 1);
  EXPECT_EQ(ends.back().outcome, JobOutcome::completed);
}

TEST_F(MachineStory, WorkWhoseTimeIsUpIsNotBegun) {
  make();
  machine->take(
      {&a, 200, clock.now() + 10}, [this] { ++began; },
      [this](const JobResult& end) { ends.push_back(end); });
  clock.pass(second);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].outcome, JobOutcome::expired);
  EXPECT_EQ(began, 0);
}

TEST_F(MachineStory, ACrowdedStoreIsSlower) {
  make();
  ModelStoreSpec small{.concurrent_fetches = 1, .max_fetches = 2};
  ModelStore crowded(small);
  const Time first = crowded.begin(1'000);
  const Time second_fetch = crowded.begin(1'000);
  EXPECT_GT(second_fetch, first);
  EXPECT_LT(crowded.begin(1'000), 0);
}

}  // namespace
}  // namespace rushhill::standin
