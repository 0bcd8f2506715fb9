// The model of one model server: cores, instances of functions in memory, their loads through a shared store,
// and a slow start in which too many requests make it collapse. It has no sockets; time and chance are handed
// in, so that an emulator can play it too.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/timer_service.h"
#include "routing/types.h"
#include "simulation/day.h"
#include "simulation/model_store.h"

namespace rushhill::simulation {

// How a job or a prewarm request ended.
enum class JobOutcome : std::uint8_t {
  completed,
  overloaded,        // no capacity: rejected
  draining,          // rejected
  function_missing,  // no instance is loaded, and the server loads none by itself: rejected
  load_failed,
  expired  // its time was up before it began
};

// Work for one instance of a function.
struct Job {
  const FunctionSpec* function = nullptr;
  Time work = 0;     // on a standard core
  Time expires = 0;  // work is not begun after that; 0: never
};

// What a server reports of a job when it has ended.
struct JobResult {
  JobOutcome outcome = JobOutcome::completed;
  CopyState copy_state = CopyState::unknown;  // when the job came
  int in_flight = 0;                          // jobs for the function when it came
};

// How many instances of a function are loaded.
struct InstanceCount {
  std::string function;
  int instances = 0;
};

// What does not differ between the servers of a day, but for the seed.
struct ServerModelSettings {
  bool missing_answers = false;  // the server answers that it lacks a function instead of loading it
  std::uint64_t seed = 1;
  // Of the day's requests: each weighs as much against the budget in slow start.
  double mean_work = static_cast<double>(FunctionSpec{}.work);
};

// Owns the jobs and instances of one server. Callbacks may call it again.
class ServerModel {
 public:
  using JobId = std::uint64_t;
  using Began = std::function<void()>;
  using Done = std::function<void(const JobResult&)>;
  using Prewarmed = std::function<void(JobOutcome, int instances)>;

  ServerModel(const ServerSpec& spec, const RuleParameters& rules, const ServerModelSettings& settings,
              ModelStore& store, core::TimerService& timers);
  ServerModel(const ServerModel&) = delete;
  ServerModel& operator=(const ServerModel&) = delete;
  ServerModel(ServerModel&&) = delete;
  ServerModel& operator=(ServerModel&&) = delete;
  ~ServerModel() = default;

  // Calls `began` when the work runs for certain and `done` at the end; at once where it is rejected.
  JobId take(const Job& job, Began began, Done done);
  // Nobody waits for the job any more: what has not begun never will.
  void cancel_job(JobId job);
  // Loads instances until so many are there.
  void prewarm(const FunctionSpec& function, int instances, Prewarmed prewarmed);
  // Frees the instances that are not needed by running jobs.
  void evict(const FunctionSpec& function);
  std::vector<InstanceCount> instance_counts() const;

  // Starts empty; in slow start where it is cold.
  void start(bool cold);
  // All jobs and instances are lost; nothing more is called.
  void stop();
  void drain(bool on) { draining_ = on; }
  // From now on work and loads take so many times longer.
  void slow_down(double factor) { slowness_ = factor; }

  // Overloaded in slow start: it answers nothing until its next start.
  bool collapsed() const { return collapsed_; }
  // The busy part of its cores.
  double utilization() const { return static_cast<double>(running_) / spec_.cores; }
  // Jobs that wait or run.
  int job_count() const { return static_cast<int>(jobs_.size()); }
  // Loads that wait or run.
  int load_count() const { return fetching_ + static_cast<int>(load_queue_.size()); }
  // What it can do now, as a part of what it can do once it has warmed up.
  double capacity(Time now) const;
  const ServerSpec& spec() const { return spec_; }

 private:
  struct FunctionState;
  // A job that waits or runs.
  struct PendingJob {
    Job job;
    Began began;
    Done done;
    JobResult result;
    bool on_core = false;
    FunctionState* function = nullptr;
  };
  // A prewarm request whose instances are being loaded.
  struct PendingPrewarm {
    int instances = 0;
    Prewarmed prewarmed;
  };
  // The instances of one function and what waits for them.
  struct FunctionState {
    const FunctionSpec* spec = nullptr;
    int loaded = 0;
    int loading = 0;
    int load_queued = 0;
    int busy_lanes = 0;
    std::deque<JobId> queue;
    std::vector<PendingPrewarm> prewarms;
    Time idle_since = 0;

    int coming() const { return loading + load_queued; }
    bool idle() const { return loaded > 0 && busy_lanes == 0 && queue.empty(); }
  };

  FunctionState& state_of(const FunctionSpec& function);
  std::optional<JobOutcome> reject(FunctionState& function, JobResult& result);
  void load_for_queue(FunctionState& function);
  bool free_memory(double memory_mb);
  FunctionState* longest_idle();
  bool request_load(FunctionState& function);
  void start_loads();
  void start_load(FunctionState& function);
  void loaded(FunctionState& function);
  void load_failed(FunctionState& function);
  void settle_prewarms(FunctionState& function, JobOutcome failure);
  void expire_when_idle(FunctionState& function);
  void serve(FunctionState& function);
  void run_ready();
  void run(JobId id, PendingJob& job);
  void expire(JobId id);
  void finish(JobId id);
  bool overloads_slow_start(Time now);
  void collapse();
  void call_at(Time when, std::function<void()> call);

  ServerSpec spec_;
  RuleParameters rules_;
  ServerModelSettings settings_;
  ModelStore& store_;
  core::TimerService& timers_;
  std::ranlux24_base random_;
  std::map<JobId, PendingJob> jobs_;
  std::map<std::string, std::unique_ptr<FunctionState>> functions_;
  std::deque<JobId> ready_;  // each has a lane and waits for a core
  std::deque<FunctionState*> load_queue_;
  std::deque<Time> recent_requests_;  // within the budget's span, in slow start
  double memory_used_ = 0;
  int running_ = 0;
  int fetching_ = 0;
  JobId last_job_ = 0;
  Time started_ = 0;
  double slowness_ = 1;
  bool draining_ = false;
  bool collapsed_ = false;
  bool cold_ = false;
  std::shared_ptr<int> incarnation_ = std::make_shared<int>(0);  // timers of an earlier one are void
};

}  // namespace rushhill::simulation
