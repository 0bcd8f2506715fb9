#include "simulation/server_model.h"

#include <algorithm>
#include <utility>

#include "simulation/slow_start.h"

namespace rushhill::simulation {
namespace {

constexpr std::size_t most_queued_loads = 20;  // loads that wait; more work is rejected
constexpr Time refusal_delay = 10;             // tenths of a millisecond until a refused fetch is known
constexpr std::uint64_t seed_modulus = 16'777'213;

// The time that a job takes spreads about its work: a fixed part and an exponential one.
constexpr double fixed_part = 0.5;
constexpr double exponential_part = 0.5;

}  // namespace

ServerModel::ServerModel(const ServerSpec& spec, const RuleParameters& rules,
                         const ServerModelSettings& settings, ModelStore& store, core::TimerService& timers)
    : spec_(spec), rules_(rules), settings_(settings), store_(store), timers_(timers),
      random_(static_cast<std::uint_fast32_t>(settings.seed % seed_modulus)) {}

void ServerModel::call_at(Time when, std::function<void()> call) {
  timers_.at(when, [call = std::move(call), alive = std::weak_ptr(incarnation_)] {
    if (!alive.expired()) call();
  });
}

void ServerModel::start(bool cold) {
  stop();
  started_ = timers_.now();
  cold_ = cold;
  collapsed_ = false;
  draining_ = false;
  incarnation_ = std::make_shared<int>(0);
}

void ServerModel::stop() {
  incarnation_.reset();
  for (int i = 0; i < fetching_; ++i) store_.end_fetch();
  jobs_.clear();
  functions_.clear();
  ready_.clear();
  load_queue_.clear();
  recent_requests_.clear();
  memory_used_ = 0;
  running_ = 0;
  fetching_ = 0;
}

double ServerModel::capacity(Time now) const {
  if (!cold_) return 1;
  const double age = static_cast<double>(now - started_) / static_cast<double>(rules_.warm_up_span);
  return std::min(1.0, rules_.initial_capacity + (1 - rules_.initial_capacity) * age);
}

// Each request that reaches a cold server counts as one of mean work, also one that is rejected. Whether this
// one is beyond the budget in slow start: then the server collapses.
bool ServerModel::overloads_slow_start(Time now) {
  if (!cold_ || now - started_ >= rules_.warm_up_span) return false;
  recent_requests_.push_back(now);
  while (recent_requests_.front() <= now - rules_.budget_span) recent_requests_.pop_front();
  const double able = spec_.cores * spec_.speed * capacity(now) * static_cast<double>(rules_.budget_span);
  const double allowed = rules_.budget_multiple * able / settings_.mean_work;
  return static_cast<double>(recent_requests_.size()) > slow_start_budget(allowed);
}

// Nothing is answered any more, also not what came before.
void ServerModel::collapse() {
  if (collapsed_) return;
  stop();
  collapsed_ = true;
}

ServerModel::FunctionState& ServerModel::state_of(const FunctionSpec& function) {
  auto& state = functions_[function.name];
  if (!state) {
    state = std::make_unique<FunctionState>();
    state->spec = &function;
  }
  return *state;
}

ServerModel::JobId ServerModel::take(const Job& job, Began began, Done done) {
  const JobId id = ++last_job_;
  if (overloads_slow_start(timers_.now())) collapse();
  if (collapsed_) return id;
  FunctionState& function = state_of(*job.function);
  JobResult result{.in_flight = static_cast<int>(function.queue.size()) + function.busy_lanes};
  if (const auto rejection = reject(function, result)) {
    result.outcome = *rejection;
    done(result);
    return id;
  }
  jobs_[id] = {job, std::move(began), std::move(done), result, false, &function};
  function.queue.push_back(id);
  serve(function);
  load_for_queue(function);
  return id;
}

// Why a job is rejected; nothing: it is accepted, and the load of a first instance has begun where it needs
// one.
std::optional<JobOutcome> ServerModel::reject(FunctionState& function, JobResult& result) {
  if (draining_) return JobOutcome::draining;
  if (job_count() >= spec_.max_jobs) return JobOutcome::overloaded;
  if (function.loaded > 0) {
    result.copy_state = CopyState::loaded;
  } else if (function.coming() > 0) {
    result.copy_state = CopyState::load_awaited;
  } else {
    if (settings_.missing_answers) return JobOutcome::function_missing;
    if (!request_load(function)) return JobOutcome::overloaded;
    result.copy_state = CopyState::load_started;
  }
  return std::nullopt;
}

// Where all lanes are busy another instance is loaded, if there is memory for it.
void ServerModel::load_for_queue(FunctionState& function) {
  const int waiting = static_cast<int>(function.queue.size());
  const int lanes = function.spec->lanes * (function.coming() + 1);
  if (waiting > lanes && !settings_.missing_answers) request_load(function);
}

void ServerModel::cancel_job(JobId id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  it->second.done = [](const JobResult&) {};
  if (it->second.on_core) return;  // what runs goes on
  FunctionState& function = *it->second.function;
  if (std::erase(function.queue, id) == 0) {
    std::erase(ready_, id);
    --function.busy_lanes;
  }
  jobs_.erase(it);
  serve(function);
}

// Frees idle instances, the longest idle first, until so much memory is free.
bool ServerModel::free_memory(double memory_mb) {
  while (memory_used_ + memory_mb > spec_.memory_mb) {
    FunctionState* function = longest_idle();
    if (function == nullptr) return false;
    --function->loaded;
    memory_used_ -= function->spec->memory_mb;
  }
  return true;
}

ServerModel::FunctionState* ServerModel::longest_idle() {
  FunctionState* longest = nullptr;
  for (auto& [name, function] : functions_) {
    if (function->idle() && (longest == nullptr || function->idle_since < longest->idle_since))
      longest = function.get();
  }
  return longest;
}

bool ServerModel::request_load(FunctionState& function) {
  if (load_queue_.size() >= most_queued_loads || !free_memory(function.spec->memory_mb)) return false;
  memory_used_ += function.spec->memory_mb;
  ++function.load_queued;
  load_queue_.push_back(&function);
  start_loads();
  return true;
}

void ServerModel::start_loads() {
  while (fetching_ < spec_.concurrent_loads && !load_queue_.empty()) {
    FunctionState& function = *load_queue_.front();
    load_queue_.pop_front();
    start_load(function);
  }
}

// A load is a fetch from the store and a setup after it.
void ServerModel::start_load(FunctionState& function) {
  --function.load_queued;
  ++function.loading;
  const Time now = timers_.now();
  const Time load = function.spec->load;
  const Time usual_fetch = static_cast<Time>(static_cast<double>(load) * store_.fetch_share());
  const std::optional<Time> fetch = store_.begin_fetch(usual_fetch);
  if (!fetch) return call_at(now + refusal_delay, [this, &function] { load_failed(function); });
  ++fetching_;
  const double setup = static_cast<double>(load - usual_fetch) * slowness_;
  call_at(now + *fetch, [this, &function, setup] {
    store_.end_fetch();
    --fetching_;
    call_at(timers_.now() + static_cast<Time>(setup), [this, &function] { loaded(function); });
    start_loads();
  });
}

void ServerModel::loaded(FunctionState& function) {
  --function.loading;
  ++function.loaded;
  function.idle_since = timers_.now();
  expire_when_idle(function);
  serve(function);
  settle_prewarms(function, JobOutcome::overloaded);
}

void ServerModel::load_failed(FunctionState& function) {
  --function.loading;
  memory_used_ -= function.spec->memory_mb;
  if (function.loaded + function.coming() > 0) return;
  // No instance is coming: the jobs that wait for one fail.
  for (const JobId id : std::exchange(function.queue, {})) {
    const auto it = jobs_.find(id);
    const PendingJob job = std::move(it->second);
    jobs_.erase(it);
    JobResult result = job.result;
    result.outcome = JobOutcome::load_failed;
    job.done(result);
  }
  settle_prewarms(function, JobOutcome::load_failed);
}

// Ends the prewarm requests that have their instances, and with `failure` those for which none is coming.
void ServerModel::settle_prewarms(FunctionState& function, JobOutcome failure) {
  std::vector<PendingPrewarm> left;
  for (PendingPrewarm& pending : std::exchange(function.prewarms, {})) {
    const bool there = function.loaded >= pending.instances;
    if (there || function.coming() == 0) {
      pending.prewarmed(there ? JobOutcome::completed : failure, function.loaded);
    } else {
      left.push_back(std::move(pending));
    }
  }
  function.prewarms = std::move(left);
}

void ServerModel::expire_when_idle(FunctionState& function) {
  call_at(timers_.now() + spec_.keep_alive, [this, &function] {
    if (!function.idle() || timers_.now() - function.idle_since < spec_.keep_alive) return;
    memory_used_ -= function.loaded * function.spec->memory_mb;
    function.loaded = 0;
  });
}

void ServerModel::serve(FunctionState& function) {
  while (!function.queue.empty() && function.busy_lanes < function.loaded * function.spec->lanes) {
    const JobId id = function.queue.front();
    function.queue.pop_front();
    ++function.busy_lanes;
    ready_.push_back(id);
  }
  run_ready();
}

void ServerModel::run_ready() {
  while (running_ < static_cast<int>(spec_.cores) && !ready_.empty()) {
    const JobId id = ready_.front();
    ready_.pop_front();
    PendingJob& job = jobs_.at(id);
    if (job.job.expires > 0 && timers_.now() >= job.job.expires) return expire(id);
    run(id, job);
  }
}

void ServerModel::run(JobId id, PendingJob& job) {
  job.on_core = true;
  ++running_;
  job.began();
  const Time now = timers_.now();
  const double spread = std::exponential_distribution<double>(1)(random_) * exponential_part + fixed_part;
  const double time = static_cast<double>(job.job.work) * spread * slowness_ / (spec_.speed * capacity(now));
  call_at(now + std::max<Time>(static_cast<Time>(time), 1), [this, id] { finish(id); });
}

// Ends a job whose time was up before it had a core.
void ServerModel::expire(JobId id) {
  const auto it = jobs_.find(id);
  const PendingJob job = std::move(it->second);
  jobs_.erase(it);
  --job.function->busy_lanes;
  JobResult result = job.result;
  result.outcome = JobOutcome::expired;
  job.done(result);
  serve(*job.function);
}

void ServerModel::finish(JobId id) {
  const auto it = jobs_.find(id);
  const PendingJob job = std::move(it->second);
  jobs_.erase(it);
  --running_;
  FunctionState& function = *job.function;
  --function.busy_lanes;
  function.idle_since = timers_.now();
  if (function.busy_lanes == 0 && function.queue.empty()) expire_when_idle(function);
  job.done(job.result);
  serve(function);
}

void ServerModel::prewarm(const FunctionSpec& function, int instances, Prewarmed prewarmed) {
  if (collapsed_) return;
  FunctionState& state = state_of(function);
  if (draining_) return prewarmed(JobOutcome::draining, state.loaded);
  state.idle_since = timers_.now();
  while (state.loaded + state.coming() < instances) {
    if (!request_load(state)) return prewarmed(JobOutcome::overloaded, state.loaded);
  }
  if (state.loaded >= instances) return prewarmed(JobOutcome::completed, state.loaded);
  state.prewarms.push_back({instances, std::move(prewarmed)});
}

void ServerModel::evict(const FunctionSpec& function) {
  FunctionState& state = state_of(function);
  const int needed = (state.busy_lanes + function.lanes - 1) / function.lanes;
  const int idle = std::max(state.loaded - needed, 0);
  state.loaded -= idle;
  memory_used_ -= idle * function.memory_mb;
}

std::vector<InstanceCount> ServerModel::instance_counts() const {
  std::vector<InstanceCount> counts;
  for (const auto& [name, function] : functions_)
    counts.push_back({.function = name, .instances = function->loaded});
  return counts;
}

}  // namespace rushhill::simulation
