// All decisions of a router: which endpoint gets each request, when it is retried, rejected or failed, and
// which copies are prewarmed.
#include "routing/routing_policy.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <ranges>
#include <set>
#include <utility>

#include "routing/duration.h"
#include "routing/gossip.h"
#include "routing/load_budget.h"
#include "routing/overload_control.h"
#include "routing/rendezvous_hash.h"
#include "routing/sliding_window.h"
#include "routing/slow_start.h"
#include "routing/statistics.h"
#include "routing/tenant_quotas.h"

namespace rushhill {
namespace {

using routing::add_sample;
using routing::median;
using routing::rendezvous_hash;

constexpr int every_peer = -1;

// Constants: unit and reason for the size of each.
constexpr Time second = routing::one_second;
constexpr Time housekeeping_period = second / 10;  // time; short beside any due time, long beside a tick
constexpr int ring_buckets = 20;  // buckets of a second; what a server bears is steady over that
constexpr Time ring_span = ring_buckets * second;  // time; the whole ring
constexpr int recent_buckets = 4;           // buckets at the least, so that trouble shows within one or two
constexpr double few_events = 20;           // events; a router that has seen fewer knows no function's part
constexpr double first_event = 0.5;         // events; the first of a router that has seen nothing: 1/40
constexpr double prior_answers = 3;         // answers; what a server must show before its figures are its own
constexpr double aside_excess = 0.5;        // share; bad beyond the median that sets a server aside
constexpr double patience_times = 6;        // usual times; an exponential answer is later 1 time in 400
constexpr double quiet_times = 3;           // usual times; silence that long makes a server look worse
constexpr Time longest_pause = 8 * second;  // time; a server back in service is noticed within that
constexpr double failure_loads = 2;         // score; a shot that fails costs its wait and another shot
constexpr Time probe_period = 3 * second;   // time; few beside the events, many beside a trouble's length
constexpr Time trickle_period = second;     // time; several usual answers, so that a period can be judged
constexpr double trickle_first = 1.0 / 16;  // of a server's usual shots; few are lost if it is still sick
constexpr double crowd_slope = 0.3;         // usual times; wait that an own open shot adds for the next
constexpr double home_bonus = 0.8;          // score; under a load, so that a standing copy beats a home
constexpr double home_share = 0.3;          // of a server's even load; what one home bears of a hot function
constexpr double near_tie = 0.01;           // score; less apart is noise to one router, and chance decides
constexpr double over_share_part = 0.5;     // of the due time left; events beyond a share give way first
constexpr double calm_follow = 0.005;  // of a rise, each tenth of a second: some twenty seconds, as the ring
constexpr double outlast_after = 0.5;  // usual times; a request just sent tells nothing
constexpr double move_share = 0.1;     // overdue shots sent again, of answers; a silent server costs as many
constexpr double move_burst = 5;       // of these at once
constexpr double most_ease = 4.5;      // times; a server stays home to some functions, however busy
constexpr int refusals_of_shut = 3;    // turned away in a row; a full server still honours some between
constexpr int cuts_of_death = 3;       // connections lost in a row; a process that dies loses all it has
constexpr double load_worth = 0.5;     // of an event's importance; a load makes about that many late
constexpr Time forget_after = 120 * second;     // time; a function not asked for so long leaves the Index
constexpr std::int64_t housekeeping_token = 0;  // other tokens are an event's id + 1, for its limit

// What the shots that ended at a server showed.
struct Tally {
  double honoured = 0;
  double judged = 0;    // shots that went well or badly
  double bad = 0;       // of these: failed, or overdue
  double paced = 0;     // answers whose pace is known
  double pace_sum = 0;  // times taken over the usual times of their functions
  Tally& operator+=(const Tally& other) {
    honoured += other.honoured, judged += other.judged, bad += other.bad;
    paced += other.paced, pace_sum += other.pace_sum;
    return *this;
  }
};

using Past = routing::SlidingWindow<Tally, ring_buckets>;
using Counts = routing::SlidingWindow<double, ring_buckets>;

struct Entry;

struct Server {
  Endpoint told;
  int open = 0, outlasting = 0;     // own shots out; of these, out for longer than usual
  routing::SlowStartTokens tokens;  // at it, while it is cold
  double ease = 1;                  // part of its weight that it bears with ease
  Time gone_at = 0, reborn = 0;     // left the list; last sign that the process died: what answers is cold
  int cuts = 0, silences = 0;       // connections lost, or never come up, since anything was answered
  Time cut = 0;                     // the last one lost, here or at a peer
  Time answered = 0;                // last time that something was
  Time unanswered_since = 0;        // first send after the last answer; 0: none out
  Time no_loads_until = 0;          // turned work away that it would have to load for
  Time shut_until = 0;              // turns all away, as what drains does before the roster says so
  int refusals = 0;                 // turned away since it honoured anything
  Time probe_turn = 0, noted = 0;   // last turn to probe it; when peers last told of it or were told
  Past past{second};
  bool aside = false;
  double trickle = 0;              // share of its usual shots that it gets while set aside
  Time period_end = 0, pause = 0;  // of the trickle; the pause before it doubles while it goes badly
  Tally period;
  const Entry* entry = nullptr;  // of the function of that pick
  std::uint64_t entry_of = 0;
};

// An Index entry: a server believed to hold a copy of a function.
struct Entry {
  int open = 0;  // own shots of the function out there; while any is, the entry is predicted
  bool ordered = false, confirmed = false;
  Time used = 0;
  Server* server = nullptr;  // for that version of the roster; nullptr: not on it
  std::uint64_t placed = 0;
};

struct Function {
  double lanes = 1;
  double usual = 0, load = 0;  // time of an answer that found a copy at usual pace, of a load; 0: not known
  Time asked = 0;
  Counts heat{second};                            // own events of it
  std::vector<std::pair<double, Server*>> homes;  // places for a new load, and how far each is by hash
  int hot_homes = 0;                              // as many of these as its heat keeps warm
  std::uint64_t ranked = 0;                       // version of the roster they were ranked for
  std::map<EndpointId, Entry> entries;
};

struct Shot {
  EndpointId server;
  Time sent = 0;
  bool open = true, may_have_run = true, judged = false;
  bool missed = false;     // answered that the function is not there
  bool confirmed = false;  // the Index held a confirmed entry at the pick
};

// What differs by traffic type.
struct TypeRow {
  RequestClass told;
  double usual = 0;  // mean time of an answer; at first a guess from the due time that gives way slowly
};

struct Pending {
  RoutingRequest told;
  TypeRow* type = nullptr;
  Time due = 0, limit = 0;  // the limit is the last moment for a final answer
  bool over_share = false, done = false, waiting = false;
  int streaming = -1;  // leg of a stream that has begun: the event's answer is under way
  std::vector<Shot> shots;
};

class Decider final : public RoutingPolicy {
 public:
  Decider(const RoutingConfiguration& deployment, std::uint64_t seed, RoutingHost& host)
      : d_(deployment), host_(host),
        chance_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24U) ^ (seed >> 48U))),
        slow_start_(slow_start_limits(deployment)), load_budget_(load_budget_limits(deployment)),
        tenant_quotas_(deployment.tenants, deployment.routers) {
    crossing_ = d_.prices.cross_location / (d_.prices.load + load_worth);
    for (const RequestClass& type : d_.request_classes) usual_ = std::max(usual_, row(type).usual);
  }

  void endpoints_updated(Timestamp moment, EndpointListForm form,
                         const std::vector<Endpoint>& servers) override {
    const Time now = to_ticks(moment);
    if (born_ == 0) born_ = kept_ = now, wake_housekeeping(now);
    follow_due_ |=
        d_.endpoints_on_request && (form == EndpointListForm::cached || form == EndpointListForm::failed);
    if (form == EndpointListForm::failed) return;
    ++roster_version_;
    std::set<EndpointId> named;
    for (const Endpoint& told : servers) {
      named.insert(told.id);
      auto [it, fresh] = servers_.try_emplace(told.id);
      Server& server = it->second;
      if (fresh) server.tokens = slow_start_.first_tokens(told.id);
      if (!fresh && to_ticks(told.started) != to_ticks(server.told.started)) {
        server.aside = false, server.reborn = 0, server.past = Past{second};
        forget_copies(told.id);
      }
      server.told = told, server.gone_at = 0;
      if (told.state == EndpointState::removed) leave(now, server);
    }
    for (auto& [id, server] : servers_) {
      if (form != EndpointListForm::delta && !named.contains(id)) leave(now, server);
    }
    place_waiting(now);
  }

  void leave(Time now, Server& server) {
    server.told.state = EndpointState::removed;
    if (server.gone_at == 0) server.gone_at = now;
    forget_copies(server.told.id);
  }

  void request_received(Timestamp moment, const RoutingRequest& told) override {
    const Time now = to_ticks(moment);
    load_budget_.request_taken(now);
    Pending& pending = events_[told.id];
    pending.told = told;
    // A traffic type that was not told at start is of the strictest kind.
    pending.type = &row({.name = told.request_class,
                         .latency_objective = to_duration(second),
                         .retry_safety = RetrySafety::at_most_once});
    pending.limit = now + to_ticks(told.time_left) - to_ticks(d_.tick);
    const RequestClass& type = pending.type->told;
    const auto stretch =
        static_cast<Time>(type.latency_objective_stretch * static_cast<double>(to_ticks(told.work)));
    pending.due =
        now + std::max(to_ticks(type.latency_objective),
                       std::min(to_ticks(type.deadline_span), to_ticks(type.latency_objective) + stretch));
    Function& function = functions_[told.function];
    function.lanes = std::max(told.lanes, 1.0);
    function.asked = now;
    function.heat.bucket_at(now) += 1;
    heat_.bucket_at(now) += 1;
    if (to_ticks(told.load_time) > 0) function.load = static_cast<double>(to_ticks(told.load_time));
    pending.over_share = !tenant_quotas_.take(now, told.tenant);
    if (to_ticks(told.time_left) <= to_ticks(d_.tick)) return give_up(pending, 0);
    host_.set_timer(told.id + 1, to_timestamp(pending.limit));
    // Standing copies are crowded: a part is shed at once, at every router alike, for the rest to be in time.
    const double rejected = overload_control_.share_to_reject(now, told.tenant);
    const bool shed = may_shed(pending) && draw() < rejected;
    if (shed) return give_up(pending, to_ticks(d_.retries.longest_retry_after));
    place(now, pending);
  }

  void response_started(Timestamp, RequestId id, int leg) override {
    if (const auto it = events_.find(id); it != events_.end()) it->second.streaming = leg;
  }

  void attempt_ended(Timestamp moment, const AttemptEnd& end) override {
    const Time now = to_ticks(moment);
    const auto it = events_.find(end.request);
    if (it == events_.end()) return;
    Pending& pending = it->second;
    const auto leg = static_cast<std::size_t>(end.attempt_number);
    if (end.final) pending.done = true;
    if (leg >= pending.shots.size() || !pending.shots[leg].open) return;
    Shot& shot = pending.shots[leg];
    shot.open = false;
    shot.may_have_run =
        end.outcome != AttemptOutcome::overloaded && end.outcome != AttemptOutcome::connect_failed &&
        end.outcome != AttemptOutcome::not_sent && end.outcome != AttemptOutcome::function_missing;
    shot.missed = end.outcome == AttemptOutcome::function_missing;
    learn_from(now, pending, shot, end);
    if (pending.done) call_off_rest(pending);
    if (pending.streaming == end.attempt_number) pending.streaming = -1;
    if (!pending.done && end.outcome == AttemptOutcome::function_missing &&
        await_order(now, pending, end.endpoint))
      return;
    if (!pending.done && pending.streaming < 0 && !any_open(pending)) place(now, pending);
  }

  void client_cancelled(Timestamp, RequestId id) override {
    if (const auto it = events_.find(id); it != events_.end()) {
      it->second.done = true;
      call_off_rest(it->second);
    }
  }

  void timer_fired(Timestamp moment, std::int64_t token) override {
    const Time now = to_ticks(moment);
    if (token == housekeeping_token) return keep_house(now);
    const auto it = events_.find(token - 1);
    if (it == events_.end() || it->second.done || it->second.streaming >= 0) return;
    call_off_rest(it->second);
    give_up(it->second, 0);
  }

  void probe_ended(Timestamp moment, const ProbeEnd& end) override {
    const Time now = to_ticks(moment);
    const auto it = servers_.find(end.endpoint);
    if (it == servers_.end()) return;
    note_contact(now, it->second, end.outcome, to_ticks(end.taken));
    if (!end.report.contains("util")) return;
    const double busy = end.report.at("util");
    weigh_use(now, it->second, busy);
    if (d_.reports.gossip) tell_peers(routing::UtilizationReported{end.endpoint, busy});
  }
  // A peer saw a server die, lost a connection to it, or saw how busy it is.
  void gossip_received(Timestamp moment, int, const std::string& bytes) override {
    const Time now = to_ticks(moment);
    const routing::GossipMessage message = routing::decode(bytes);
    const auto it = servers_.find(routing::endpoint_of(message));
    if (it == servers_.end()) return;
    Server& server = it->second;
    if (const auto* report = std::get_if<routing::UtilizationReported>(&message)) {
      weigh_use(now, server, report->utilization);
      return;
    }
    if (std::holds_alternative<routing::ConnectionLost>(message) && !cut(now, server)) return;
    server.noted = now;
    seems_dead(now, server);
  }

  void load_budget_restored(Timestamp moment, double orders) override {
    const Time now = to_ticks(moment);
    load_budget_.earlier_orders_known(now, orders);
  }

  void prewarm_ended(Timestamp moment, const PrewarmEnd& end) override {
    const Time now = to_ticks(moment);
    load_budget_.order_ended();
    Entry& entry = functions_[end.function].entries[end.endpoint];
    entry.ordered = false;
    entry.confirmed = end.outcome == AttemptOutcome::succeeded || end.copies > 0;
    entry.used = now;
    place_waiting(now);
  }

 private:
  static routing::SlowStartLimits slow_start_limits(const RoutingConfiguration& deployment) {
    return {.budget_multiple = deployment.slow_start.budget_multiple,
            .budget_span = to_ticks(deployment.slow_start.budget_span),
            .initial_capacity = deployment.slow_start.initial_capacity,
            .warm_up_span = to_ticks(deployment.slow_start.warm_up_span),
            .routers = deployment.routers,
            .router_number = deployment.router_number};
  }
  static routing::LoadBudgetLimits load_budget_limits(const RoutingConfiguration& deployment) {
    return {.orders_permitted = deployment.copies.prewarm,
            .window = to_ticks(deployment.load_budget.window),
            .free_orders = deployment.load_budget.free_loads,
            .orders_per_request = deployment.load_budget.loads_per_request,
            .earlier_orders_follow = deployment.load_budget.restored_after_restart};
  }

  // The guards: every shot and order passes through these.
  // Rule 3. Nothing new for a server that drains or is gone, from the moment this router was told.
  static bool may_receive(const Server& server) { return server.told.state == EndpointState::active; }

  // Rules 1 and 2. Whether the event may have a further shot at this server.
  bool may_shoot(Time now, const Pending& pending, const Server& server) const {
    if (pending.done || pending.streaming >= 0 || now >= pending.limit) return false;
    if (static_cast<int>(pending.shots.size()) >= d_.retries.attempt_limit) return false;
    const RequestClass& type = pending.type->told;
    for (const Shot& shot : pending.shots) {
      if (shot.open && !d_.retries.hedging) return false;
      if (!shot.open && !shot.may_have_run) continue;
      if (type.retry_safety == RetrySafety::at_most_once) return false;
      if (type.retry_safety == RetrySafety::keyed &&
          (now - shot.sent + to_ticks(d_.tick) >= to_ticks(type.deduplication_span) ||
           !same_group(type.deduplication_scope, shot.server, server))) {
        return false;
      }
    }
    return true;
  }

  // Rule 4. Whether a cold server can bear one more request from this router.
  bool cold_room(Time now, const Server& server) const {
    const Time since = cold_since(now, server);
    return since == 0 ||
           slow_start_.admits_request(now, since, weight(server), server.tokens, observed_load());
  }
  Time cold_since(Time now, const Server& server) const {
    return slow_start_.warming_since(now, to_ticks(server.told.started), server.reborn);
  }
  routing::ObservedLoad observed_load() const {
    return {.response_time = usual_, .utilization = busy_usual_, .successes = borne_};
  }

  // Rule 5. Whether one more function may be prewarmed at this server.
  bool may_order(Time now, const Server& server) const {
    if (!may_receive(server)) return false;
    if (cold_since(now, server) != 0 && !server.tokens.allow_order()) return false;
    return load_budget_.allows_order(now);
  }

  bool may_shed(const Pending& pending) const {
    const RequestClass& type = pending.type->told;
    if (type.retry_safety == RetrySafety::idempotent) return true;
    if (type.retry_safety == RetrySafety::keyed && type.deduplication_scope == DeduplicationScope::everywhere)
      return true;
    return std::ranges::none_of(pending.shots, [](const Shot& shot) { return shot.may_have_run; });
  }

  bool same_group(DeduplicationScope group, const EndpointId& one, const Server& other) const {
    const auto it = servers_.find(one);
    if (it == servers_.end() || group == DeduplicationScope::everywhere) return it != servers_.end();
    const Endpoint& first = it->second.told;
    return group == DeduplicationScope::location ? first.location == other.told.location
                                                 : first.cell == other.told.cell;
  }

  bool stands(Time now, const Entry& entry) const {
    return entry.open > 0 || entry.ordered ||
           (entry.confirmed && now - entry.used < to_ticks(d_.copies.keep_alive));
  }
  bool warm(Time now, const Function& function, const EndpointId& server) const {
    const auto it = function.entries.find(server);
    return it != function.entries.end() && stands(now, it->second);
  }

  // How long an event of the function should take at the server when it finds a copy.
  double wait_at(Time now, const Pending& pending, const Function& function, const Server& server,
                 const Tally& recent) const {
    const double wait = usual_time(pending, function) * pace(recent) * (1 + crowd_slope * server.open);
    // A server that has gone quiet with shots out is waiting at least that long already.
    const double quiet =
        server.unanswered_since == 0 ? 0 : static_cast<double>(now - server.unanswered_since);
    return wait + std::max(0.0, quiet - quiet_times * usual_time(pending, function));
  }

  // Warm score plus load score, in loads, since a warm hit saves one load. A server without an entry counts
  // as warm where the function's heat says that others keep a copy there.
  double score(Time now, const Pending& pending, const Function& function, const Server& server, int rank,
               const Entry* entry) const {
    const Tally recent = server.past.total(now, recent_);
    const int open = entry == nullptr ? 0 : entry->open;
    const double excess = std::max(0.0, open + 1 - function.lanes) / function.lanes;
    const double wait = wait_at(now, pending, function, server, recent) / load_time(pending, function);
    const int beyond = rank - std::max(function.hot_homes - 1, 0);
    const bool held = rank < function.hot_homes || (entry != nullptr && stands(now, *entry));
    const double here = server.told.location == d_.location ? crossing_ : 0;
    const double fails = failure_loads * bad_share(recent);
    return (held ? 1 : home_bonus * std::exp2(-beyond)) + here - excess - wait - fails;
  }

  // The places for a new load: every function has an order of servers, the same at every router without any
  // word between them. A hot function has several homes by its part of the events, alike at every router;
  // what all routers send keeps its copies there standing though this one's entries lapse.
  void rank_homes(Time now, const FunctionId& id, Function& function) {
    if (std::exchange(function.ranked, roster_version_) != roster_version_) {
      function.homes.clear();
      for (auto& [server, known] : servers_) {
        if (may_receive(known)) function.homes.emplace_back(-std::log(rendezvous_hash(id, server)), &known);
      }
    }
    // Abilities move slowly: mostly the order still holds.
    const auto far = [](const auto& home) { return home.first / ability(*home.second); };
    if (!std::ranges::is_sorted(function.homes, {}, far)) std::ranges::sort(function.homes, {}, far);
    // One event alone says little, but more the fewer came before it: what is seen first is likely hot.
    const double others = std::max(function.heat.total(now) - 1, first_event);
    const double part = others / (heat_.total(now) + few_events) / home_share;
    function.hot_homes =
        (others < 1 ? 0 : 1) + static_cast<int>(part * static_cast<double>(function.homes.size()));
  }

  static double weight(const Server& server) { return server.told.rating > 0 ? server.told.rating : 1; }
  static double ability(const Server& server) { return weight(server) * server.ease; }
  // By chance, above 0 and below 1.
  double draw() { return (static_cast<double>(chance_()) + 0.5) / (static_cast<double>(chance_.max()) + 1); }

  Server* pick(Time now, const Pending& pending, Function& function) {
    rank_homes(now, pending.told.function, function);
    ++picks_;
    for (auto& [id, entry] : function.entries) {
      if (std::exchange(entry.placed, roster_version_) != roster_version_) {
        const auto it = servers_.find(id);
        entry.server = it == servers_.end() ? nullptr : &it->second;
      }
      if (entry.server != nullptr) entry.server->entry = &entry, entry.server->entry_of = picks_;
    }
    const auto entry_at = [&](const Server& server) {
      return server.entry_of == picks_ ? server.entry : nullptr;
    };
    const auto entered_at = [&](const Server& server) {
      return server.entry_of == picks_ && stands(now, *server.entry);
    };
    // A load beside a sound server that holds the function would only be a further copy.
    const bool held = function.hot_homes > 0 || std::ranges::any_of(function.homes, [&](const auto& home) {
                        const Shot* earlier = shot_at(pending, home.second->told.id);
                        const bool sound = !home.second->aside && now >= home.second->shut_until &&
                                           (earlier == nullptr || !earlier->may_have_run);
                        return sound && entered_at(*home.second);
                      });
    // First without the servers that failed this event or are set aside, then with what there is.
    for (const bool choosy : {true, false}) {
      Server* best = nullptr;
      double best_score = 0;
      int rank = -1;  // among the sound ones: a full server is no reason for a copy elsewhere
      for (const auto& [distance, server] : function.homes) {
        if (!may_receive(*server) || !may_shoot(now, pending, *server)) continue;
        const Shot* earlier = shot_at(pending, server->told.id);
        if (choosy && earlier != nullptr && earlier->may_have_run) continue;
        if (choosy && now < server->shut_until) continue;
        if (choosy && server->aside && !trickles(pending, *server)) continue;
        if (!cold_room(now, *server)) continue;
        const bool entered = entered_at(*server);
        if (++rank >= function.hot_homes && !entered && (held || now < server->no_loads_until)) continue;
        // A miss is forgiven once the copy is held or ordered.
        if (choosy && earlier != nullptr && !(earlier->missed && entered)) continue;
        // Near ties fall by chance, to larger servers more often.
        const double luck = std::log(ability(*server)) - std::log(-std::log(draw()));
        const double own = score(now, pending, function, *server, rank, entry_at(*server)) + near_tie * luck +
                           (server->aside && choosy ? failure_loads + 1 : 0);
        if (best == nullptr || own > best_score) best = server, best_score = own;
      }
      if (best != nullptr) return best;
    }
    return nullptr;
  }

  void place(Time now, Pending& pending) {
    pending.waiting = false;
    Function& function = functions_[pending.told.function];
    Server* server = pick(now, pending, function);
    const auto due_left = static_cast<double>(pending.due - now);
    const auto left = static_cast<double>(pending.limit - now);
    if (server == nullptr) {
      // Nobody may take it now: it waits here while it can still be answered in time.
      pending.waiting = !pending.over_share && may_shed(pending) &&
                        static_cast<int>(pending.shots.size()) < d_.retries.attempt_limit &&
                        2 * usual_time(pending, function) < std::min(due_left, left);
      if (!pending.waiting) return give_up(pending, to_ticks(d_.retries.longest_retry_after));
      waiting_.insert(pending.told.id);
      return;
    }
    // What can't be answered in its time, or before its client leaves, is shed at once: such work is wasted.
    const double usual = usual_time(pending, function), calm = usual * calm_pace_;
    const double wait = wait_at(now, pending, function, *server, server->past.total(now, recent_));
    const double tolerated = pending.over_share ? due_left * over_share_part : due_left;
    const double in_crowd = due_left * (pending.over_share ? d_.over_quota_value : 1);
    const bool too_late = wait > std::max(tolerated, 2 * usual) || wait > left ||
                          overload_control_.misses_objective(calm, in_crowd);
    if (too_late && may_shed(pending) && !any_open(pending))
      return give_up(pending, to_ticks(d_.retries.longest_retry_after));
    shoot(now, pending, function, *server);
  }

  void shoot(Time now, Pending& pending, Function& function, Server& server) {
    const EndpointId& id = server.told.id;
    Entry& entry = function.entries[id];
    const bool confirmed = entry.confirmed && now - entry.used < to_ticks(d_.copies.keep_alive);
    entry.confirmed = confirmed;
    ++entry.open;
    pending.shots.push_back({.server = id, .sent = now, .confirmed = confirmed});
    ++server.open;
    if (server.unanswered_since == 0) server.unanswered_since = now;
    // Every send weighs as the mean work of its class.
    if (cold_since(now, server) != 0)
      server.tokens.take(routing::SlowStart::cost_of_request(pending.type->usual, observed_load()));
    host_.send_attempt(pending.told.id, id, Duration::zero());
  }

  bool await_order(Time now, Pending& pending, const EndpointId& id) {
    Entry& entry = functions_[pending.told.function].entries[id];
    if (!entry.ordered && !may_order(now, servers_.at(id))) return false;
    if (!std::exchange(entry.ordered, true)) {
      load_budget_.order_sent(now);
      servers_.at(id).tokens.take(1);
      host_.prewarm(id, pending.told.function, 1);
    }
    // A shot sent now could overtake the order: the event follows in housekeeping, or when the order ends.
    pending.waiting = true;
    waiting_.insert(pending.told.id);
    return true;
  }

  // How long a shot may be out before it is overdue; short where the server is set aside already.
  Time patience(const Pending& pending, const Function& function, const Shot& shot) const {
    const bool aside = servers_.at(shot.server).aside;
    const double usual = usual_time(pending, function) * fleet_pace_ * (aside ? quiet_times : patience_times);
    const int loads = (aside ? 0 : 1) + (shot.confirmed ? 0 : 1);
    return static_cast<Time>(usual + loads * load_time(pending, function)) + 2 * to_ticks(d_.tick);
  }

  // An overdue shot counts against its server at once; where the server looks bad the event goes elsewhere.
  void look(Time now, Pending& pending) {
    Function& function = functions_[pending.told.function];
    if (pending.done || pending.streaming >= 0 || pending.shots.empty() || !pending.shots.back().open) return;
    for (Shot& shot : pending.shots) {
      if (!shot.open || shot.judged) continue;  // overdue: at a silent server, it keeps nobody waiting
      const double usual = usual_time(pending, function) * calm_pace_;
      const bool outlasts = static_cast<double>(now - shot.sent) > outlast_after * usual;
      servers_.at(shot.server).outlasting += outlasts ? 1 : 0;
      if (now < shot.sent + patience(pending, function, shot)) continue;
      judge_shot(now, servers_.at(shot.server), shot, true);
    }
    const Shot& newest = pending.shots.back();
    const Server& server = servers_.at(newest.server);
    const bool quiet = server.unanswered_since != 0 && server.unanswered_since <= newest.sent;
    if (now >= newest.sent + patience(pending, function, newest) && (quiet || server.aside))
      move_on(now, pending, function);
  }

  void weigh_crowd(Time now) {
    std::vector<double> outlasting;
    for (const auto& [id, server] : servers_) {
      if (may_receive(server)) outlasting.push_back(server.outlasting);
    }
    overload_control_.observe_in_flight(now, now - born_, heat_.total(now), outlasting);
  }

  void move_on(Time now, Pending& pending, Function& function) {
    const RequestClass& type = pending.type->told;
    const bool capped = static_cast<int>(pending.shots.size()) >= d_.retries.attempt_limit;
    // Where the fleet is late, what is overdue is only late too: doubling all of it would make that worse.
    if (type.retry_safety == RetrySafety::at_most_once || capped || moves_ < 1) return;
    if (d_.retries.hedging) {
      Server* server = pick(now, pending, function);
      if (server == nullptr || shot_at(pending, server->told.id) != nullptr) return;
      shoot(now, pending, function, *server);
    } else {
      if (!d_.retries.cancel_attempts || (type.retry_safety == RetrySafety::keyed &&
                                          type.deduplication_scope != DeduplicationScope::everywhere))
        return;
      host_.cancel_attempt(pending.told.id, static_cast<int>(pending.shots.size()) - 1);
    }
    moves_ -= 1;
  }

  void call_off_rest(Pending& pending) {
    for (std::size_t leg = 0; leg < pending.shots.size(); ++leg) {
      if (d_.retries.cancel_attempts && pending.streaming < 0 && pending.shots[leg].open)
        host_.cancel_attempt(pending.told.id, static_cast<int>(leg));
    }
  }

  void give_up(Pending& pending, Time come_back) {
    const bool harmless = may_shed(pending);
    if (harmless)
      host_.reject(
          pending.told.id,
          to_duration(d_.retries.retry_after ? std::min(come_back, to_ticks(d_.retries.longest_retry_after))
                                             : 0));
    if (!harmless) host_.fail(pending.told.id);
    pending.done = true;
    waiting_.erase(pending.told.id);
  }

  void place_waiting(Time now) {
    const std::set<RequestId> waiting = std::exchange(waiting_, {});
    for (const RequestId id : waiting) {
      const auto it = events_.find(id);
      if (it != events_.end() && !it->second.done && it->second.waiting) place(now, it->second);
    }
  }

  void learn_from(Time now, Pending& pending, Shot& shot, const AttemptEnd& end) {
    Server& server = servers_.at(shot.server);
    Function& function = functions_[pending.told.function];
    Entry& entry = function.entries[shot.server];
    --server.open;
    if (entry.open > 0) --entry.open;
    const bool called_off =
        end.outcome == AttemptOutcome::cancelled || end.outcome == AttemptOutcome::not_sent;
    const bool heard = !called_off && end.outcome != AttemptOutcome::unanswered &&
                       end.outcome != AttemptOutcome::connect_failed;
    if (heard || server.open == 0) server.unanswered_since = server.open > 0 ? now : 0;
    if (end.outcome == AttemptOutcome::succeeded) {
      entry.confirmed = true;
      entry.used = now;
      server.past.bucket_at(now).honoured += 1;
      server.refusals = 0, server.shut_until = 0;
      // A process that dies takes along all that it has in hand: what it took before and answers now tells
      // that it lived. What was on its way at that moment does not.
      if (shot.sent < server.reborn && now - server.reborn > to_ticks(d_.tick)) server.reborn = 0;
      moves_ = std::min(moves_ + move_share, move_burst);
      learn_times(now, pending, function, server, shot, end);
      const bool loaded = d_.copies.state_is_reported ? end.copy_state != CopyState::loaded : !shot.confirmed;
      overload_control_.attempt_succeeded(
          now, usual_time(pending, function) * calm_pace_ + (loaded ? load_time(pending, function) : 0));
    } else if (end.outcome == AttemptOutcome::overloaded) {
      // Full, or draining before the roster says so: home to fewer functions. Where no copy stood it may be
      // the loads that are too many, a slow store behind them: copies that stand still serve.
      weigh(server, 1);
      server.no_loads_until = now + static_cast<Time>(load_time(pending, function) / 2);
      // One that turns all away drains, or is full for a while: it is asked again after doubling pauses.
      const int beyond = std::min(++server.refusals - refusals_of_shut, 6);
      const auto pause = static_cast<Time>(std::ldexp(pending.type->usual, beyond));
      if (beyond >= 0) server.shut_until = now + std::min(pause, second);
    } else if (end.copy_state == CopyState::load_failed || end.outcome == AttemptOutcome::function_missing) {
      entry.confirmed = false;
    }
    note_contact(now, server, end.outcome, to_ticks(end.taken));
    if (end.report.contains("util")) weigh_use(now, server, end.report.at("util"));
    const bool stood = d_.copies.state_is_reported ? end.copy_state == CopyState::loaded
                                                   : end.outcome == AttemptOutcome::succeeded;
    if (stood || (end.outcome == AttemptOutcome::overloaded && shot.confirmed)) {
      const bool bad = end.outcome == AttemptOutcome::overloaded ||
                       4 * to_ticks(end.taken) > 3 * to_ticks(pending.type->told.latency_objective);
      overload_control_.attempt_at_loaded_copy(now, pending.told.tenant, bad);
    }
    if (!called_off && end.outcome != AttemptOutcome::overloaded)
      judge_shot(now, server, shot,
                 end.outcome != AttemptOutcome::succeeded && end.outcome != AttemptOutcome::function_missing);
  }

  // Hashes load servers unevenly: what bears more than usual becomes home to fewer functions.
  void weigh(Server& server, double excess) const {
    const double step = std::min(1.0, static_cast<double>(beat_) / static_cast<double>(ring_span));
    server.ease *= std::exp(-step * std::clamp(excess, -1.0, 1.0));
    server.ease = std::clamp(server.ease, 1 / most_ease, most_ease);
  }
  void weigh_use(Time now, Server& server, double busy) {
    if (cold_since(now, server) == 0) add_sample(busy_usual_, busy);
    if (busy_usual_ > 0) weigh(server, busy / busy_usual_ - 1);
  }

  // A process that has died refuses connections. One that was lost may have been cut on its way, and the
  // server as warm as it was: where it has answered just now, or peers can tell, only several in a row tell.
  // One that never comes up says that the way is cut, or the machine gone: nothing of the process.
  void note_contact(Time now, Server& server, AttemptOutcome ending, Time taken) {
    const bool up = ending != AttemptOutcome::connect_failed;
    if (!up && to_ticks(d_.connect_timeout) > 0 &&
        2 * taken >= to_ticks(d_.connect_timeout)) {  // a refusal comes at once
      server.shut_until = now + std::min(second << std::min(server.silences++, 3), longest_pause);
    } else if (!up || ending == AttemptOutcome::connection_lost) {
      const bool lively = server.answered != 0 && now - server.answered <= second;
      if (cut(now, server) || (!lively && !(up && d_.reports.gossip))) return seems_dead(now, server);
      if (d_.reports.gossip) tell_peers(routing::ConnectionLost{server.told.id});
    } else if (ending != AttemptOutcome::unanswered && ending != AttemptOutcome::cancelled &&
               ending != AttemptOutcome::not_sent) {
      server.cuts = server.silences = 0, server.answered = now;
    }
  }
  // Whether so many connections were lost within a second of each other that the process has died.
  bool cut(Time now, Server& server) const {
    if (now - std::exchange(server.cut, now) > second && d_.reports.gossip) server.cuts = 0;
    return ++server.cuts >= cuts_of_death;
  }

  // What has died holds nothing, and what answers there next is cold, long before the roster says so.
  void seems_dead(Time now, Server& server) {
    server.reborn = now;
    forget_copies(server.told.id);
    if (d_.reports.gossip && now - std::exchange(server.noted, now) >= second)
      tell_peers(routing::EndpointDied{server.told.id});
  }

  void tell_peers(const routing::GossipMessage& message) {
    host_.send_gossip(every_peer, routing::encode(message));
  }

  void learn_times(Time now, Pending& pending, Function& function, Server& server, const Shot& shot,
                   const AttemptEnd& end) {
    const auto taken = static_cast<double>(to_ticks(end.taken));
    const bool found = d_.copies.state_is_reported ? end.copy_state == CopyState::loaded : shot.confirmed;
    if (!found && d_.copies.state_is_reported && end.copy_state != CopyState::load_started) return;
    if (!found) return add_sample(load_usual_, std::max(taken - usual_time(pending, function), 0.0));
    add_sample(pending.type->usual, taken);
    add_sample(usual_, taken);
    if (function.usual == 0) function.usual = pending.type->usual / fleet_pace_;
    add_sample(function.usual, taken / fleet_pace_);
    server.past.bucket_at(now).paced += 1;
    server.past.bucket_at(now).pace_sum += taken / function.usual;
  }

  static double usual_time(const Pending& pending, const Function& function) {
    return function.usual > 0 ? function.usual : pending.type->usual;
  }
  double load_time(const Pending& pending, const Function& function) const {
    const double guess =
        load_usual_ > 0 ? load_usual_ : static_cast<double>(to_ticks(pending.type->told.latency_objective));
    return std::max(function.load > 0 ? function.load : guess, 1.0);
  }
  double pace(const Tally& tally) const {
    return (tally.pace_sum + prior_ * fleet_pace_) / (tally.paced + prior_);
  }

  void judge_shot(Time now, Server& server, Shot& shot, bool bad) {
    if (shot.judged) return;
    shot.judged = true;
    const Tally tally{.judged = 1, .bad = bad ? 1.0 : 0.0};
    server.past.bucket_at(now) += tally;
    server.period += tally;
    if (server.aside) return;
    if (!bad) server.pause = 0;
    if (!bad || bad_share(server.past.total(now, recent_)) <= median_bad_ + aside_excess) return;
    if (2 * aside_ >= serving_) return;  // most look bad: the measure is wrong
    aside_ += 1;
    server.aside = true;
    pause_trickle(now, server);
    host_.log("set aside " + server.told.id);
  }

  double bad_share(const Tally& of) const { return (of.bad + prior_ * median_bad_) / (of.judged + prior_); }

  // A server set aside gets a trickle that doubles while it goes well: a share of its usual shots.
  bool trickles(const Pending& pending, const Server& server) {
    return pending.shots.empty() && pending.type->told.retry_safety == RetrySafety::idempotent &&
           draw() * serving_ < server.trickle;
  }
  static void pause_trickle(Time now, Server& server) {
    server.trickle = 0;
    server.pause = std::clamp(2 * server.pause, trickle_period, longest_pause);
    server.period_end = now + server.pause;
    server.period = {};
  }
  void next_period(Time now, Server& server) {
    if (!server.aside || now < server.period_end) return;
    if (server.period.bad > aside_excess * server.period.judged) return pause_trickle(now, server);
    server.trickle = std::max(trickle_first, 2 * server.trickle);
    server.period_end = now + std::max(trickle_period, beat_ / 8);
    server.period = {};
    if (server.trickle <= 1) return;
    server.aside = false;
    server.past = Past{second};
    host_.log("back in service " + server.told.id);
  }

  void keep_house(Time now) {
    wake_housekeeping(now);
    if (std::exchange(follow_due_, false)) host_.watch_endpoints(true);
    std::vector<double> bad, paces;
    double done = 0, warm_weight = 0;
    serving_ = aside_ = 0;
    for (auto& [id, server] : servers_) {
      next_period(now, server);
      if (!may_receive(server)) continue;
      ask_load(now, server);
      serving_ += 1;
      aside_ += server.aside ? 1 : 0;
      const Tally recent = server.past.total(now, recent_);
      bad.push_back(recent.judged > 0 ? recent.bad / recent.judged : 0);
      if (recent.paced >= prior_answers) paces.push_back(recent.pace_sum / recent.paced);
      const Time since = cold_since(now, server);
      if (since != 0) {
        slow_start_.refill(now, since, now - kept_, weight(server), observed_load(), server.tokens);
        continue;
      }
      server.tokens.keep_phase();
      done += server.past.total(now).honoured;
      warm_weight += weight(server);
    }
    median_bad_ = median(bad, 0);
    fleet_pace_ = median(paces, fleet_pace_);
    calm_pace_ = std::min(fleet_pace_, calm_pace_ + calm_follow * (fleet_pace_ - calm_pace_));
    const Time seen = std::clamp(now - born_, second, ring_span);
    borne_ = done / std::max(warm_weight, 0.1) / static_cast<double>(seen);
    // All that is judged over time follows the time in which each server gets one of this router's events.
    const double beat = serving_ * static_cast<double>(seen) / (heat_.total(now) + 1);
    beat_ = std::min(static_cast<Time>(beat), ring_span);
    recent_ = static_cast<int>(std::clamp<Time>(2 * beat_ / second, recent_buckets, ring_buckets));
    prior_ = std::clamp(static_cast<double>(recent_ * second) / (beat + 1), 1.0, prior_answers);
    // The Index is bounded: lapsed entries, which count for nothing, and functions long not asked for go.
    if (std::exchange(swept_, now / second) != now / second) {
      std::erase_if(functions_, [&](const auto& item) { return now - item.second.asked > forget_after; });
      for (auto& [id, function] : functions_) {
        std::erase_if(function.entries, [&](const auto& item) { return !stands(now, item.second); });
      }
    }
    roster_version_ += std::erase_if(servers_, [&](const auto& item) {
      const auto& [id, server] = item;
      return server.gone_at != 0 && server.open == 0 && now - server.gone_at > forget_after;
    });
    kept_ = now;
    for (auto& [id, server] : servers_) server.outlasting = 0;
    for (auto& [id, pending] : events_) look(now, pending);
    weigh_crowd(now);
    place_waiting(now);
    std::erase_if(events_, [](const auto& item) { return item.second.done && !any_open(item.second); });
  }

  // Where load reports come only with probes, one router probes a server in each period and tells its peers.
  void ask_load(Time now, Server& server) {
    if (!d_.reports.probes || !d_.reports.gossip || d_.reports.load_reports != "probe") return;
    const Time turn = now / probe_period;
    if (std::exchange(server.probe_turn, turn) == turn) return;
    const double whose =
        std::ceil(rendezvous_hash(std::to_string(turn), server.told.id) * std::max(1, d_.routers));
    if (static_cast<int>(whose) != d_.router_number + 1) return;
    server.tokens.take(1);
    host_.probe(server.told.id);
  }

  void wake_housekeeping(Time now) {
    host_.set_timer(housekeeping_token, to_timestamp(now + housekeeping_period));
  }

  void forget_copies(const EndpointId& server) {
    for (auto& [id, function] : functions_) {
      if (const auto it = function.entries.find(server); it != function.entries.end())
        it->second.confirmed = it->second.ordered = false;
    }
  }

  TypeRow& row(const RequestClass& type) {
    return types_
        .try_emplace(type.name, TypeRow{type, static_cast<double>(to_ticks(type.latency_objective)) / 4})
        .first->second;
  }

  static bool any_open(const Pending& pending) {
    return std::ranges::any_of(pending.shots, [](const Shot& shot) { return shot.open; });
  }
  static const Shot* shot_at(const Pending& pending, const EndpointId& server) {
    const auto newest_first = std::views::reverse(pending.shots);
    const auto it = std::ranges::find(newest_first, server, &Shot::server);
    return it == newest_first.end() ? nullptr : &*it;
  }
  const RoutingConfiguration d_;
  RoutingHost& host_;
  std::ranlux24_base chance_;
  std::map<std::string, TypeRow> types_;
  std::map<EndpointId, Server> servers_;
  std::map<FunctionId, Function> functions_;
  std::map<RequestId, Pending> events_;
  std::set<RequestId> waiting_;
  routing::SlowStart slow_start_;
  routing::LoadBudget load_budget_;
  routing::TenantQuotas tenant_quotas_;
  routing::OverloadControl overload_control_;
  Counts heat_{second};                                 // requests taken
  double usual_ = 0, load_usual_ = 0, busy_usual_ = 0;  // time of an answer, of a load; use of cores
  double fleet_pace_ = 1, calm_pace_ = 1, median_bad_ = 0;
  double borne_ = 0;                // honoured at a warm server, per weight and time
  double serving_ = 0, aside_ = 0;  // servers that may receive; of these, set aside
  Time beat_ = second;              // a server gets one of this router's events in about that
  int recent_ = recent_buckets;     // buckets that tell of the present
  double prior_ = prior_answers;    // answers that a server must show, at this beat
  std::uint64_t roster_version_ = 0, picks_ = 0;
  double crossing_ = 0;        // score; a crossing's price, in loads
  double moves_ = move_burst;  // overdue shots that may be sent again now
  Time born_ = 0, kept_ = 0,
       swept_ = 0;  // first word of the roster; last housekeeping; second of the last sweep
  bool follow_due_ = false;
};

}  // namespace

std::unique_ptr<RoutingPolicy> make_routing_policy(const RoutingConfiguration& deployment, std::uint64_t seed,
                                                   RoutingHost& host) {
  return std::make_unique<Decider>(deployment, seed, host);
}

}  // namespace rushhill
