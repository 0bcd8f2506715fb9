// One model server as a model: cores, lanes, copies in memory, loads through a shared store, a cold start
// that falls over when pushed. No sockets; time and chance are handed in, so that an emulator can play it
// too.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/timer_service.h"
#include "routing/types.h"
#include "standin/day.h"

namespace rushhill::standin {

// The store that all machines fetch functions from: slower when crowded, refusing past a limit.
class ModelStore {
 public:
  explicit ModelStore(const ModelStoreSpec& make) : make_(make) {}
  // How long a fetch of usual length takes if it begins now; below 0: turned away.
  Time begin(Time usual);
  void end() { under_way_ -= 1; }
  void fault(double slowness, bool refusing) {
    slowness_ = slowness;
    refusing_ = refusing;
  }
  double fetch_share() const { return make_.fetch_share; }
  std::int64_t fetches() const { return fetches_; }

 private:
  ModelStoreSpec make_;
  double under_way_ = 0, slowness_ = 1;
  bool refusing_ = false;
  std::int64_t fetches_ = 0;
};

enum class JobOutcome { completed, overloaded, draining, function_missing, load_failed, expired };

struct Job {
  const FunctionSpec* function = nullptr;
  Time work = 0;     // on a standard core
  Time expires = 0;  // work whose time is up is not begun
};

struct JobResult {
  JobOutcome outcome = JobOutcome::completed;
  CopyState copy_state = CopyState::unknown;
  int in_flight = 0;
};

class ServerModel {
 public:
  using JobId = std::uint64_t;
  using Began = std::function<void()>;
  using Done = std::function<void(const JobResult&)>;
  using Prewarmed = std::function<void(JobOutcome, int copies)>;

  // `mean_work` is that of the day's requests: each weighs as much against the budget in slow start.
  ServerModel(const ServerSpec& make, const RuleParameters& rules, bool missing_answers, ModelStore& store,
              core::TimerService& clock, std::uint64_t seed,
              double mean_work = static_cast<double>(FunctionSpec{}.work));
  ~ServerModel();

  // `began` when it runs for certain, `done` at the end, at once where it is turned away.
  JobId take(const Job& job, Began began, Done done);
  void cancel_job(JobId job);  // its caller has gone: what has not begun never will
  void prewarm(const FunctionSpec& function, int copies, Prewarmed held);
  void evict(const FunctionSpec& function);
  std::vector<std::pair<std::string, int>> instance_counts() const;

  void start(bool cold);  // empty; with all its power at once or cold
  void stop();            // all work and copies are gone; nothing more is called
  void drain(bool on) { draining_ = on; }
  void slow_down(double times) { slowness_ = times; }

  bool collapsed() const { return fallen_; }
  double utilization() const { return static_cast<double>(running_) / make_.cores; }
  int job_count() const { return static_cast<int>(jobs_.size()); }
  int load_count() const { return loading_ + static_cast<int>(load_queue_.size()); }
  double capacity(Time now) const;  // of its whole power at that age, from cold_share to 1
  const ServerSpec& spec() const { return make_; }

 private:
  struct Copies;
  struct Running {
    Job job;
    Began began;
    Done done;
    JobResult end;
    bool on_core = false;
    Copies* copies = nullptr;
  };
  struct Waiting {
    int copies = 0;
    Prewarmed held;
  };
  struct Copies {
    const FunctionSpec* function = nullptr;
    int standing = 0, loading = 0, queued = 0, busy_lanes = 0;
    std::deque<JobId> queue;
    std::vector<Waiting> holds;
    Time idle_since = 0;
  };

  Copies& copies_of(const FunctionSpec& function);
  bool make_room(double memory_mb);
  bool ask_load(Copies& copies);
  void next_load();
  void loaded(Copies& copies, bool good);
  void serve(Copies& copies);
  void next_on_core();
  void finish(JobId id);
  void tell_holds(Copies& copies, JobOutcome failed);
  void expire_idle(Copies& copies);
  bool overloads_slow_start(Time now);
  void collapse();
  void at(Time when, std::function<void()> call);

  ServerSpec make_;
  RuleParameters rules_;
  double mean_work_;
  bool missing_answers_;
  ModelStore& store_;
  core::TimerService& clock_;
  std::ranlux24_base chance_;
  std::map<JobId, Running> jobs_;
  std::map<std::string, std::unique_ptr<Copies>> functions_;
  std::deque<JobId> ready_;
  std::deque<Copies*> load_queue_;
  std::deque<Time> arrivals_;  // of requests within the last span, while cold
  double memory_used_ = 0;
  int running_ = 0, loading_ = 0;
  JobId last_ = 0;
  Time started_ = 0;
  double slowness_ = 1;
  bool draining_ = false, fallen_ = false, cold_ = false;
  std::shared_ptr<int> life_ = std::make_shared<int>(0);  // alarms of an earlier life are void
};

}  // namespace rushhill::standin
