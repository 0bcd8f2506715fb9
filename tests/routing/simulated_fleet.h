// Many routing policies beside each other that are notified of the same endpoints at different moments, with
// load spread unevenly, while endpoints are replaced or come back cold and routers are started again. Time
// and chance are simulated: a scenario and its seed give the same run.
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

// Calls at moments of a simulated clock; those of one moment in the order in which they were added.
class SimulatedCalls {
 public:
  explicit SimulatedCalls(Time start) : now_(start) {}

  Time now() const { return now_; }
  void at(Time when, std::function<void()> call) {
    queue_.push({when, ++last_number_, std::make_shared<std::function<void()>>(std::move(call))});
  }
  void run_until(Time end) {
    while (!queue_.empty() && now_ < end) {
      const Scheduled next = queue_.top();
      queue_.pop();
      now_ = std::max(now_, next.at);
      (*next.call)();
    }
  }

 private:
  struct Scheduled {
    Time at;
    std::uint64_t number;
    std::shared_ptr<std::function<void()>> call;
    bool operator<(const Scheduled& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  Time now_;
  std::uint64_t last_number_ = 0;
  std::priority_queue<Scheduled> queue_;
};

// Plays a scenario once.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(const FleetScenario& scenario)
      : scenario_(scenario), random_(scenario.seed), configuration_(configuration_of(scenario)),
        audit_(scenario) {
    for (int i = 0; i < scenario.endpoints; ++i) add_endpoint(0);
    for (int i = 0; i < scenario.routers; ++i) {
      traffic_shares_.push_back(std::exp(std::normal_distribution<double>(0, traffic_spread)(random_)));
      routers_.push_back(std::make_unique<Router>(*this, i));
      start(*routers_.back());
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
    calls_.run_until(start_ + scenario_.length);
    for (const auto& [id, endpoint] : endpoints_) audit_.add_permitted(calls_.now(), endpoint);
  }
  const SlowStartAudit& audit() const { return audit_; }
  int requests() const { return requests_; }
  int succeeded() const { return succeeded_; }

 private:
  static constexpr double traffic_spread = 0.9;         // of the logarithm of the routers' traffic
  static constexpr double function_spread = -1 / 0.35;  // few functions are hot, many are rare
  static constexpr int functions = 400;
  static constexpr int release_steps = 3;
  static constexpr Time network_delay = 5;  // from a router to an endpoint
  static constexpr Time probe_delay = 10;
  static constexpr Time gossip_delay = 100;
  static constexpr Time shortest_notification = 100;

  // Names an attempt of a router.
  using AttemptKey = std::pair<RequestId, int>;

  // One router: its policy, and the host that sends for it.
  struct Router final : RoutingHost {
    Router(SimulatedFleet& its_fleet, int its_number) : fleet(its_fleet), number(its_number) {}

    void send_attempt(RequestId request, const EndpointId& endpoint, Duration) override {
      const AttemptKey attempt{request, attempts_sent[request]++};
      open.insert(attempt);
      fleet.calls_.at(fleet.calls_.now() + network_delay,
                      [this, attempt, endpoint] { fleet.arrive(*this, attempt, endpoint); });
    }
    void cancel_attempt(RequestId request, int attempt_number) override {
      end({request, attempt_number}, {.outcome = AttemptOutcome::cancelled, .sent = fleet.calls_.now()});
    }
    void reject(RequestId request, Duration) override { answered_without_reply(request); }
    void fail(RequestId request) override { answered_without_reply(request); }
    void set_timer(std::int64_t token, Timestamp when) override {
      fleet.calls_.at(to_ticks(when), [this, set_by = process, token] {
        if (set_by == process) policy->timer_fired(now(), token);
      });
    }
    void probe(const EndpointId& id) override {
      fleet.calls_.at(fleet.calls_.now() + probe_delay, [this, sent_by = process, id] {
        if (sent_by != process) return;
        SimulatedEndpoint& endpoint = fleet.receive(*this, id);
        policy->probe_ended(now(), {.endpoint = id,
                                    .taken = to_duration(probe_delay),
                                    .report = {{"util", endpoint.utilization(fleet.calls_.now())}}});
      });
    }
    void close_idle(const EndpointId&) override {}
    void prewarm(const EndpointId& id, const FunctionId& function, int) override {
      fleet.calls_.at(fleet.calls_.now() + network_delay, [this, sent_by = process, id, function] {
        SimulatedEndpoint& endpoint = fleet.receive(*this, id);
        endpoint.load_copy(fleet.calls_.now(), function);
        fleet.calls_.at(endpoint.copy_ready_at(function), [this, sent_by, id, function] {
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
      fleet.calls_.at(fleet.calls_.now() + gossip_delay, [this, bytes] {
        for (auto& other : fleet.routers_) {
          if (other.get() != this) other->policy->gossip_received(now(), number, bytes);
        }
      });
    }
    void watch_endpoints(bool) override {}
    void resync_endpoints() override {}
    void log(const std::string&) override {}

    // What an endpoint answers.
    struct Answer {
      EndpointId endpoint{};
      AttemptOutcome outcome = AttemptOutcome::succeeded;
      CopyState copy_state = CopyState::unknown;
      Time sent = 0;
    };
    void end(const AttemptKey& attempt, const Answer& answer) {
      fleet.calls_.at(fleet.calls_.now(), [this, attempt, answer] {
        if (open.erase(attempt) == 0) return;
        const bool succeeded = answer.outcome == AttemptOutcome::succeeded;
        fleet.succeeded_ += succeeded ? 1 : 0;
        policy->attempt_ended(now(), {.request = attempt.first,
                                      .attempt_number = attempt.second,
                                      .endpoint = answer.endpoint,
                                      .outcome = answer.outcome,
                                      .final = succeeded,
                                      .taken = to_duration(fleet.calls_.now() - answer.sent),
                                      .copy_state = answer.copy_state});
      });
    }
    void answered_without_reply(RequestId request) {
      attempts_sent.erase(request);
      fleet.retry(*this);
    }
    bool was_notified_of(const SimulatedEndpoint& endpoint) const {
      const auto it = notified_starts.find(endpoint.listed().id);
      return it != notified_starts.end() && it->second == endpoint.started();
    }
    Timestamp now() const { return to_timestamp(fleet.calls_.now()); }

    SimulatedFleet& fleet;
    int number;
    int process = 0;                             // one more each time it is started again
    std::map<EndpointId, Time> notified_starts;  // of the endpoints, as it was notified
    std::unique_ptr<RoutingPolicy> policy;
    std::map<RequestId, int> attempts_sent;
    std::set<AttemptKey> open;
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
    configuration.copies.missing_is_answered = scenario.missing_is_answered;
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
    audit_.started(started, endpoint);
    return endpoint;
  }
  static EndpointId endpoint_id(int number) { return "s" + std::to_string(number + 100); }
  std::vector<Endpoint> endpoint_list() const {
    std::vector<Endpoint> list;
    for (const auto& [id, endpoint] : endpoints_) list.push_back(endpoint.listed());
    return list;
  }
  void notify_all(const Endpoint& endpoint) {
    for (auto& router : routers_) {
      const Time delay =
          std::uniform_int_distribution<Time>(shortest_notification, scenario_.notified_within)(random_);
      calls_.at(calls_.now() + delay, [this, notified = router.get(), endpoint] {
        notified->notified_starts[endpoint.id] = to_ticks(endpoint.started);
        notified->policy->endpoints_updated(to_timestamp(calls_.now()), EndpointListForm::delta, {endpoint});
      });
    }
  }
  void schedule_release() {
    const int count = static_cast<int>(scenario_.replaced * scenario_.endpoints);
    std::vector<EndpointId> old;
    for (const auto& [id, endpoint] : endpoints_) old.push_back(id);
    for (int step = 0; step < release_steps; ++step) {
      const Time when = start_ + scenario_.release_at + step * scenario_.release_span / release_steps;
      for (int i = step * count / release_steps; i < (step + 1) * count / release_steps; ++i)
        schedule_replacement(when, old[static_cast<std::size_t>(i)]);
    }
  }
  void schedule_replacement(Time when, const EndpointId& leaving) {
    calls_.at(when, [this] { notify_all(add_endpoint(calls_.now()).listed()); });
    calls_.at(when + second, [this, leaving] {
      endpoints_.at(leaving).drain();
      notify_all(endpoints_.at(leaving).listed());
    });
  }
  // Endpoints whose process dies and is back at once, cold; the routers are notified one after the other.
  void schedule_crashes() {
    const int count = static_cast<int>(std::lround(scenario_.crashed * scenario_.endpoints));
    for (int i = 0; i < count; ++i) {
      calls_.at(start_ + scenario_.release_at, [this, id = endpoint_id(i)] {
        SimulatedEndpoint& endpoint = endpoints_.at(id);
        endpoint.restart(id, calls_.now());
        audit_.started(calls_.now(), endpoint);
        notify_all(endpoint.listed());
      });
    }
  }

  // Routers.

  void start(Router& router) {
    configuration_.router_number = router.number;
    const auto seed =
        scenario_.seed * 1'000U + static_cast<std::uint32_t>(router.number + 100'000 * router.process);
    router.policy = make_routing_policy(configuration_, seed, router);
    const std::vector<Endpoint> list = endpoint_list();
    router.policy->endpoints_updated(to_timestamp(calls_.now()), EndpointListForm::complete, list);
    for (const Endpoint& endpoint : list) router.notified_starts[endpoint.id] = to_ticks(endpoint.started);
  }
  void schedule_router_restarts() {
    const int count = static_cast<int>(scenario_.restarted * scenario_.routers);
    const Time span = scenario_.release_span + 2 * second;
    for (int i = 0; i < count; ++i) {
      calls_.at(start_ + scenario_.release_at + span * i / std::max(1, count), [this, i] {
        Router& router = *routers_[static_cast<std::size_t>(i * 2 % scenario_.routers)];
        ++router.process;
        router.open.clear();
        router.attempts_sent.clear();
        start(router);
      });
    }
  }

  // Requests.

  // Clients of what was rejected or failed come again.
  void retry(Router& router) {
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= scenario_.retried) return;
    calls_.at(calls_.now() + scenario_.work, [this, &router] { request(router); });
  }
  void request(Router& router) {
    const double drawn = std::uniform_real_distribution<double>(0, 1)(random_);
    const int function = static_cast<int>(std::pow(1 - drawn, function_spread));
    const RequestId id = ++router.last_request;
    const FunctionId name = "f" + std::to_string(std::min(function, functions));
    router.functions[id] = name;
    router.policy->request_received(to_timestamp(calls_.now()),
                                    {.id = id,
                                     .request_class = "lookup",
                                     .function = name,
                                     .time_left = to_duration(deadline_span(scenario_)),
                                     .load_time = to_duration(SimulatedEndpoint::load_time)});
  }
  void schedule_request(std::size_t router) {
    const bool released = calls_.now() - start_ >= scenario_.release_at;
    const double load = released ? scenario_.load_after_release : scenario_.load;
    const double rate = traffic_shares_[router] * load * scenario_.endpoints * scenario_.cores /
                        static_cast<double>(scenario_.work);
    const Time gap = 1 + static_cast<Time>(std::exponential_distribution<double>(rate)(random_));
    calls_.at(calls_.now() + gap, [this, router] {
      ++requests_;
      request(*routers_[router]);
      schedule_request(router);
    });
  }

  // Whatever a router sends to an endpoint is counted there.
  SimulatedEndpoint& receive(const Router& router, const EndpointId& id) {
    SimulatedEndpoint& endpoint = endpoints_.at(id);
    audit_.received(calls_.now(), endpoint, router.was_notified_of(endpoint));
    return endpoint;
  }
  void arrive(Router& router, const AttemptKey& attempt, const EndpointId& id) {
    if (!router.open.contains(attempt)) return;
    SimulatedEndpoint& endpoint = receive(router, id);
    Router::Answer answer{.endpoint = id, .sent = calls_.now() - network_delay};
    const FunctionId function = scenario_.missing_is_answered ? router.functions[attempt.first] : "any";
    answer.outcome = outcome_at(endpoint, function);
    if (answer.outcome != AttemptOutcome::succeeded) {
      router.end(attempt, answer);
      return;
    }
    run(router, attempt, answer, endpoint, function);
  }
  AttemptOutcome outcome_at(SimulatedEndpoint& endpoint, const FunctionId& function) {
    if (!endpoint.accepts(calls_.now())) return AttemptOutcome::overloaded;
    if (std::uniform_real_distribution<double>(0, 1)(random_) < scenario_.failing)
      return AttemptOutcome::error;
    const bool missing = scenario_.missing_is_answered && !endpoint.has_copy(function);
    if (missing && !endpoint.warm_from_the_first()) return AttemptOutcome::function_missing;
    return AttemptOutcome::succeeded;
  }
  void run(Router& router, const AttemptKey& attempt, Router::Answer answer, SimulatedEndpoint& endpoint,
           const FunctionId& function) {
    const double pace = scenario_.cores / 2 * endpoint.capacity(calls_.now(), scenario_);
    const double work =
        std::exponential_distribution<double>(1 / static_cast<double>(scenario_.work))(random_);
    const bool loads = endpoint.load_copy(calls_.now(), function);
    answer.copy_state = loads ? CopyState::load_started : CopyState::loaded;
    const Time done = endpoint.run(calls_.now(), function, work / pace);
    endpoint.add_work(calls_.now(), work / scenario_.cores);
    calls_.at(done, [&router, &endpoint, run_by = endpoint.process(), attempt, answer]() mutable {
      if (run_by != endpoint.process()) {
        answer.outcome = AttemptOutcome::connection_lost;
        answer.copy_state = CopyState::unknown;
      }
      router.end(attempt, answer);
    });
  }

  const Time start_ = 100 * second;
  FleetScenario scenario_;
  std::mt19937_64 random_;
  RoutingConfiguration configuration_;
  SlowStartAudit audit_;
  SimulatedCalls calls_{start_};
  std::map<EndpointId, SimulatedEndpoint> endpoints_;
  std::vector<double> traffic_shares_;  // of the routers
  std::vector<std::unique_ptr<Router>> routers_;
  int requests_ = 0;
  int succeeded_ = 0;
};

}  // namespace rushhill
