// Rule 4 as the sum over a fleet: three hundred instances of the module, told of the same servers at
// different moments, with load spread unevenly, while most of the fleet is replaced. Counted at the servers:
// what a cold one gets within the rule's span, against what the rule permits it then.
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include "fake_host.h"

namespace rushhill {
namespace {

struct Play {
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
};

class Fleet {
 public:
  explicit Fleet(const Play& play) : play_(play), chance_(play.seed) {
    deployment_.routers = play.routers;
    deployment_.tick = 40;
    deployment_.traffic_types.push_back(
        {.name = "lookup", .due = 3 * second / 4, .hard_limit = 5 * second / 2});
    deployment_.fall_multiple = 2;
    deployment_.fall_span = 3 * second / 2;
    deployment_.cold_share = play.cold_share;
    deployment_.cold_span = play.cold_span;
    deployment_.shot_cap = 5;
    deployment_.cancel = deployment_.probing = deployment_.peers = deployment_.orders = true;
    deployment_.tells_warm = true;
    deployment_.reports = "probe";
    deployment_.keep_alive = 13 * second;
    deployment_.connect_limit = second / 4;
    for (int i = 0; i < play.servers; ++i) add(0);
    std::vector<ModelServer> all;
    for (const auto& [id, machine] : machines_) all.push_back(machine.told);
    for (int i = 0; i < play.routers; ++i) {
      rates_.push_back(std::exp(std::normal_distribution<double>(0, 0.9)(chance_)));
      instances_.push_back(std::make_unique<Instance>(*this, i));
      Instance& instance = *instances_.back();
      deployment_.me = i;
      instance.router =
          make_router(deployment_, play.seed * 1'000U + static_cast<std::uint32_t>(i), instance);
      instance.router->roster(now_, RosterForm::complete, all);
    }
    double sum = 0;
    for (const double rate : rates_) sum += rate;
    for (double& rate : rates_) rate /= sum;
    for (std::size_t i = 0; i < rates_.size(); ++i) next_event(i);
    plan_release();
  }

  void run() {
    while (!queue_.empty() && now_ < start_ + play_.end) {
      const auto next = queue_.top();
      queue_.pop();
      now_ = std::max(now_, next.at);
      (*next.call)();
    }
  }
  // The most that a cold server got within the span, as a part of what the rule permits it.
  double worst() const { return worst_; }
  const std::string& worst_told() const { return worst_told_; }
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
    ModelServer told;
    std::vector<Time> free;             // when each worker is
    std::deque<Time> ends;              // of what it has in hand
    std::deque<Time> got;               // within the rule's span
    std::map<FunctionId, Time> copies;  // stands from then on
    double busy = 0;                    // work done lately
    Time busy_at = 0;
  };
  struct Instance final : Host {
    Instance(Fleet& of, int who) : fleet(of), me(who) {}
    void shoot(EventId event, const ServerId& server, Time) override {
      const int leg = legs[event]++;
      open.insert({event, leg});
      fleet.at(fleet.now_ + 5, [this, event, leg, server] { fleet.arrive(*this, event, leg, server); });
    }
    void call_off(EventId event, int leg) override {
      finish(event, leg, {}, Ending::called_off, Warmth::untold, fleet.now_);
    }
    void shed(EventId event, Time) override { legs.erase(event); }
    void abandon(EventId event) override { legs.erase(event); }
    void wake(std::int64_t token, Time when) override {
      fleet.at(when, [this, token] { router->woken(fleet.now_, token); });
    }
    void probe(const ServerId& server) override {
      fleet.at(fleet.now_ + 10, [this, server] {
        router->probe_ended(fleet.now_,
                            {.server = server, .taken = 10, .report = {{"util", fleet.use(server)}}});
      });
    }
    void close_idle(const ServerId&) override {}
    void order(const ServerId&, const FunctionId&, int) override {}
    void unload(const ServerId&, const FunctionId&) override {}
    void tell(int, const std::string& bytes) override {
      fleet.at(fleet.now_ + 100, [this, bytes] {
        for (auto& other : fleet.instances_) {
          if (other.get() != this) other->router->told(fleet.now_, me, bytes);
        }
      });
    }
    void follow(bool) override {}
    void reload() override {}
    void log(const std::string&) override {}

    void finish(EventId event, int leg, const ServerId& server, Ending ending, Warmth warmth, Time sent) {
      fleet.at(fleet.now_, [this, event, leg, server, ending, warmth, sent] {
        if (open.erase({event, leg}) == 0) return;
        fleet.honoured_ += ending == Ending::honoured ? 1 : 0;
        router->shot_ended(fleet.now_, {.event = event,
                                        .leg = leg,
                                        .server = server,
                                        .ending = ending,
                                        .final = ending == Ending::honoured,
                                        .taken = fleet.now_ - sent,
                                        .warmth = warmth});
      });
    }
    Fleet& fleet;
    int me;
    std::unique_ptr<Router> router;
    std::map<EventId, int> legs;
    std::set<std::pair<EventId, int>> open;
    EventId last = 0;
  };

  void at(Time when, std::function<void()> call) {
    queue_.push({when, ++number_, std::make_shared<std::function<void()>>(std::move(call))});
  }
  ServerId add(Time started) {
    const ServerId id = "s" + std::to_string(machines_.size() + 100);
    Machine& machine = machines_[id];
    machine.told = {.id = id, .started = started};
    machine.free.assign(2, 0);
    return id;
  }
  void tell_all(const ModelServer& server) {
    for (auto& instance : instances_) {
      at(now_ + std::uniform_int_distribution<Time>(100, second)(chance_),
         [this, one = instance.get(), server] { one->router->roster(now_, RosterForm::changes, {server}); });
    }
  }
  void plan_release() {
    const int count = static_cast<int>(play_.replaced * play_.servers);
    std::vector<ServerId> old;
    for (const auto& [id, machine] : machines_) old.push_back(id);
    constexpr int steps = 3;
    for (int step = 0; step < steps; ++step) {
      const Time when = start_ + play_.release + step * play_.over / steps;
      for (int i = step * count / steps; i < (step + 1) * count / steps; ++i) {
        const ServerId leaving = old[static_cast<std::size_t>(i)];
        at(when, [this] { tell_all(machines_.at(add(now_)).told); });
        at(when + second, [this, leaving] {
          machines_.at(leaving).told.condition = Condition::leaving;
          tell_all(machines_.at(leaving).told);
        });
      }
    }
  }
  void next_event(std::size_t router) {
    const double load = now_ - start_ < play_.release ? play_.load : play_.later_load;
    const double rate = rates_[router] * load * play_.servers * play_.cores / static_cast<double>(play_.work);
    const Time gap = 1 + static_cast<Time>(std::exponential_distribution<double>(rate)(chance_));
    at(now_ + gap, [this, router] {
      Instance& instance = *instances_[router];
      const double u = std::uniform_real_distribution<double>(0, 1)(chance_);
      const int function = static_cast<int>(std::pow(1 - u, -1 / 0.35));  // few are hot, many are rare
      ++taken_;
      instance.router->event(now_, {.id = ++instance.last,
                                    .traffic_type = "lookup",
                                    .function = "f" + std::to_string(std::min(function, 400)),
                                    .left = 5 * second / 2,
                                    .load_time = second / 2});
      next_event(router);
    });
  }
  double share(const Machine& machine) const {
    if (machine.told.started == 0) return 1;
    const double age =
        std::max(0.0, static_cast<double>(now_ - machine.told.started - deployment_.fall_span));
    return std::min(1.0,
                    play_.cold_share + (1 - play_.cold_share) * age / static_cast<double>(play_.cold_span));
  }
  void arrive(Instance& from, EventId event, int leg, const ServerId& id) {
    if (!from.open.contains({event, leg})) return;
    Machine& machine = machines_.at(id);
    const Time sent = now_ - 5;
    count(machine);
    while (!machine.ends.empty() && machine.ends.front() <= now_) machine.ends.pop_front();
    if (machine.told.condition != Condition::active || machine.ends.size() >= 18)
      return from.finish(event, leg, id, Ending::turned_away, Warmth::untold, sent);
    const double pace = play_.cores / 2 * share(machine);
    const double work = std::exponential_distribution<double>(1 / static_cast<double>(play_.work))(chance_);
    const auto worker = std::ranges::min_element(machine.free);
    const bool fresh = machine.copies.try_emplace("any", now_ + second / 2).second;
    const Time begins = std::max({now_, *worker, machine.copies.at("any")});
    *worker = begins + static_cast<Time>(work / pace);
    note_use(machine, work / play_.cores);
    const Time done = *worker;
    machine.ends.insert(std::ranges::upper_bound(machine.ends, done), done);
    const Warmth warmth = fresh ? Warmth::began_load : Warmth::found;
    at(done, [&from, event, leg, id, warmth, sent] {
      from.finish(event, leg, id, Ending::honoured, warmth, sent);
    });
  }
  // Work of the last second or so, of what the cores can do warm.
  void note_use(Machine& machine, double work) const {
    machine.busy =
        machine.busy * std::exp(-static_cast<double>(now_ - machine.busy_at) / second) + work / second;
    machine.busy_at = now_;
  }
  double use(const ServerId& id) {
    Machine& machine = machines_.at(id);
    note_use(machine, 0);
    return std::min(1.0, machine.busy);
  }
  void count(Machine& machine) {
    while (!machine.got.empty() && machine.got.front() <= now_ - deployment_.fall_span)
      machine.got.pop_front();
    machine.got.push_back(now_);
    const Time age = now_ - machine.told.started;
    if (machine.told.started == 0 || age >= play_.cold_span) return;
    const double n = deployment_.fall_multiple * share(machine) * play_.cores *
                     static_cast<double>(deployment_.fall_span) / static_cast<double>(play_.work);
    const double part = static_cast<double>(machine.got.size()) / (n + 3 * std::sqrt(n) + 3);
    if (part <= worst_) return;
    worst_ = part;
    worst_told_ = std::to_string(machine.got.size()) + " where " + std::to_string(n) + " were allowed, " +
                  std::to_string(age / second) + " s after its start";
  }

  Play play_;
  double worst_ = 0;
  std::string worst_told_;
  int honoured_ = 0, taken_ = 0;
  std::mt19937_64 chance_;
  Deployment deployment_;
  const Time start_ = 100 * second;
  Time now_ = start_;
  std::uint64_t number_ = 0;
  std::priority_queue<Task> queue_;
  std::map<ServerId, Machine> machines_;
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

}  // namespace
}  // namespace rushhill
