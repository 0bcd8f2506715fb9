// Simulates many routers with one fleet of endpoints. The routers carry uneven shares of the load and receive
// endpoint list messages at different times, while endpoints are replaced or restart cold and routers
// restart. Time and randomness are simulated: the same scenario and seed give the same run.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>

#include "routing/routing_policy.h"
#include "simulated_endpoint.h"
#include "slow_start_audit.h"

namespace rushhill {

// Runs calls at times of a simulated clock. Calls at the same time run in the order in which they were added.
class SimulatedScheduler {
 public:
  explicit SimulatedScheduler(Time start) : now_(start) {}

  Time now() const { return now_; }
  void schedule(Time when, std::function<void()> call) {
    queue_.push({when, ++last_number_, std::make_shared<std::function<void()>>(std::move(call))});
  }
  void run_until(Time end) {
    while (!queue_.empty() && now_ < end) {
      const Scheduled next = queue_.top();
      queue_.pop();
      now_ = std::max(now_, next.time);
      (*next.call)();
    }
  }

 private:
  struct Scheduled {
    Time time;
    std::uint64_t number;
    std::shared_ptr<std::function<void()>> call;
    bool operator<(const Scheduled& other) const {
      return std::pair(time, number) > std::pair(other.time, other.number);
    }
  };

  Time now_;
  std::uint64_t last_number_ = 0;
  std::priority_queue<Scheduled> queue_;
};

// Runs a scenario once.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(const FleetScenario& scenario)
      : scenario_(scenario), random_(scenario.seed), configuration_(configuration_of(scenario)),
        audit_(scenario) {
    for (int i = 0; i < scenario.endpoints; ++i) add_endpoint(0);
    for (int i = 0; i < scenario.routers; ++i) {
      traffic_shares_.push_back(
          std::exp(std::normal_distribution<double>(0, traffic_share_deviation)(random_)));
      routers_.push_back(std::make_unique<Router>(*this, i));
      start_router(*routers_.back());
    }
    double sum = 0;
    for (const double share : traffic_shares_) sum += share;
    for (double& share : traffic_shares_) share /= sum;
    for (std::size_t i = 0; i < traffic_shares_.size(); ++i) schedule_request(i);
    schedule_release();
    schedule_crashes();
    schedule_router_restarts();
  }

  void run() {
    scheduler_.run_until(start_ + scenario_.length);
    for (const auto& [id, endpoint] : endpoints_) audit_.add_permitted(scheduler_.now(), endpoint);
  }
  const SlowStartAudit& audit() const { return audit_; }
  int requests() const { return requests_; }
  int succeeded() const { return succeeded_; }

 private:
  // Standard deviation of the logarithm of a router's share of the traffic.
  static constexpr double traffic_share_deviation = 0.9;
  // A few functions get most of the requests.
  static constexpr double function_rank_exponent = -1 / 0.35;
  static constexpr int functions = 400;
  static constexpr int release_steps = 3;
  static constexpr Time network_delay = 5;  // one way, from a router to an endpoint
  static constexpr Time probe_delay = 10;
  static constexpr Time gossip_delay = 100;
  static constexpr Time min_notification_delay = 100;

  // Identifies an attempt of a router by its request and attempt number.
  using AttemptKey = std::pair<RequestId, int>;

  // One router with its policy. It is the policy's host.
  struct Router final : RoutingHost {
    Router(SimulatedFleet& simulated_fleet, int index) : fleet(simulated_fleet), number(index) {}

    void send_attempt(RequestId request, const EndpointId& endpoint, const AttemptLimits&) override {
      const AttemptKey attempt{request, attempts_sent[request]++};
      open_attempts.insert(attempt);
      fleet.scheduler_.schedule(fleet.scheduler_.now() + network_delay, [this, attempt, endpoint] {
        fleet.attempt_arrived(*this, attempt, endpoint);
      });
    }
    void cancel_attempt(RequestId request, int attempt_number) override {
      end_attempt({request, attempt_number},
                  {.outcome = AttemptOutcome::cancelled, .sent = fleet.scheduler_.now()});
    }
    void reject(RequestId request, Duration) override { end_without_reply(request); }
    void fail(RequestId request) override { end_without_reply(request); }
    void set_timer(std::int64_t token, Timestamp when) override {
      fleet.scheduler_.schedule(to_ticks(when), [this, set_by = process, token] {
        if (set_by == process) policy->timer_fired(now(), token);
      });
    }
    void probe(const EndpointId& id) override {
      fleet.scheduler_.schedule(fleet.scheduler_.now() + probe_delay, [this, sent_by = process, id] {
        if (sent_by != process) return;
        SimulatedEndpoint& endpoint = fleet.count_received(*this, id);
        policy->probe_ended(now(), {.endpoint = id,
                                    .taken = to_duration(probe_delay),
                                    .report = {{"util", endpoint.utilization(fleet.scheduler_.now())}}});
      });
    }
    void close_idle_connections(const EndpointId&) override {}
    void prewarm(const EndpointId& id, const FunctionId& function, int) override {
      fleet.scheduler_.schedule(
          fleet.scheduler_.now() + network_delay, [this, sent_by = process, id, function] {
            SimulatedEndpoint& endpoint = fleet.count_received(*this, id);
            endpoint.load_copy(fleet.scheduler_.now(), function);
            fleet.scheduler_.schedule(endpoint.copy_ready_at(function), [this, sent_by, id, function] {
              if (sent_by != process) return;
              policy->prewarm_ended(now(), {.endpoint = id,
                                            .function = function,
                                            .taken = to_duration(SimulatedEndpoint::load_time),
                                            .copies = 1});
            });
          });
    }
    void evict(const EndpointId&, const FunctionId&) override {}
    void send_gossip(int, const std::string& bytes) override {
      fleet.scheduler_.schedule(fleet.scheduler_.now() + gossip_delay, [this, bytes] {
        for (auto& other : fleet.routers_) {
          if (other.get() != this) other->policy->gossip_received(now(), number, bytes);
        }
      });
    }
    void watch_endpoints(bool) override {}
    void resync_endpoints() override {}
    void log(const std::string&) override {}

    // An endpoint's answer to an attempt.
    struct Answer {
      EndpointId endpoint{};
      AttemptOutcome outcome = AttemptOutcome::succeeded;
      CopyState copy_state = CopyState::unknown;
      Time sent = 0;
    };
    void end_attempt(const AttemptKey& attempt, const Answer& answer) {
      fleet.scheduler_.schedule(fleet.scheduler_.now(), [this, attempt, answer] {
        if (open_attempts.erase(attempt) == 0) return;
        const bool succeeded = answer.outcome == AttemptOutcome::succeeded;
        fleet.succeeded_ += succeeded ? 1 : 0;
        policy->attempt_ended(now(), {.request = attempt.first,
                                      .attempt_number = attempt.second,
                                      .endpoint = answer.endpoint,
                                      .outcome = answer.outcome,
                                      .final = succeeded,
                                      .taken = to_duration(fleet.scheduler_.now() - answer.sent),
                                      .copy_state = answer.copy_state});
      });
    }
    void end_without_reply(RequestId request) {
      attempts_sent.erase(request);
      fleet.maybe_retry(*this);
    }
    bool was_notified_of(const SimulatedEndpoint& endpoint) const {
      const auto it = notified_starts.find(endpoint.list_entry().id);
      return it != notified_starts.end() && it->second == endpoint.started();
    }
    Timestamp now() const { return to_timestamp(fleet.scheduler_.now()); }

    SimulatedFleet& fleet;
    int number;
    int process = 0;                             // increases each time the router restarts
    std::map<EndpointId, Time> notified_starts;  // by endpoint, as in the endpoint list messages received
    std::unique_ptr<RoutingPolicy> policy;
    std::map<RequestId, int> attempts_sent;
    std::set<AttemptKey> open_attempts;
    std::map<RequestId, FunctionId> functions;
    RequestId last_request = 0;
  };

  static RoutingConfiguration configuration_of(const FleetScenario& scenario) {
    RoutingConfiguration configuration;
    configuration.routers = scenario.routers;
    configuration.tick = to_duration(40);
    configuration.request_classes.push_back({.name = "lookup",
                                             .latency_objective = to_duration(scenario.latency_objective),
                                             .deadline_span = to_duration(deadline_span(scenario))});
    configuration.slow_start.budget_multiple = budget_multiple;
    configuration.slow_start.budget_span = to_duration(budget_span);
    configuration.slow_start.initial_capacity = scenario.initial_capacity;
    configuration.slow_start.warm_up_span = to_duration(scenario.warm_up_span);
    configuration.retries.attempt_limit = 5;
    configuration.retries.cancel_attempts = true;
    configuration.reports.probes = true;
    configuration.reports.gossip = true;
    configuration.reports.load_reports = "probe";
    configuration.copies.prewarm = true;
    configuration.copies.state_is_reported = true;
    configuration.copies.missing_copy_is_reported = scenario.missing_copy_is_reported;
    configuration.copies.prewarm_timeout = to_duration(5 * second);
    configuration.copies.keep_alive = to_duration(13 * second);
    configuration.connect_timeout = to_duration(second / 4);
    return configuration;
  }
  static Time deadline_span(const FleetScenario& scenario) { return 10 * scenario.latency_objective / 3; }

  // Endpoints.

  SimulatedEndpoint& add_endpoint(Time started) {
    const EndpointId id = endpoint_id(static_cast<int>(endpoints_.size()));
    SimulatedEndpoint& endpoint = endpoints_.try_emplace(id, id, started).first->second;
    audit_.process_started(started, endpoint);
    return endpoint;
  }
  static EndpointId endpoint_id(int number) { return "s" + std::to_string(number + 100); }
  std::vector<Endpoint> endpoint_list() const {
    std::vector<Endpoint> list;
    for (const auto& [id, endpoint] : endpoints_) list.push_back(endpoint.list_entry());
    return list;
  }
  void notify_all(const Endpoint& endpoint) {
    for (auto& router : routers_) {
      const Time delay = std::uniform_int_distribution<Time>(min_notification_delay,
                                                             scenario_.max_notification_delay)(random_);
      scheduler_.schedule(scheduler_.now() + delay, [this, notified = router.get(), endpoint] {
        notified->notified_starts[endpoint.id] = to_ticks(endpoint.started);
        notified->policy->endpoints_updated(to_timestamp(scheduler_.now()), EndpointListForm::delta,
                                            {endpoint});
      });
    }
  }
  void schedule_release() {
    const int count = static_cast<int>(scenario_.replaced_share * scenario_.endpoints);
    std::vector<EndpointId> old;
    for (const auto& [id, endpoint] : endpoints_) old.push_back(id);
    for (int step = 0; step < release_steps; ++step) {
      const Time when = start_ + scenario_.release_at + step * scenario_.release_span / release_steps;
      for (int i = step * count / release_steps; i < (step + 1) * count / release_steps; ++i)
        schedule_replacement(when, old[static_cast<std::size_t>(i)]);
    }
  }
  void schedule_replacement(Time when, const EndpointId& leaving) {
    scheduler_.schedule(when, [this] { notify_all(add_endpoint(scheduler_.now()).list_entry()); });
    scheduler_.schedule(when + second, [this, leaving] {
      endpoints_.at(leaving).drain();
      notify_all(endpoints_.at(leaving).list_entry());
    });
  }
  // Endpoints whose process dies and restarts cold at once. The routers are notified at different times.
  void schedule_crashes() {
    const int count = static_cast<int>(std::lround(scenario_.crashed_share * scenario_.endpoints));
    for (int i = 0; i < count; ++i) {
      scheduler_.schedule(start_ + scenario_.release_at, [this, id = endpoint_id(i)] {
        SimulatedEndpoint& endpoint = endpoints_.at(id);
        endpoint.restart(id, scheduler_.now());
        audit_.process_started(scheduler_.now(), endpoint);
        notify_all(endpoint.list_entry());
      });
    }
  }

  // Routers.

  void start_router(Router& router) {
    configuration_.router_number = router.number;
    const auto seed =
        scenario_.seed * 1'000U + static_cast<std::uint32_t>(router.number + 100'000 * router.process);
    router.policy = make_routing_policy(configuration_, seed, router);
    const std::vector<Endpoint> list = endpoint_list();
    router.policy->endpoints_updated(to_timestamp(scheduler_.now()), EndpointListForm::complete, list);
    for (const Endpoint& endpoint : list) router.notified_starts[endpoint.id] = to_ticks(endpoint.started);
  }
  void schedule_router_restarts() {
    const int count = static_cast<int>(scenario_.restarted_router_share * scenario_.routers);
    const Time span = scenario_.release_span + 2 * second;
    for (int i = 0; i < count; ++i) {
      scheduler_.schedule(start_ + scenario_.release_at + span * i / std::max(1, count), [this, i] {
        Router& router = *routers_[static_cast<std::size_t>(i * 2 % scenario_.routers)];
        ++router.process;
        router.open_attempts.clear();
        router.attempts_sent.clear();
        start_router(router);
      });
    }
  }

  // Requests.

  // Repeats a rejected or failed request as its client would, with the scenario's probability.
  void maybe_retry(Router& router) {
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= scenario_.retried_share) return;
    scheduler_.schedule(scheduler_.now() + scenario_.work, [this, &router] { send_request(router); });
  }
  void send_request(Router& router) {
    const double drawn = std::uniform_real_distribution<double>(0, 1)(random_);
    const int function = static_cast<int>(std::pow(1 - drawn, function_rank_exponent));
    const RequestId id = ++router.last_request;
    const FunctionId name = "f" + std::to_string(std::min(function, functions));
    router.functions[id] = name;
    router.policy->request_received(to_timestamp(scheduler_.now()),
                                    {.id = id,
                                     .request_class = "lookup",
                                     .function = name,
                                     .time_left = to_duration(deadline_span(scenario_)),
                                     .load_time = to_duration(SimulatedEndpoint::load_time)});
  }
  void schedule_request(std::size_t router) {
    const bool released = scheduler_.now() - start_ >= scenario_.release_at;
    const double load = released ? scenario_.load_after_release : scenario_.load;
    const double rate = traffic_shares_[router] * load * scenario_.endpoints * scenario_.cores /
                        static_cast<double>(scenario_.work);
    const Time gap = 1 + static_cast<Time>(std::exponential_distribution<double>(rate)(random_));
    scheduler_.schedule(scheduler_.now() + gap, [this, router] {
      ++requests_;
      send_request(*routers_[router]);
      schedule_request(router);
    });
  }

  // Counts a request, probe or order that an endpoint receives from a router, and returns the endpoint.
  SimulatedEndpoint& count_received(const Router& router, const EndpointId& id) {
    SimulatedEndpoint& endpoint = endpoints_.at(id);
    audit_.received(scheduler_.now(), endpoint, router.was_notified_of(endpoint));
    return endpoint;
  }
  void attempt_arrived(Router& router, const AttemptKey& attempt, const EndpointId& id) {
    if (!router.open_attempts.contains(attempt)) return;
    SimulatedEndpoint& endpoint = count_received(router, id);
    Router::Answer answer{.endpoint = id, .sent = scheduler_.now() - network_delay};
    const FunctionId function = scenario_.missing_copy_is_reported ? router.functions[attempt.first] : "any";
    answer.outcome = outcome_at(endpoint, function);
    if (answer.outcome != AttemptOutcome::succeeded) {
      router.end_attempt(attempt, answer);
      return;
    }
    run_attempt(router, attempt, answer, endpoint, function);
  }
  AttemptOutcome outcome_at(SimulatedEndpoint& endpoint, const FunctionId& function) {
    if (!endpoint.accepts(scheduler_.now())) return AttemptOutcome::overloaded;
    if (std::uniform_real_distribution<double>(0, 1)(random_) < scenario_.failing_share)
      return AttemptOutcome::error;
    const bool missing = scenario_.missing_copy_is_reported && !endpoint.has_copy(function);
    if (missing && !endpoint.warm_from_start()) return AttemptOutcome::function_missing;
    return AttemptOutcome::succeeded;
  }
  void run_attempt(Router& router, const AttemptKey& attempt, Router::Answer answer,
                   SimulatedEndpoint& endpoint, const FunctionId& function) {
    const double worker_speed = scenario_.cores / 2 * endpoint.capacity(scheduler_.now(), scenario_);
    const double work =
        std::exponential_distribution<double>(1 / static_cast<double>(scenario_.work))(random_);
    const bool starts_load = endpoint.load_copy(scheduler_.now(), function);
    answer.copy_state = starts_load ? CopyState::load_started : CopyState::loaded;
    const Time done = endpoint.run(scheduler_.now(), function, work / worker_speed);
    endpoint.add_work(scheduler_.now(), work / scenario_.cores);
    scheduler_.schedule(done,
                        [&router, &endpoint, run_by = endpoint.process_number(), attempt, answer]() mutable {
                          if (run_by != endpoint.process_number()) {
                            answer.outcome = AttemptOutcome::connection_lost;
                            answer.copy_state = CopyState::unknown;
                          }
                          router.end_attempt(attempt, answer);
                        });
  }

  const Time start_ = 100 * second;
  FleetScenario scenario_;
  std::mt19937_64 random_;
  RoutingConfiguration configuration_;
  SlowStartAudit audit_;
  SimulatedScheduler scheduler_{start_};
  std::map<EndpointId, SimulatedEndpoint> endpoints_;
  std::vector<double> traffic_shares_;  // by router
  std::vector<std::unique_ptr<Router>> routers_;
  int requests_ = 0;
  int succeeded_ = 0;
};

}  // namespace rushhill
