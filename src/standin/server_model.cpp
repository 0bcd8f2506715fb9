#include "standin/server_model.h"

#include <algorithm>
#include <cmath>

#include "standin/slow_start.h"

namespace rushhill::standin {
namespace {

constexpr std::size_t most_queued_loads = 20;  // loads that wait; more work is turned away

}  // namespace

Time ModelStore::begin(Time usual) {
  if (refusing_ || under_way_ >= make_.max_fetches) return -1;
  under_way_ += 1;
  ++fetches_;
  const double contention = std::max(1.0, under_way_ / make_.concurrent_fetches);
  return static_cast<Time>(static_cast<double>(usual) * contention * slowness_);
}

ServerModel::ServerModel(const ServerSpec& make, const RuleParameters& rules, bool missing_answers,
                         ModelStore& store, core::TimerService& clock, std::uint64_t seed, double mean_work)
    : make_(make), rules_(rules), mean_work_(mean_work), missing_answers_(missing_answers), store_(store),
      clock_(clock), chance_(static_cast<std::uint_fast32_t>(seed % 16'777'213)) {}
ServerModel::~ServerModel() = default;

void ServerModel::at(Time when, std::function<void()> call) {
  clock_.at(when, [call = std::move(call), alive = std::weak_ptr(life_)] {
    if (!alive.expired()) call();
  });
}

void ServerModel::start(bool cold) {
  stop();
  started_ = clock_.now();
  cold_ = cold;
  fallen_ = draining_ = false;
  life_ = std::make_shared<int>(0);
}

void ServerModel::stop() {
  life_.reset();
  for (int i = 0; i < loading_; ++i) store_.end();
  jobs_.clear();
  functions_.clear();
  ready_.clear();
  load_queue_.clear();
  arrivals_.clear();
  memory_used_ = 0;
  running_ = loading_ = 0;
}

double ServerModel::capacity(Time now) const {
  if (!cold_) return 1;
  const double age = static_cast<double>(now - started_) / static_cast<double>(rules_.warm_up_span);
  return std::min(1.0, rules_.initial_capacity + (1 - rules_.initial_capacity) * age);
}

// Each request that reaches a cold machine counts as one of mean work, also one that is turned away. Whether
// this one is beyond the budget in slow start: then the machine falls over.
bool ServerModel::overloads_slow_start(Time now) {
  if (!cold_ || now - started_ >= rules_.warm_up_span) return false;
  arrivals_.push_back(now);
  while (arrivals_.front() <= now - rules_.budget_span) arrivals_.pop_front();
  const double able = make_.cores * make_.speed * capacity(now) * static_cast<double>(rules_.budget_span);
  const double allowed = rules_.budget_multiple * able / mean_work_;
  return static_cast<double>(arrivals_.size()) > slow_start_budget(allowed);
}

// Nothing is answered any more, also not what it had.
void ServerModel::collapse() {
  if (fallen_) return;
  stop();
  fallen_ = true;
}

ServerModel::Copies& ServerModel::copies_of(const FunctionSpec& function) {
  auto& copies = functions_[function.name];
  if (!copies) {
    copies = std::make_unique<Copies>();
    copies->function = &function;
  }
  return *copies;
}

ServerModel::JobId ServerModel::take(const Job& job, Began began, Done done) {
  const Time now = clock_.now();
  const JobId id = ++last_;
  if (overloads_slow_start(now)) collapse();
  if (fallen_) return id;  // silent for good
  Copies& copies = copies_of(*job.function);
  JobResult end{.outcome = JobOutcome::completed,
                .in_flight = static_cast<int>(copies.queue.size()) + copies.busy_lanes};
  const auto turn_away = [&](JobOutcome outcome) {
    end.outcome = outcome;
    done(end);
    return id;
  };
  if (draining_) return turn_away(JobOutcome::draining);
  if (job_count() >= make_.max_jobs) return turn_away(JobOutcome::overloaded);
  const bool coming = copies.loading + copies.queued > 0;
  if (copies.standing == 0 && !coming) {
    if (missing_answers_) return turn_away(JobOutcome::function_missing);
    if (!ask_load(copies)) return turn_away(JobOutcome::overloaded);
    end.copy_state = CopyState::load_started;
  } else {
    end.copy_state = copies.standing > 0 ? CopyState::loaded : CopyState::load_awaited;
  }
  jobs_[id] = {job, std::move(began), std::move(done), end, false, &copies};
  copies.queue.push_back(id);
  serve(copies);
  // All lanes taken: another copy is started where there is room.
  const int wanted = static_cast<int>(copies.queue.size());
  if (wanted > copies.function->lanes * (copies.loading + copies.queued + 1) && !missing_answers_)
    ask_load(copies);
  return id;
}

void ServerModel::cancel_job(JobId id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  it->second.done = [](const JobResult&) {};
  if (it->second.on_core) return;  // what runs goes on
  Copies& copies = *it->second.copies;
  if (std::erase(copies.queue, id) == 0) {
    std::erase(ready_, id);
    --copies.busy_lanes;
  }
  jobs_.erase(it);
  serve(copies);
}

// Frees the memory of idle copies, the longest idle first, until so much is free.
bool ServerModel::make_room(double memory_mb) {
  while (memory_used_ + memory_mb > make_.memory_mb) {
    Copies* oldest = nullptr;
    for (auto& [name, copies] : functions_) {
      const bool idle = copies->standing > 0 && copies->busy_lanes == 0 && copies->queue.empty();
      if (idle && (oldest == nullptr || copies->idle_since < oldest->idle_since)) oldest = copies.get();
    }
    if (oldest == nullptr) return false;
    --oldest->standing;
    memory_used_ -= oldest->function->memory_mb;
  }
  return true;
}

bool ServerModel::ask_load(Copies& copies) {
  if (load_queue_.size() >= most_queued_loads || !make_room(copies.function->memory_mb)) return false;
  memory_used_ += copies.function->memory_mb;
  ++copies.queued;
  load_queue_.push_back(&copies);
  next_load();
  return true;
}

void ServerModel::next_load() {
  while (loading_ < make_.concurrent_loads && !load_queue_.empty()) {
    Copies& copies = *load_queue_.front();
    load_queue_.pop_front();
    --copies.queued;
    ++copies.loading;
    const Time now = clock_.now();
    const Time load = copies.function->load;
    const Time usual_fetch = static_cast<Time>(static_cast<double>(load) * store_.fetch_share());
    const Time fetch = store_.begin(usual_fetch);
    if (fetch < 0) {
      at(now + 10, [this, &copies] { loaded(copies, false); });
      continue;
    }
    ++loading_;
    const double setup = static_cast<double>(load - usual_fetch) * slowness_;
    at(now + fetch, [this, &copies, setup] {
      store_.end();
      --loading_;
      at(clock_.now() + static_cast<Time>(setup), [this, &copies] { loaded(copies, true); });
      next_load();
    });
  }
}

void ServerModel::loaded(Copies& copies, bool good) {
  --copies.loading;
  if (good) {
    ++copies.standing;
    copies.idle_since = clock_.now();
    expire_idle(copies);
    serve(copies);
    tell_holds(copies, JobOutcome::completed);
    return;
  }
  memory_used_ -= copies.function->memory_mb;
  if (copies.standing + copies.loading + copies.queued > 0) return;
  // Nothing will ever stand: what waits on the load hears so.
  for (const JobId id : std::exchange(copies.queue, {})) {
    const auto it = jobs_.find(id);
    const Running job = std::move(it->second);
    jobs_.erase(it);
    JobResult end = job.end;
    end.outcome = JobOutcome::load_failed;
    job.done(end);
  }
  tell_holds(copies, JobOutcome::load_failed);
}

void ServerModel::tell_holds(Copies& copies, JobOutcome failed) {
  std::vector<Waiting> left;
  for (Waiting& prewarm : std::exchange(copies.holds, {})) {
    const bool stands = copies.standing >= prewarm.copies;
    if (stands || copies.loading + copies.queued == 0) {
      prewarm.held(stands                            ? JobOutcome::completed
                   : failed == JobOutcome::completed ? JobOutcome::overloaded
                                                     : failed,
                   copies.standing);
    } else {
      left.push_back(std::move(prewarm));
    }
  }
  copies.holds = std::move(left);
}

void ServerModel::expire_idle(Copies& copies) {
  at(clock_.now() + make_.keep_alive, [this, &copies] {
    const bool idle = copies.busy_lanes == 0 && copies.queue.empty() && copies.standing > 0;
    if (!idle || clock_.now() - copies.idle_since < make_.keep_alive) return;
    memory_used_ -= copies.standing * copies.function->memory_mb;
    copies.standing = 0;
  });
}

void ServerModel::serve(Copies& copies) {
  while (!copies.queue.empty() && copies.busy_lanes < copies.standing * copies.function->lanes) {
    const JobId id = copies.queue.front();
    copies.queue.pop_front();
    ++copies.busy_lanes;
    ready_.push_back(id);
  }
  next_on_core();
}

void ServerModel::next_on_core() {
  while (running_ < static_cast<int>(make_.cores) && !ready_.empty()) {
    const JobId id = ready_.front();
    ready_.pop_front();
    Running& job = jobs_.at(id);
    const Time now = clock_.now();
    if (job.job.expires > 0 && now >= job.job.expires) {
      Copies& copies = *job.copies;
      const Running expired = std::move(job);
      jobs_.erase(id);
      --copies.busy_lanes;
      JobResult end = expired.end;
      end.outcome = JobOutcome::expired;
      expired.done(end);
      return serve(copies);
    }
    job.on_core = true;
    ++running_;
    job.began();
    const double spread = std::exponential_distribution<double>(1)(chance_) * 0.5 + 0.5;
    const double time =
        static_cast<double>(job.job.work) * spread * slowness_ / (make_.speed * capacity(now));
    at(now + std::max<Time>(static_cast<Time>(time), 1), [this, id] { finish(id); });
  }
}

void ServerModel::finish(JobId id) {
  const auto it = jobs_.find(id);
  const Running job = std::move(it->second);
  jobs_.erase(it);
  --running_;
  Copies& copies = *job.copies;
  --copies.busy_lanes;
  copies.idle_since = clock_.now();
  if (copies.busy_lanes == 0 && copies.queue.empty()) expire_idle(copies);
  job.done(job.end);
  serve(copies);
}

void ServerModel::prewarm(const FunctionSpec& function, int wanted, Prewarmed held) {
  if (fallen_) return;
  Copies& copies = copies_of(function);
  if (draining_) return held(JobOutcome::draining, copies.standing);
  copies.idle_since = clock_.now();
  while (copies.standing + copies.loading + copies.queued < wanted) {
    if (!ask_load(copies)) return held(JobOutcome::overloaded, copies.standing);
  }
  if (copies.standing >= wanted) return held(JobOutcome::completed, copies.standing);
  copies.holds.push_back({wanted, std::move(held)});
}

void ServerModel::evict(const FunctionSpec& function) {
  Copies& copies = copies_of(function);
  const int needed = (copies.busy_lanes + function.lanes - 1) / function.lanes;
  const int idle = std::max(copies.standing - needed, 0);
  copies.standing -= idle;
  memory_used_ -= idle * function.memory_mb;
}

std::vector<std::pair<std::string, int>> ServerModel::instance_counts() const {
  std::vector<std::pair<std::string, int>> rows;
  for (const auto& [name, copies] : functions_) rows.emplace_back(name, copies->standing);
  return rows;
}

}  // namespace rushhill::standin
