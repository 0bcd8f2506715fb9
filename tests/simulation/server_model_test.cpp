// The model of a server has to fail as real ones do, or the simulated days prove nothing.
#include "simulation/server_model.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "simulation/manual_timers.h"

namespace rushhill::simulation {
namespace {

constexpr Time second = 10'000;

class ServerModelTest : public testing::Test {
 protected:
  void make(bool missing = false, bool cold = false) {
    model = std::make_unique<ServerModel>(
        spec, rules, ServerModelSettings{.missing_answers = missing, .seed = 3}, store, timers);
    model->start(cold);
  }
  ServerModel::JobId take(const FunctionSpec& function, Time work = 200) {
    return model->take(
        {&function, work, 0}, [this] { ++began; },
        [this](const JobResult& result) { results.push_back(result); });
  }

  ManualTimers timers;
  ServerSpec spec{.id = "m", .cores = 2, .memory_mb = 1000, .concurrent_loads = 2, .keep_alive = 5 * second};
  RuleParameters rules;
  ModelStore store{{}};
  FunctionSpec alpha{.name = "alpha", .memory_mb = 400, .lanes = 1, .load = second / 2};
  FunctionSpec beta{.name = "beta", .memory_mb = 400, .lanes = 1, .load = second / 2};
  FunctionSpec gamma{.name = "gamma", .memory_mb = 400, .lanes = 1, .load = second / 2};
  std::unique_ptr<ServerModel> model;
  std::vector<JobResult> results;
  int began = 0;
};

TEST_F(ServerModelTest, FirstJobAwaitsTheLoadAndTheNextFindsAnInstance) {
  make();
  take(alpha);
  timers.pass(second / 4);
  EXPECT_EQ(began, 0);
  timers.pass(second);
  take(alpha);
  timers.pass(second);
  ASSERT_EQ(results.size(), 2U);
  EXPECT_EQ(results[0].copy_state, CopyState::load_started);
  EXPECT_EQ(results[1].copy_state, CopyState::loaded);
}

TEST_F(ServerModelTest, IdleInstanceIsFreedForALoadAndABusyOneIsNot) {
  make();
  take(alpha);
  take(beta, 100 * second);
  timers.pass(2 * second);
  take(gamma);  // frees alpha's memory
  timers.pass(second);
  ASSERT_EQ(results.size(), 2U);
  take(alpha);  // frees gamma's memory, which is idle by now
  take(gamma);  // no memory: alpha loads, beta works
  EXPECT_EQ(results.back().outcome, JobOutcome::overloaded);
}

TEST_F(ServerModelTest, IdleInstanceExpires) {
  make();
  take(alpha);
  timers.pass(second);
  EXPECT_EQ(model->instance_counts().front().instances, 1);
  timers.pass(6 * second);
  EXPECT_EQ(model->instance_counts().front().instances, 0);
}

TEST_F(ServerModelTest, OverloadCollapsesAColdServerAndNotAWarmOne) {
  make(false, false);
  for (int i = 0; i < 100; ++i) take(alpha, 1'000);
  EXPECT_FALSE(model->collapsed());
  make(false, true);
  // 0.16 of two cores, twice that for a second and a half: N is 48 requests of the mean work, 200. The budget
  // is N + 2 x root of N + 2, whatever the work of each.
  for (int i = 0; i < 63; ++i) take(alpha, i % 2 == 0 ? 1'000 : 10);
  EXPECT_FALSE(model->collapsed());
  take(alpha, 10);
  EXPECT_TRUE(model->collapsed());
  const std::size_t before = results.size();
  take(beta);
  timers.pass(20 * second);
  EXPECT_EQ(results.size(), before);  // it answers nothing any more
}

TEST_F(ServerModelTest, RejectedJobsCountAgainstTheBudgetWhichIsWiderBelowThirty) {
  spec.speed = 0.5;
  make(true, true);
  // N is 24; the budget N + 3 x root of N + 3.
  for (int i = 0; i < 41; ++i) take(alpha);
  EXPECT_FALSE(model->collapsed());
  take(alpha);
  EXPECT_TRUE(model->collapsed());
  ASSERT_EQ(results.size(), 41U);
  EXPECT_EQ(results[0].outcome, JobOutcome::function_missing);
}

TEST_F(ServerModelTest, BudgetIsForASpanAndGrowsWhileWarmingUp) {
  make(true, true);
  for (int i = 0; i < 63; ++i) take(alpha);
  timers.pass(rules.budget_span);
  // An age of 1.5 s: 0.239 of its capacity, and N is 71.
  for (int i = 0; i < 90; ++i) take(alpha);
  EXPECT_FALSE(model->collapsed());
  take(alpha);
  EXPECT_TRUE(model->collapsed());
}

TEST_F(ServerModelTest, JobCancelledBeforeItBeginsNeverRuns) {
  make();
  const auto job = take(alpha);
  model->cancel_job(job);
  timers.pass(2 * second);
  EXPECT_EQ(began, 0);
  EXPECT_EQ(model->job_count(), 0);
}

TEST_F(ServerModelTest, FailedFetchFailsAllWaitingJobs) {
  make();
  store.set_fault(1, true);
  take(alpha);
  take(alpha);
  timers.pass(second);
  ASSERT_EQ(results.size(), 2U);
  EXPECT_EQ(results[0].outcome, JobOutcome::load_failed);
  EXPECT_EQ(results[1].outcome, JobOutcome::load_failed);
  EXPECT_EQ(began, 0);
}

TEST_F(ServerModelTest, WithMissingAnswersOnlyAPrewarmRequestLoads) {
  make(true);
  take(alpha);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].outcome, JobOutcome::function_missing);
  int loaded = 0;
  model->prewarm(alpha, 1, [&](JobOutcome outcome, int instances) {
    loaded = outcome == JobOutcome::completed ? instances : -1;
  });
  take(alpha);  // waits for the load of the prewarm request
  timers.pass(second);
  EXPECT_EQ(loaded, 1);
  EXPECT_EQ(results.back().outcome, JobOutcome::completed);
}

TEST_F(ServerModelTest, ExpiredJobIsNotBegun) {
  make();
  model->take(
      {&alpha, 200, timers.now() + 10}, [this] { ++began; },
      [this](const JobResult& result) { results.push_back(result); });
  timers.pass(second);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].outcome, JobOutcome::expired);
  EXPECT_EQ(began, 0);
}

}  // namespace
}  // namespace rushhill::simulation
