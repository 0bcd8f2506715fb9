#include "router/replicated_state.h"

#include <algorithm>
#include <utility>

namespace rushhill::router {
namespace {

using core::Level;

constexpr Time second = 10'000;  // tenths of a millisecond
constexpr Time recovery_check_interval = 100;
constexpr Time default_record_lifetime = 60 * second;  // of the record kinds that no code writes yet
// Added to a lifetime together with 1 % of it, because the clocks of two machines may drift apart meanwhile.
constexpr Time clock_drift_margin = second;
// Requests whose records are only announced are admitted this long after the start at the latest, even if the
// recovery is incomplete.
constexpr Time announced_admission_delay = 2 * second;
constexpr int buckets_per_window = 16;               // of the load budget; each bucket is one record
constexpr std::size_t max_records_per_kind = 1'000;  // of one router; many times the buckets of a window
// Incarnations of a router for which streams are kept, on average. Further streams are refused and logged.
constexpr std::size_t incarnations_per_router = 20;

Time budget_record_lifetime(Time window) { return window + window / 100 + clock_drift_margin; }

Time deduplication_record_lifetime(const deployment::ReplicationConfiguration& configuration) {
  return configuration.mark_life + configuration.mark_life / 100 + clock_drift_margin;
}

// Returns how many other routers must hold a record. The default is so many that any two admissions of one
// request, each with its holders, have a router in common.
int required_holders_of(const deployment::DeploymentConfiguration& configuration) {
  return configuration.replication.held_by > 0 ? configuration.replication.held_by
                                               : configuration.routing.routers / 2;
}

replica::Bounds bounds_of(const deployment::DeploymentConfiguration& configuration) {
  const auto routers = static_cast<std::size_t>(std::max(configuration.routing.routers, 1));
  replica::Bounds bounds;
  bounds.life.fill(default_record_lifetime);
  bounds.life[static_cast<std::size_t>(replica::Kind::load_budget)] =
      budget_record_lifetime(to_ticks(configuration.routing.load_budget.window));
  bounds.own.fill(max_records_per_kind);
  bounds.together.fill(max_records_per_kind * routers);
  const auto deduplication = static_cast<std::size_t>(replica::Kind::deduplication);
  bounds.life[deduplication] = deduplication_record_lifetime(configuration.replication);
  bounds.own[deduplication] = configuration.replication.most_marks;
  bounds.together[deduplication] = configuration.replication.most_marks * routers;
  bounds.streams = replica::kinds * routers * incarnations_per_router;
  bounds.horizon = 2 * *std::ranges::max_element(bounds.life);
  return bounds;
}

// Returns an incarnation that differs from those of earlier starts even with a configured seed, since the
// clock continues over a restart.
std::uint64_t incarnation_of(std::uint64_t seed, std::int64_t clock_ns) {
  std::uint64_t mixed = seed + static_cast<std::uint64_t>(clock_ns) * 0x9e3779b97f4a7c15ULL;
  mixed = (mixed ^ mixed >> 30U) * 0xbf58476d1ce4e5b9ULL;
  return mixed ^ mixed >> 31U;
}

}  // namespace

std::size_t max_replica_links(const deployment::DeploymentConfiguration& configuration) {
  const int routers = configuration.routing.routers;
  return replicating::most_links(routers, routers <= replica::max_full_mesh_routers);
}

ReplicatedState::ReplicatedState(transport::Reactor& reactor,
                                 const deployment::DeploymentConfiguration& configuration, std::uint64_t seed,
                                 core::EventLog& event_log, LoadBudgetRestored on_load_budget_restored,
                                 AdmissionDecided on_admission_decided)
    : reactor_(reactor), event_log_(event_log), configuration_(configuration.replication),
      routers_(configuration.routing.routers), required_holders_(required_holders_of(configuration)),
      budget_window_(to_ticks(configuration.routing.load_budget.window)), started_(reactor.now()),
      on_load_budget_restored_(std::move(on_load_budget_restored)),
      on_admission_decided_(std::move(on_admission_decided)),
      replica_({configuration.routing.router_number, incarnation_of(seed, reactor.clock_ns())},
               bounds_of(configuration), *this),
      deduplication_records_(replica_, routers_, required_holders_, *this),
      links_(reactor,
             {.listen = configuration.replication.listen,
              .addresses = configuration.replication.addresses,
              .hello = {.deployment = configuration.replication.deployment,
                        .name = "router-" + std::to_string(configuration.routing.router_number),
                        .writer = replica_.me()},
              .full_mesh = routers_ <= replica::max_full_mesh_routers,
              .most_links = max_replica_links(configuration),
              .heard = [this] { deduplication_records_.heard(); }},
             replica_, event_log) {
  load_budget_restored_ = budget_window_ <= 0;
  recovered_ = configuration_.marks.empty() && load_budget_restored_;
  replica_.set_recovered(recovered_);
  if (!recovered_ || !load_budget_restored_)
    recovery_timer_ = reactor_.at(started_ + recovery_check_interval, [this] { check_recovery(); });
}
ReplicatedState::~ReplicatedState() {
  reactor_.cancel(recovery_timer_);
  reactor_.cancel(admission_timer_);
}

// Returns whether this replica holds again whatever earlier incarnations of this router held: it has received
// the state of all other routers, or of so many recovered ones that one of them shares each record. With too
// many routers for a full mesh, or too few holders for two admissions to have a router in common, it suffices
// to have caught up with the linked routers.
bool ReplicatedState::has_complete_state(Time now) const {
  const replicating::ReplicaLinks::SynchronizedPeers peers = links_.learnt();
  if (!replica::quorums_intersect(routers_, required_holders_) || routers_ > replica::max_full_mesh_routers)
    return links_.caught_up();
  return now > started_ && replica::settled(routers_, required_holders_, peers.all, peers.vouching);
}

// If other routers cannot be reached, recovery is complete once all records of earlier incarnations have
// expired.
void ReplicatedState::check_recovery() {
  const Time now = reactor_.now();
  const bool complete = has_complete_state(now);
  if (!load_budget_restored_ && (complete || now - started_ >= budget_record_lifetime(budget_window_))) {
    load_budget_restored_ = true;
    const std::uint64_t orders =
        complete ? replica_.count_of_earlier_incarnations(replica::Kind::load_budget) : 0;
    event_log_.write(
        Level::info, "load budget restored",
        {{"orders of earlier lives", std::to_string(orders)}, {"nobody there", complete ? "no" : "yes"}});
    on_load_budget_restored_(static_cast<double>(orders));
  }
  const Time longest =
      std::max(configuration_.marks.empty() ? 0 : deduplication_record_lifetime(configuration_),
               budget_record_lifetime(budget_window_));
  if (!recovered_ && (complete || now - started_ >= longest)) {
    recovered_ = true;
    replica_.set_recovered(true);
    event_log_.write(Level::info, "replicated state recovered",
                     {{"marks", std::to_string(replica_.size(replica::Kind::deduplication))},
                      {"ms", std::to_string((now - started_) / 10)}});
  }
  if (!recovered_ || !load_budget_restored_)
    recovery_timer_ = reactor_.at(now + recovery_check_interval, [this] { check_recovery(); });
}

core::AdmissionVerdict ReplicatedState::admit(RequestId request, const std::string& request_class,
                                              const events::CloudEvent& message, Duration time_left) {
  const auto level = configuration_.marks.find(request_class);
  if (level == configuration_.marks.end()) return core::AdmissionVerdict::untracked;
  const Time now = reactor_.now();
  const bool replicated = level->second == replica::DeduplicationLevel::held;
  if (!recovered_ && (replicated || now - started_ < announced_admission_delay))
    return core::AdmissionVerdict::unavailable;
  const Time deadline =
      now + static_cast<Time>(configuration_.held_within * static_cast<double>(to_ticks(time_left)));
  switch (deduplication_records_.take(now, request, replica::deduplication_key(message.source, message.id),
                                      level->second, deadline)) {
    case replica::Taking::known:
      return core::AdmissionVerdict::duplicate;
    case replica::Taking::full:
      return core::AdmissionVerdict::unavailable;
    case replica::Taking::go:
      links_.tell_now();
      return core::AdmissionVerdict::tracked;
    case replica::Taking::wait:
      links_.tell_now();
      schedule_admission_timeout();
      return core::AdmissionVerdict::pending;
  }
  return core::AdmissionVerdict::unavailable;
}

void ReplicatedState::request_ended(const events::CloudEvent& message, core::ExecutionCertainty certainty) {
  const replica::Stage stage =
      certainty == core::ExecutionCertainty::not_executed ? replica::Stage::not_executed
      : certainty == core::ExecutionCertainty::executed   ? replica::Stage::executed
                                                          : replica::Stage::may_have_executed;
  deduplication_records_.ended(reactor_.now(), replica::deduplication_key(message.source, message.id), stage);
  links_.written();
}

void ReplicatedState::schedule_admission_timeout() {
  const Time next = deduplication_records_.next();
  if (next == 0 || admission_timer_.at == next) return;
  reactor_.cancel(admission_timer_);
  admission_timer_ = reactor_.at(next, [this] {
    admission_timer_ = {};
    deduplication_records_.pass(reactor_.now());
    schedule_admission_timeout();
  });
}

void ReplicatedState::on_admitted(std::int64_t request) {
  on_admission_decided_(request, core::AdmissionVerdict::tracked);
}
void ReplicatedState::on_duplicate(std::int64_t request) {
  on_admission_decided_(request, core::AdmissionVerdict::duplicate);
}
void ReplicatedState::on_replication_timeout(std::int64_t request) {
  on_admission_decided_(request, core::AdmissionVerdict::unavailable);
}

std::string ReplicatedState::status_text() const {
  return "copies exchanged with " + std::to_string(links_.met().size()) + " of " +
         std::to_string(routers_ - 1) + ", words lacking " + std::to_string(links_.behind()) + ", marks " +
         std::to_string(replica_.size(replica::Kind::deduplication)) +
         (recovered_ ? ", settled" : ", not settled yet");
}

// Sends the record of the order before the order itself, so that it survives this router if another router
// that received it does.
bool ReplicatedState::prepare_prewarm() {
  if (budget_window_ <= 0) return true;
  const Time now = reactor_.now();
  const Time bucket = now / std::max<Time>(budget_window_ / buckets_per_window, 1);
  if (std::exchange(bucket_, bucket) != bucket) orders_in_bucket_ = 0;
  if (replica_.write(now, replica::Kind::load_budget, std::to_string(bucket), 0, ++orders_in_bucket_) == 0)
    return false;
  links_.tell_now();
  return true;
}

void ReplicatedState::full(replica::Kind kind) {
  event_log_.write(Level::warning, "replicated record refused because a limit is reached",
                   {{"kind", std::to_string(static_cast<int>(kind))}});
}
void ReplicatedState::on_divergence(const replica::StreamId& stream, const replica::Word& kept,
                                    const replica::Word& dropped) {
  event_log_.write(
      Level::error, "replicas diverged: their records of one number differ, and the greater one is kept",
      {{"kind", std::to_string(static_cast<int>(stream.kind))},
       {"router", std::to_string(stream.writer.router)},
       {"stands", kept.key + " " + std::to_string(kept.rank) + " " + std::to_string(kept.count)},
       {"gone", dropped.key + " " + std::to_string(dropped.rank) + " " + std::to_string(dropped.count)}});
}
void ReplicatedState::on_executed_twice(const std::string& event, const replica::Writer& first_writer,
                                        const replica::Writer& second_writer) {
  event_log_.write(Level::error, "an event was executed twice",
                   {{"event", event},
                    {"router", std::to_string(first_writer.router)},
                    {"and router", std::to_string(second_writer.router)}});
}
void ReplicatedState::on_duplicate_writer(const replica::Writer& writer) {
  event_log_.write(Level::error, "another router uses the number and the incarnation of this one",
                   {{"router", std::to_string(writer.router)}});
}

}  // namespace rushhill::router
