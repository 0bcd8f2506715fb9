#include "scale/hollow.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <utility>

#include "core/endpoint_list_source.h"
#include "core/peer_messenger.h"
#include "core/upstream_transport.h"

namespace rushhill::scale {
namespace {

// What surrounds a hollow router; ours, since the size that the users told does not say it.
constexpr Time second = 10'000;           // tenths of a millisecond
constexpr Time work = 200;                // time; an answer where a copy stands, 20 ms
constexpr Time load = 4'000;              // time; until a copy stands, within the 0.45 s of a cold start
constexpr Time cold_target = 4'500;       // time; a cold start, as told
constexpr Time copy_life = 600 * second;  // time; an instance lives some 10 minutes
constexpr Time latency_target = 7'500;    // time; as the fleets played elsewhere
constexpr Time deadline = 25'000;         // time; likewise
constexpr int zones = 6, regions = 2;     // as told
constexpr int rack = 40;                  // servers in a cell
constexpr int stride_part = 618;  // of a thousand: called in turn, but not neighbours after each other
// Calls by (rank + head)^-steepness: of 15,000 functions and 110,000 calls a second more than half come less
// than once a minute, and the first has a tenth.
constexpr double head = 8, steepness = 2;
constexpr double tenant_quota = 1e6;   // requests a second; never reached
constexpr double fewest_fetches = 64;  // of the store at once, however few servers
constexpr int attempt_cap = 3;         // attempts a request

}  // namespace

std::string server_name(int number) {
  char text[32];
  std::snprintf(text, sizeof text, "host-%05d", number);
  return text;
}
std::string function_name(int number) {
  char text[32];
  std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(number) * 2'654'435'761U);
  return text;
}

std::string location_of(int number) {
  const int zone = number % zones;
  char text[32];
  std::snprintf(text, sizeof text, "region-%d/zone-%d", zone % regions, zone);
  return text;
}
std::string region_of(const std::string& location) { return location.substr(0, location.find('/')); }

std::vector<Endpoint> server_list(int servers) {
  std::vector<Endpoint> list;
  for (int i = 0; i < servers; ++i) {
    list.push_back(
        {.id = server_name(i), .rating = 2, .kind = "std", .location = location_of(i), .cell = i / rack});
  }
  return list;
}

RoutingConfiguration deployment_of(const Sizes& sizes) {
  RoutingConfiguration told;
  told.routers = sizes.routers;
  told.location = "region-0/zone-0";
  told.tick = to_duration(10);
  told.retries.attempt_limit = attempt_cap;
  told.copies.state_is_reported = true;
  told.copies.keep_alive = to_duration(copy_life);
  told.slow_start.warm_up_span = to_duration(16 * second);
  told.slow_start.budget_span = to_duration(second + second / 2);
  told.reports.probes = told.reports.gossip = sizes.probing;
  if (sizes.probing)
    told.reports.load_reports = "probe", told.routers = 1;  // one probes for all: the whole fleet's messages
  told.request_classes = {{.name = "lookup",
                           .latency_objective = to_duration(latency_target),
                           .deadline_span = to_duration(deadline),
                           .retry_safety = RetrySafety::idempotent}};
  for (int i = 0; i < sizes.tenants; ++i)
    told.tenants.push_back({.name = "tenant-" + std::to_string(i), .share = 1, .quota_per_s = tenant_quota});
  return told;
}

Calls::Calls(const Sizes& sizes, std::uint64_t seed)
    : functions_(sizes.functions), chance_(static_cast<std::uint_fast32_t>(seed)), even_(sizes.even) {
  if (even_) return;
  std::vector<double> weights;
  for (int i = 0; i < functions_; ++i) weights.push_back(std::pow(i + 1 + head, -steepness));
  drawn_ = std::discrete_distribution<int>(weights.begin(), weights.end());
}
int Calls::next() {
  if (!even_) return drawn_(chance_);
  last_ = (last_ + 1) % functions_;
  const std::int64_t stride = static_cast<std::int64_t>(functions_) * stride_part / 1'000 | 1;
  // Where the stride shares a factor with the number, some come twice and others not: then one after another.
  return std::gcd(stride, static_cast<std::int64_t>(functions_)) == 1
             ? static_cast<int>(last_ * stride % functions_)
             : last_;
}

HollowModule::HollowModule(const Sizes& sizes, Counter& counter, std::uint64_t seed)
    : requests(counter), ticks(counter), lists(counter), sizes_(sizes), list_(server_list(sizes.servers)),
      calls_(sizes, seed) {
  for (std::size_t i = 0; i < list_.size(); ++i) place_[list_[i].id] = i;
  for (int i = 0; i < sizes.functions; ++i) functions_.push_back(function_name(i));
  router_ = make_routing_policy(deployment_of(sizes), seed, *this);
  whole_list();
}
HollowModule::~HollowModule() = default;

void HollowModule::clear() {
  requests.clear(), ticks.clear(), lists.clear();
  taken = attempts = rejected = abandoned = cold = messages = message_bytes = 0;
}

double HollowModule::end() {
  const double before = allocated_bytes();
  router_.reset();
  return before - allocated_bytes();
}

void HollowModule::whole_list() {
  lists.begin();
  router_->endpoints_updated(to_timestamp(now_), EndpointListForm::complete, list_);
  lists.end();
}
void HollowModule::change(int server) {
  Endpoint& changed = list_[static_cast<std::size_t>(server) % list_.size()];
  changed.started = to_timestamp(++changes_);  // another life, and long ago: it is not cold any more
  lists.begin();
  router_->endpoints_updated(to_timestamp(now_), EndpointListForm::delta, {changed});
  lists.end();
}

void HollowModule::request() {
  calling_ = calls_.next();
  const RequestId id = ++last_;
  function_of_[id] = calling_;
  met_.insert(calling_);
  RoutingRequest told{.id = id,
                      .request_class = "lookup",
                      .function = functions_[static_cast<std::size_t>(calling_)],
                      .time_left = to_duration(deadline),
                      .load_time = to_duration(load)};
  if (sizes_.tenants > 0) told.tenant = "tenant-" + std::to_string(id % sizes_.tenants);
  ++taken;
  requests.begin();
  router_->request_received(to_timestamp(now_), told);
  requests.end();
}

void HollowModule::pass(Time span) {
  const Time until = now_ + span;
  for (;;) {
    const Time timer = due_.empty() ? until + 1 : due_.top().at;
    const auto call = static_cast<Time>(next_request_);
    if (std::min(timer, call) > until) break;
    if (timer <= call) {
      const Due due = due_.top();
      due_.pop();
      now_ = std::max(now_, due.at);
      ring(due);
    } else {
      now_ = std::max(now_, call);
      next_request_ += static_cast<double>(second) / sizes_.requests;
      request();
    }
    for (const EndpointId& server : std::exchange(probed_, {}))
      router_->probe_ended(to_timestamp(now_),
                           {.endpoint = server, .taken = to_duration(work), .report = {{"util", 0.5}}});
  }
  now_ = until;
}

void HollowModule::ring(const Due& due) {
  if (!due.is_end) {
    Meter& meter = due.token == 0 ? ticks : requests;
    meter.begin();
    router_->timer_fired(to_timestamp(now_), due.token);
    meter.end();
    return;
  }
  const AttemptEnd end{.request = due.event,
                       .endpoint = list_[due.server].id,
                       .final = true,
                       .taken = to_duration(now_ - due.sent),
                       .copy_state = due.found ? CopyState::loaded : CopyState::load_started};
  function_of_.erase(due.event);
  requests.begin();
  router_->attempt_ended(to_timestamp(now_), end);
  requests.end();
}

void HollowModule::send_attempt(RequestId event, const EndpointId& server, Duration) {
  ++attempts;
  const std::size_t place = place_.at(server);
  const auto [copy, fresh] = warm_.try_emplace({place, function_of_.at(event)}, now_);
  const bool found = !fresh && now_ - copy->second < copy_life;
  copy->second = now_;
  cold += found ? 0 : 1;
  due_.push({.at = now_ + (found ? work : work + load),
             .event = event,
             .server = place,
             .sent = now_,
             .found = found,
             .is_end = true});
}
void HollowModule::set_timer(std::int64_t token, Timestamp at) {
  due_.push({.at = to_ticks(at), .token = token});
}
void HollowModule::probe(const EndpointId& server) { probed_.push_back(server); }
void HollowModule::send_gossip(int, const std::string& bytes) {
  ++messages;
  message_bytes += static_cast<std::int64_t>(bytes.size());
}

HollowServers::HollowServers(core::TimerService& clock, int servers, int functions)
    : clock_(clock), store_({.concurrent_fetches = std::max(fewest_fetches, 2.0 * servers),
                             .max_fetches = std::max(fewest_fetches, 8.0 * servers)}) {
  for (int i = 0; i < functions; ++i) {
    const std::string name = function_name(i);
    functions_[name] = {.name = name, .memory_mb = 150, .lanes = 2, .load = load, .work = work};
  }
  const simulation::RuleParameters rules;
  for (const Endpoint& told : server_list(servers)) {
    simulation::ServerSpec make{
        .id = told.id, .kind = told.kind, .location = told.location, .cell = told.cell};
    make.keep_alive = copy_life;
    auto machine = std::make_unique<simulation::ServerModel>(make, rules, simulation::ServerModelSettings{},
                                                             store_, clock_);
    machine->start(false);
    machines_.emplace(told.id, std::move(machine));
  }
}
HollowServers::~HollowServers() = default;
simulation::ServerModel& HollowServers::at(const EndpointId& server) { return *machines_.at(server); }

void HollowServers::stop(const EndpointId& server) {
  stopped_.insert(server);
  at(server).stop();
}
void HollowServers::start(const EndpointId& server) {
  stopped_.erase(server);
  at(server).start(true);
}
bool HollowServers::reached(const std::string& region, const EndpointId& server) const {
  return !stopped_.contains(server) &&
         !(parted_ && region_of(machines_.at(server)->spec().location) != region);
}

std::vector<core::EndpointListEntry> HollowServers::list() const {
  std::vector<core::EndpointListEntry> entries;
  for (Endpoint& server : server_list(static_cast<int>(machines_.size())))
    entries.push_back({std::move(server), "127.0.0.1:9"});
  return entries;
}

HollowRouter::HollowRouter(const RoutingConfiguration& deployment, HollowServers& servers,
                           core::PeerMessenger& peers, std::uint64_t seed)
    : servers_(servers), region_(region_of(deployment.location)), gateway_(deployment, seed,
                                                                           {.clock = servers.clock(),
                                                                            .upstream = *this,
                                                                            .peers = peers,
                                                                            .endpoint_lists = *this,
                                                                            .log = *this}),
      source_(gateway_.add_source(1)) {}
HollowRouter::~HollowRouter() {
  for (const auto& [key, job] : jobs_) servers_.at(job.first).cancel_job(job.second);
}

bool HollowRouter::request(const std::string& function, RequestId number) {
  calling_ = function;
  const auto id = gateway_.accept(source_, *this,
                                  {.request_class = "lookup",
                                   .function = function,
                                   .time_left = to_duration(deadline),
                                   .load_time = to_duration(load)},
                                  {.id = std::to_string(number), .source = "/clients", .type = "lookup"});
  // What waits for a place is sent later.
  if (id) open_.try_emplace(*id, function, servers_.clock().now());
  calling_.clear();
  return id.has_value();
}

void HollowRouter::send(const core::AttemptCall& call) {
  const auto [open, first] = open_.try_emplace(call.request, calling_, servers_.clock().now());
  const std::pair key{call.request, call.attempt_number};
  const Time now = servers_.clock().now();
  if (!servers_.reached(region_, call.endpoint)) {
    jobs_[key] = {call.endpoint, 0};
    servers_.clock().at(now + connect_limit, [this, key, alive = std::weak_ptr(life_)] {
      if (alive.expired() || jobs_.erase(key) == 0) return;
      gateway_.attempt_ended(key.first, key.second,
                             {.outcome = AttemptOutcome::connect_failed, .report = {}, .reply = {}});
    });
    return;
  }
  const auto done = [this, key, alive = std::weak_ptr(life_)](const simulation::JobResult& end) {
    servers_.clock().post([this, key, end, alive] {
      if (!alive.expired()) hear(key, end);
    });
  };
  const auto job =
      servers_.at(call.endpoint)
          .take(
              {&servers_.function(open->second.first), work, now + to_ticks(call.time_left)}, [] {}, done);
  jobs_[key] = {call.endpoint, job};
}
void HollowRouter::hear(const std::pair<RequestId, int>& attempt, const simulation::JobResult& end) {
  const auto it = jobs_.find(attempt);
  if (it == jobs_.end()) return;
  const bool reached = servers_.reached(region_, it->second.first);
  jobs_.erase(it);
  if (!reached) return;  // the answer is lost on its way
  const bool ran = end.outcome == simulation::JobOutcome::completed;
  const auto open = open_.find(attempt.first);
  if (ran && end.copy_state != CopyState::loaded && open != open_.end()) {
    ++cold;
    cold_in_time += servers_.clock().now() - open->second.second <= cold_target ? 1 : 0;
  }
  gateway_.attempt_ended(attempt.first, attempt.second,
                         {.outcome = ran ? AttemptOutcome::succeeded : AttemptOutcome::overloaded,
                          .copy_state = end.copy_state,
                          .in_flight = end.in_flight,
                          .report = {},
                          .reply = {}});
}
void HollowRouter::cancel(RequestId event, int leg) {
  const auto it = jobs_.find({event, leg});
  if (it == jobs_.end()) return;
  servers_.at(it->second.first).cancel_job(it->second.second);
  jobs_.erase(it);
}
void HollowRouter::probe(const EndpointId& server, Duration) {
  servers_.clock().post([this, server, alive = std::weak_ptr(life_)] {
    if (!alive.expired())
      gateway_.probe_ended(server, AttemptOutcome::succeeded, {{"util", servers_.at(server).utilization()}});
  });
}
void HollowRouter::prewarm(const EndpointId& server, const FunctionId& function, int copies, Duration) {
  servers_.at(server).prewarm(
      servers_.function(function), copies,
      [this, server, function, alive = std::weak_ptr(life_)](simulation::JobOutcome outcome, int standing) {
        servers_.clock().post([this, server, function, outcome, standing, alive] {
          if (alive.expired()) return;
          const AttemptOutcome ending = outcome == simulation::JobOutcome::completed
                                            ? AttemptOutcome::succeeded
                                            : AttemptOutcome::overloaded;
          gateway_.prewarm_ended(server, function, ending, standing);
        });
      });
}
void HollowRouter::succeeded(RequestId event, events::CloudEvent) {
  const auto it = open_.find(event);
  ++answered;
  if (it == open_.end()) return;
  in_time += servers_.clock().now() - it->second.second <= latency_target ? 1 : 0;
  open_.erase(it);
}
void HollowRouter::rejected(RequestId event, Duration) { given_up += open_.erase(event) > 0 ? 1 : 0; }
void HollowRouter::failed(RequestId event) { given_up += open_.erase(event) > 0 ? 1 : 0; }

}  // namespace rushhill::scale
