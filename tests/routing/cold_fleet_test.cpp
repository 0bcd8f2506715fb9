// Rule 4 as the sum over a fleet: many instances of the module, told of the same servers at different
// moments, with load spread unevenly, while servers are replaced or come back cold and routers are started
// again. Counted at the servers: what a cold one gets within the rule's span, against what the rule permits
// it then.
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include "fake_host.h"
#include "routing/routing_policy.h"

namespace rushhill {
namespace {

struct Play {
  std::string name{};
  int routers = 300, servers = 40;
  double load = 0.5;        // of what the warm fleet bears
  double later_load = 0.5;  // from the release on
  double replaced = 0.8;    // of the servers, within `over`
  Time over = 4 * second, release = 12 * second, end = 20 * second;
  double cold_share = 0.16;
  Time cold_span = 10 * second;
  double cores = 3;  // events' work a second that a server does: two cores, half as fast again
  Time work = second / 10;
  std::uint32_t seed = 1;
  double crashed = 0;    // of the servers: these die at the release and are back cold at once
  double restarted = 0;  // of the routers, between the release and two seconds after `over`
  double failing = 0;    // of the attempts end in an error
  double retried = 0;    // of what is rejected or failed comes again from its client after a usual answer
  Time told_within = second;  // each router hears of a change after 0.01 s to this
  bool miss_answers = false;  // a server without the function says so; the routers order it there
  Time due = 3 * second / 4;
};

void PrintTo(const Play& play, std::ostream* out) { *out << play.name; }

class Fleet {
 public:
  explicit Fleet(const Play& play) : play_(play), chance_(play.seed) {
    deployment_.routers = play.routers;
    deployment_.tick = to_duration(40);
    deployment_.request_classes.push_back({.name = "lookup",
                                           .latency_objective = to_duration(play.due),
                                           .deadline_span = to_duration(10 * play.due / 3)});
    deployment_.slow_start.budget_multiple = 2;
    deployment_.slow_start.budget_span = to_duration(3 * second / 2);
    deployment_.slow_start.initial_capacity = play.cold_share;
    deployment_.slow_start.warm_up_span = to_duration(play.cold_span);
    deployment_.retries.attempt_limit = 5;
    deployment_.retries.cancel_attempts = deployment_.reports.probes = deployment_.reports.gossip =
        deployment_.copies.prewarm = true;
    deployment_.copies.state_is_reported = true;
    deployment_.copies.missing_is_answered = play.miss_answers;
    deployment_.copies.prewarm_timeout = to_duration(5 * second);
    deployment_.reports.load_reports = "probe";
    deployment_.copies.keep_alive = to_duration(13 * second);
    deployment_.connect_timeout = to_duration(second / 4);
    for (int i = 0; i < play.servers; ++i) add(0);
    std::vector<Endpoint> all;
    for (const auto& [id, machine] : machines_) all.push_back(machine.told);
    for (int i = 0; i < play.routers; ++i) {
      rates_.push_back(std::exp(std::normal_distribution<double>(0, 0.9)(chance_)));
      instances_.push_back(std::make_unique<Instance>(*this, i));
      start(*instances_.back(), all);
    }
    double sum = 0;
    for (const double rate : rates_) sum += rate;
    for (double& rate : rates_) rate /= sum;
    for (std::size_t i = 0; i < rates_.size(); ++i) next_event(i);
    plan_release();
    plan_crashes();
    plan_restarts();
  }

  void run() {
    while (!queue_.empty() && now_ < start_ + play_.end) {
      const auto next = queue_.top();
      queue_.pop();
      now_ = std::max(now_, next.at);
      (*next.call)();
    }
    for (auto& [id, machine] : machines_) note_permitted(machine, now_);
  }
  // The most that a cold server got within the span, as a part of what the rule permits it.
  double worst() const { return worst_; }
  const std::string& worst_told() const { return worst_told_; }
  // The most that a cold server got within the span beyond N, over twice the root of N and two.
  double worst_excess() const { return worst_excess_; }
  // Requests that cold servers got while every router knew of them, as a part of all that the rule permits.
  double used() const { return permitted_ > 0 ? sent_cold_ / permitted_ : 0; }
  int honoured() const { return honoured_; }
  int taken() const { return taken_; }

 private:
  struct Task {
    Time at;
    std::uint64_t number;
    std::shared_ptr<std::function<void()>> call;
    bool operator<(const Task& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };
  struct Machine {
    Endpoint told;
    std::vector<Time> free;             // when each worker is
    std::deque<Time> ends;              // of what it has in hand
    std::deque<Time> got;               // within the rule's span
    std::map<FunctionId, Time> copies;  // stands from then on
    double busy = 0;                    // work done lately
    Time busy_at = 0;
    int life = 0;        // one more each time it starts again
    Time cold_from = 0;  // what it was permitted is added up until then
  };
  struct Instance final : RoutingHost {
    Instance(Fleet& of, int who) : fleet(of), me(who) {}
    void send_attempt(RequestId event, const EndpointId& server, Duration) override {
      const int leg = legs[event]++;
      open.insert({event, leg});
      fleet.at(fleet.now_ + 5, [this, event, leg, server] { fleet.arrive(*this, event, leg, server); });
    }
    void cancel_attempt(RequestId event, int leg) override {
      finish(event, leg, {}, AttemptOutcome::cancelled, CopyState::unknown, fleet.now_);
    }
    void reject(RequestId event, Duration) override { legs.erase(event), fleet.retry(*this); }
    void fail(RequestId event) override { legs.erase(event), fleet.retry(*this); }
    void set_timer(std::int64_t token, Timestamp when) override {
      fleet.at(to_ticks(when), [this, life = life, token] {
        if (life == this->life) router->timer_fired(to_timestamp(fleet.now_), token);
      });
    }
    void probe(const EndpointId& server) override {
      fleet.at(fleet.now_ + 10, [this, life = life, server] {
        if (life != this->life) return;
        Machine& machine = fleet.machines_.at(server);
        fleet.count(machine, knows(server, machine));
        router->probe_ended(
            to_timestamp(fleet.now_),
            {.endpoint = server, .taken = to_duration(10), .report = {{"util", fleet.use(server)}}});
      });
    }
    void close_idle(const EndpointId&) override {}
    void prewarm(const EndpointId& server, const FunctionId& function, int) override {
      fleet.at(fleet.now_ + 5, [this, life = life, server, function] {
        Machine& machine = fleet.machines_.at(server);
        fleet.count(machine, knows(server, machine));
        machine.copies.try_emplace(function, fleet.now_ + second / 2);
        fleet.at(machine.copies.at(function), [this, life, server, function] {
          if (life != this->life) return;
          router->prewarm_ended(
              to_timestamp(fleet.now_),
              {.endpoint = server, .function = function, .taken = to_duration(second / 2), .copies = 1});
        });
      });
    }
    void evict(const EndpointId&, const FunctionId&) override {}
    void send_gossip(int, const std::string& bytes) override {
      fleet.at(fleet.now_ + 100, [this, bytes] {
        for (auto& other : fleet.instances_) {
          if (other.get() != this) other->router->gossip_received(to_timestamp(fleet.now_), me, bytes);
        }
      });
    }
    void watch_endpoints(bool) override {}
    void resync_endpoints() override {}
    void log(const std::string&) override {}

    void finish(RequestId event, int leg, const EndpointId& server, AttemptOutcome ending, CopyState warmth,
                Time sent) {
      fleet.at(fleet.now_, [this, event, leg, server, ending, warmth, sent] {
        if (open.erase({event, leg}) == 0) return;
        fleet.honoured_ += ending == AttemptOutcome::succeeded ? 1 : 0;
        router->attempt_ended(to_timestamp(fleet.now_), {.request = event,
                                                         .attempt_number = leg,
                                                         .endpoint = server,
                                                         .outcome = ending,
                                                         .final = ending == AttemptOutcome::succeeded,
                                                         .taken = to_duration(fleet.now_ - sent),
                                                         .copy_state = warmth});
      });
    }
    bool knows(const EndpointId& server, const Machine& machine) const {
      const auto it = known.find(server);
      return it != known.end() && it->second == to_ticks(machine.told.started);
    }
    Fleet& fleet;
    int me, life = 0;
    std::map<EndpointId, Time> known;  // start of each server, as told
    std::unique_ptr<RoutingPolicy> router;
    std::map<RequestId, int> legs;
    std::set<std::pair<RequestId, int>> open;
    std::map<RequestId, FunctionId> functions;
    RequestId last = 0;
  };

  void at(Time when, std::function<void()> call) {
    queue_.push({when, ++number_, std::make_shared<std::function<void()>>(std::move(call))});
  }
  EndpointId add(Time started) {
    const EndpointId id = "s" + std::to_string(machines_.size() + 100);
    Machine& machine = machines_[id];
    machine.told = {.id = id, .started = to_timestamp(started)};
    machine.cold_from = started;
    machine.free.assign(2, 0);
    return id;
  }
  void tell_all(const Endpoint& server) {
    for (auto& instance : instances_) {
      at(now_ + std::uniform_int_distribution<Time>(100, play_.told_within)(chance_),
         [this, one = instance.get(), server] {
           one->known[server.id] = to_ticks(server.started);
           one->router->endpoints_updated(to_timestamp(now_), EndpointListForm::delta, {server});
         });
    }
  }
  void plan_release() {
    const int count = static_cast<int>(play_.replaced * play_.servers);
    std::vector<EndpointId> old;
    for (const auto& [id, machine] : machines_) old.push_back(id);
    constexpr int steps = 3;
    for (int step = 0; step < steps; ++step) {
      const Time when = start_ + play_.release + step * play_.over / steps;
      for (int i = step * count / steps; i < (step + 1) * count / steps; ++i) {
        const EndpointId leaving = old[static_cast<std::size_t>(i)];
        at(when, [this] { tell_all(machines_.at(add(now_)).told); });
        at(when + second, [this, leaving] {
          machines_.at(leaving).told.state = EndpointState::draining;
          tell_all(machines_.at(leaving).told);
        });
      }
    }
  }
  void start(Instance& instance, const std::vector<Endpoint>& list) {
    deployment_.router_number = instance.me;
    const auto seed = play_.seed * 1'000U + static_cast<std::uint32_t>(instance.me + 100'000 * instance.life);
    instance.router = make_routing_policy(deployment_, seed, instance);
    instance.router->endpoints_updated(to_timestamp(now_), EndpointListForm::complete, list);
    for (const Endpoint& server : list) instance.known[server.id] = to_ticks(server.started);
  }
  // Servers whose process dies and is back at once, cold; the routers hear of it one after the other.
  void plan_crashes() {
    const int count = static_cast<int>(std::lround(play_.crashed * play_.servers));
    for (int i = 0; i < count; ++i) {
      at(start_ + play_.release, [this, id = "s" + std::to_string(100 + i)] {
        Machine& machine = machines_.at(id);
        machine.cold_from = now_;
        machine.told.started = to_timestamp(now_);
        ++machine.life;
        machine.free.assign(2, now_);
        machine.ends.clear(), machine.got.clear(), machine.copies.clear();
        tell_all(machine.told);
      });
    }
  }
  void plan_restarts() {
    const int count = static_cast<int>(play_.restarted * play_.routers);
    for (int i = 0; i < count; ++i) {
      at(start_ + play_.release + (play_.over + 2 * second) * i / std::max(1, count), [this, i] {
        Instance& instance = *instances_[static_cast<std::size_t>(i * 2 % play_.routers)];
        ++instance.life;
        instance.open.clear(), instance.legs.clear();
        std::vector<Endpoint> list;
        for (const auto& [id, machine] : machines_) list.push_back(machine.told);
        start(instance, list);
      });
    }
  }
  // Clients of what was rejected or failed come again.
  void retry(Instance& from) {
    if (std::uniform_real_distribution<double>(0, 1)(chance_) >= play_.retried) return;
    at(now_ + play_.work, [this, &from] { request(from); });
  }
  void request(Instance& instance) {
    const double u = std::uniform_real_distribution<double>(0, 1)(chance_);
    const int function = static_cast<int>(std::pow(1 - u, -1 / 0.35));  // few are hot, many are rare
    const RequestId id = ++instance.last;
    const std::string name = "f" + std::to_string(std::min(function, 400));
    instance.functions[id] = name;
    instance.router->request_received(to_timestamp(now_), {.id = id,
                                                           .request_class = "lookup",
                                                           .function = name,
                                                           .time_left = to_duration(10 * play_.due / 3),
                                                           .load_time = to_duration(second / 2)});
  }
  void next_event(std::size_t router) {
    const double load = now_ - start_ < play_.release ? play_.load : play_.later_load;
    const double rate = rates_[router] * load * play_.servers * play_.cores / static_cast<double>(play_.work);
    const Time gap = 1 + static_cast<Time>(std::exponential_distribution<double>(rate)(chance_));
    at(now_ + gap, [this, router] {
      ++taken_;
      request(*instances_[router]);
      next_event(router);
    });
  }
  double share(const Machine& machine) const {
    if (machine.told.started == Timestamp{}) return 1;
    const double age = std::max(0.0, static_cast<double>(now_ - to_ticks(machine.told.started) -
                                                         to_ticks(deployment_.slow_start.budget_span)));
    return std::min(1.0,
                    play_.cold_share + (1 - play_.cold_share) * age / static_cast<double>(play_.cold_span));
  }
  void arrive(Instance& from, RequestId event, int leg, const EndpointId& id) {
    if (!from.open.contains({event, leg})) return;
    Machine& machine = machines_.at(id);
    const Time sent = now_ - 5;
    count(machine, from.knows(id, machine));
    while (!machine.ends.empty() && machine.ends.front() <= now_) machine.ends.pop_front();
    if (machine.told.state != EndpointState::active || machine.ends.size() >= 18)
      return from.finish(event, leg, id, AttemptOutcome::overloaded, CopyState::unknown, sent);
    if (std::uniform_real_distribution<double>(0, 1)(chance_) < play_.failing)
      return from.finish(event, leg, id, AttemptOutcome::error, CopyState::unknown, sent);
    const FunctionId copy = play_.miss_answers ? from.functions[event] : "any";
    if (play_.miss_answers && !machine.copies.contains(copy) && machine.told.started != Timestamp{})
      return from.finish(event, leg, id, AttemptOutcome::function_missing, CopyState::unknown, sent);
    const double pace = play_.cores / 2 * share(machine);
    const double work = std::exponential_distribution<double>(1 / static_cast<double>(play_.work))(chance_);
    const auto worker = std::ranges::min_element(machine.free);
    const bool fresh = machine.copies.try_emplace(copy, now_ + second / 2).second;
    const Time begins = std::max({now_, *worker, machine.copies.at(copy)});
    *worker = begins + static_cast<Time>(work / pace);
    note_use(machine, work / play_.cores);
    const Time done = *worker;
    machine.ends.insert(std::ranges::upper_bound(machine.ends, done), done);
    const CopyState warmth = fresh ? CopyState::load_started : CopyState::loaded;
    at(done, [&from, &machine, life = machine.life, event, leg, id, warmth, sent] {
      const bool lost = life != machine.life;
      from.finish(event, leg, id, lost ? AttemptOutcome::connection_lost : AttemptOutcome::succeeded,
                  lost ? CopyState::unknown : warmth, sent);
    });
  }
  // Work of the last second or so, of what the cores can do warm.
  void note_use(Machine& machine, double work) const {
    machine.busy =
        machine.busy * std::exp(-static_cast<double>(now_ - machine.busy_at) / second) + work / second;
    machine.busy_at = now_;
  }
  double use(const EndpointId& id) {
    Machine& machine = machines_.at(id);
    note_use(machine, 0);
    return std::min(1.0, machine.busy);
  }
  // Of what routers send that have not been told of the start yet, nothing counts against the rule.
  void count(Machine& machine, bool told) {
    while (!machine.got.empty() && machine.got.front() <= now_ - to_ticks(deployment_.slow_start.budget_span))
      machine.got.pop_front();
    const Time age = now_ - to_ticks(machine.told.started);
    if (!told || machine.told.started == Timestamp{} || age >= play_.cold_span) return;
    machine.got.push_back(now_);
    const double n = permitted(machine);
    sent_cold_ += note_permitted(machine, now_) ? 1 : 0;
    const auto got = static_cast<double>(machine.got.size());
    worst_excess_ = std::max(worst_excess_, (got - n) / (2 * std::sqrt(n) + 2));
    const double part = got / (n + 3 * std::sqrt(n) + 3);
    if (part <= worst_) return;
    worst_ = part;
    worst_told_ = std::to_string(machine.got.size()) + " where " + std::to_string(n) + " were allowed, " +
                  std::to_string(age / second) + " s after its start";
  }
  // N: what the rule permits a cold server now within the fall span.
  double permitted(const Machine& machine) const {
    return deployment_.slow_start.budget_multiple * share(machine) * play_.cores *
           static_cast<double>(to_ticks(deployment_.slow_start.budget_span)) /
           static_cast<double>(play_.work);
  }
  // Adds up what it was permitted since the last time; whether all routers knew of its start by then.
  bool note_permitted(Machine& machine, Time until) {
    if (machine.told.started == Timestamp{}) return false;
    until = std::min(until, to_ticks(machine.told.started) + play_.cold_span);
    const Time from = std::max(machine.cold_from, to_ticks(machine.told.started) + play_.told_within);
    machine.cold_from = std::max(from, until);
    if (until <= from) return false;
    permitted_ += permitted(machine) * static_cast<double>(until - from) /
                  static_cast<double>(to_ticks(deployment_.slow_start.budget_span));
    return true;
  }

  Play play_;
  double worst_ = 0, worst_excess_ = -1, sent_cold_ = 0, permitted_ = 0;
  std::string worst_told_;
  int honoured_ = 0, taken_ = 0;
  std::mt19937_64 chance_;
  RoutingConfiguration deployment_;
  const Time start_ = 100 * second;
  Time now_ = start_;
  std::uint64_t number_ = 0;
  std::priority_queue<Task> queue_;
  std::map<EndpointId, Machine> machines_;
  std::vector<double> rates_;
  std::vector<std::unique_ptr<Instance>> instances_;
};

// Before, at twice what the fleet bears, a cold server got 1.31 times what the rule permits it, and 1.14
// times in the second play: cold servers that idle behind the rule halved the use of cores that all believed
// usual, and doubled with it what each thought it might send; and where the few warm ones were full, all that
// the thinning let through went to the cold.
TEST(ColdFleet, OverloadedWithMostOfItReplacedNoColdServerGetsWhatTheRuleForbids) {
  for (const auto& [load, seed] : {std::pair(2.0, 1U), std::pair(1.3, 2U)}) {
    Fleet fleet({.load = load, .later_load = load, .seed = seed});
    fleet.run();
    EXPECT_LT(fleet.worst(), 0.85) << fleet.worst_told();
    EXPECT_GT(fleet.honoured(), fleet.taken() / 4);
  }
}

// Load that grows fivefold as the release begins: what a router saw of late says little of what comes.
TEST(ColdFleet, ABurstThatComesWithTheReleaseIsBorneToo) {
  Fleet fleet({.load = 0.3, .later_load = 1.5, .seed = 2});
  fleet.run();
  EXPECT_LT(fleet.worst(), 0.85) << fleet.worst_told();
}

// The bound is no wall: at half its load the fleet loses next to nothing by the release.
TEST(ColdFleet, AtHalfItsLoadNearlyAllIsHonouredThroughTheRelease) {
  Fleet fleet({.load = 0.5, .later_load = 0.5, .replaced = 0.6, .over = 7 * second});
  fleet.run();
  EXPECT_LT(fleet.worst(), 0.6) << fleet.worst_told();
  EXPECT_GT(fleet.honoured(), fleet.taken() * 95 / 100);
}

// Shapes of the fleet. N is that at a server's start; over its ramp it grows sixfold. What a cold server gets
// beyond N, requests, retries, orders and probes alike, stays within twice the root of N and two.
constexpr Time work_for(double n) { return static_cast<Time>(2 * 0.16 * 3 * 1.5 * second / n); }

const std::vector<Play>& shapes() {
  static const std::vector<Play> all = [] {
    std::vector<Play> plays;
    const auto add = [&](const std::string& name, int routers, double n, const Play& like) {
      Play play = like;
      if (name != "wide") play.servers = 12;
      play.name = name + "_" + std::to_string(routers) + "_N" + std::to_string(std::lround(n));
      play.routers = routers;
      play.work = work_for(n);
      play.due = std::max(3 * second / 4, 7 * play.work);
      play.release = 5 * second + 10 * play.work, play.over = 2 * second;
      play.end = play.release + 8 * second;
      plays.push_back(play);
    };
    const Play most{.load = 0.9, .later_load = 0.9, .replaced = 0.6};
    const Play overload{.load = 1.6, .later_load = 1.6};
    const Play lone{.load = 1.6, .later_load = 1.6, .replaced = 0, .crashed = 1.0 / 12};
    const Play all_but_one{.load = 0.9, .later_load = 0.9, .replaced = 0, .crashed = 11.0 / 12};
    const Play several{.load = 1.2, .later_load = 1.2, .replaced = 0, .crashed = 0.5};
    Play restarts{.load = 1.3, .later_load = 1.3, .replaced = 0.6};
    restarts.restarted = 0.5;
    Play retries{.load = 1.2, .later_load = 1.2, .replaced = 0.6};
    retries.failing = 0.2, retries.retried = 0.7, retries.told_within = 2 * second;
    Play orders{.load = 1.2, .later_load = 1.2, .replaced = 0.6};
    orders.miss_answers = true;
    for (const int routers : {20, 30, 100, 300, 680}) {
      add("release", routers, 14, most);
      add("overload", routers, 14, overload);
      add("lone", routers, 14, lone);
    }
    for (const int routers : {30, 300}) {
      for (const double n : {1, 4, 50}) add("overload", routers, n, overload);
      add("allbutone", routers, 14, all_but_one);
      add("several", routers, 14, several);
      add("restarts", routers, 14, restarts);
      add("retries", routers, 14, retries);
      add("orders", routers, 14, orders);
      add("burst", routers, 14, {.load = 0.3, .later_load = 1.5});
    }
    add("half", 100, 14, {.load = 0.5, .later_load = 0.5, .replaced = 0.6});
    add("wide", 300, 14, {.servers = 40, .load = 1.1, .later_load = 1.1, .replaced = 0.6});
    return plays;
  }();
  return all;
}

// So many seeds a shape: two here, for the table in docs/cold-ramp.md as many as RUSHHILL_COLD_SEEDS says.
int seeds() {
  const char* told = std::getenv("RUSHHILL_COLD_SEEDS");
  return told == nullptr ? 2 : std::max(1, std::atoi(told));
}

class ColdShapes : public testing::TestWithParam<Play> {};

TEST_P(ColdShapes, TheSumStaysWithinTheRule) {
  std::vector<double> worst;
  double used = 0, honoured = 0;
  for (int seed = 1; seed <= seeds(); ++seed) {
    Play play = GetParam();
    play.seed = static_cast<std::uint32_t>(seed);
    Fleet fleet(play);
    fleet.run();
    worst.push_back(fleet.worst_excess());
    used += fleet.used() / seeds();
    honoured += static_cast<double>(fleet.honoured()) / fleet.taken() / seeds();
  }
  std::ranges::sort(worst);
  const auto quantile = [&](double part) {
    return worst[static_cast<std::size_t>(part * static_cast<double>(worst.size() - 1))];
  };
  std::printf("| %s | %zu | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n", GetParam().name.c_str(),
              worst.size(), quantile(0.5), quantile(0.9), quantile(0.99), worst.back(), used, honoured);
  EXPECT_LE(worst.back(), 1) << "worst excess over N, in units of 2 x root of N + 2";
}

INSTANTIATE_TEST_SUITE_P(Shapes, ColdShapes, testing::ValuesIn(shapes()),
                         [](const auto& shape) { return shape.param.name; });

// The ramp's arithmetic alone, as in decide.cpp, over a grid of N and routers. Each router guesses N from
// its own load; credit stands unspent until all of it is asked for at once, and from then on at every turn.
struct Ramp {
  double n;
  int routers;
  bool skewed;  // the first router has five times the mean load
  std::uint32_t seed;
};

constexpr double few_calls = 30;
double leeway(double n) { return n < few_calls ? 3 * std::sqrt(n) + 3 : 2 * std::sqrt(n) + 2; }

// The most that all routers may hold unspent and get within a span, as one of them guesses N.
using MostInSpan = double (*)(double n);
double concave_most(double n) {
  if (n >= few_calls) return n + leeway(n);
  const double slope = 1 + 1 / std::sqrt(few_calls);
  return std::min(n + leeway(n), few_calls + leeway(few_calls) - slope * (few_calls - n));
}
double concave_with_margin(double n) { return concave_most(n) - 1; }
double rule_itself(double n) { return n + leeway(n); }

// The most calls beyond N in any window of the span, over what the rule leaves to chance.
double worst_excess_of(const Ramp& play, MostInSpan most) {
  constexpr double part_coming_in = 0.75, golden_step = 0.6180339887498949;
  constexpr int turns_a_span = 15, turns = 120;
  std::mt19937 chance(play.seed);
  const auto routers = static_cast<std::size_t>(play.routers);
  std::vector<double> loads(routers, 1 / static_cast<double>(routers));
  if (play.skewed) {
    const double first = std::min(0.9, 5 / static_cast<double>(routers));
    std::ranges::fill(loads, (1 - first) / static_cast<double>(routers - 1));
    loads[0] = first;
  }
  std::vector<double> credits(routers);
  const double phase = std::uniform_real_distribution<double>(0, 1)(chance);
  for (std::size_t i = 0; i < routers; ++i)
    credits[i] = std::fmod(static_cast<double>(i) * golden_step + phase, 1.0);
  const int asked_from = std::uniform_int_distribution<int>(1, 60)(chance);
  std::deque<int> window;
  double worst = -1;
  for (int turn = 1; turn <= turns; ++turn) {
    while (!window.empty() && window.front() <= turn - turns_a_span) window.pop_front();
    for (std::size_t i = 0; i < routers; ++i) {
      const double guess = play.n * loads[i] * static_cast<double>(routers);
      const double part = part_coming_in * play.n * loads[i];
      credits[i] += part / turns_a_span;
      const double unspent = (most(guess) - part_coming_in * guess) / static_cast<double>(routers);
      credits[i] -= std::floor(std::max(credits[i] - unspent, 0.0));
      const double ahead = std::max(0.0, 1 - static_cast<double>(turn) / turns_a_span) * part;
      if (turn < asked_from) continue;
      for (; credits[i] + ahead >= 1; credits[i] -= 1) window.push_back(turn);
    }
    worst = std::max(worst, (static_cast<double>(window.size()) - play.n) / leeway(play.n));
  }
  return worst;
}

double worst_over_the_grid(MostInSpan most) {
  double worst = -1;
  for (const double n : {1, 2, 3, 5, 8, 14, 20, 25, 29, 30, 31, 40, 60, 100, 150, 200}) {
    for (const int routers : {2, 3, 6, 10, 24, 60, 100, 200, 300}) {
      for (const bool skewed : {false, true}) {
        for (std::uint32_t seed = 1; seed <= 10; ++seed) {
          const Ramp play{.n = n, .routers = routers, .skewed = skewed, .seed = seed * 7'919};
          worst = std::max(worst, worst_excess_of(play, most));
        }
      }
    }
  }
  return worst;
}

TEST(ColdCredit, UnspentCreditOfAllRoutersStaysWithinTheRule) {
  EXPECT_LE(worst_over_the_grid(concave_with_margin), 1);
}

// Why not the rule's own leeway: routers with little load guess an N under 30 where it is 30 and more.
TEST(ColdCredit, TheRulesOwnLeewayByEachGuessWouldBreakTheRule) {
  EXPECT_GT(worst_over_the_grid(rule_itself), 1);
}

}  // namespace
}  // namespace rushhill
