#include "router/shared_state.h"

#include <algorithm>
#include <utility>

namespace rushhill::router {
namespace {

using core::Level;

constexpr Time second = 10'000;           // tenths of a millisecond
constexpr Time look_every = 100;          // between looks whether the ration is known
constexpr Time word_life = 60 * second;   // of kinds that nothing hangs on yet
constexpr Time drift = second;            // and a hundredth: clocks of two machines over a window
constexpr Time told_after = 2 * second;   // told marks are taken from then on at the latest, settled or not
constexpr int window_parts = 16;          // buckets of a window; a word each
constexpr std::size_t own_words = 1'000;  // a kind; a window's buckets, many times over
constexpr std::size_t lives_kept = 20;    // of each router; more in one window are refused, and said

Time ration_life(Time window) { return window + window / 100 + drift; }

Time mark_life(const deployment::ReplicationConfiguration& of) {
  return of.mark_life + of.mark_life / 100 + drift;
}

// So many that two takings of one event, each with its holders, have a router in common.
int others_of(const deployment::DeploymentConfiguration& configuration) {
  return configuration.replication.held_by > 0 ? configuration.replication.held_by
                                               : configuration.routing.routers / 2;
}

replica::Bounds bounds_of(const deployment::DeploymentConfiguration& configuration) {
  const auto routers = static_cast<std::size_t>(std::max(configuration.routing.routers, 1));
  replica::Bounds bounds;
  bounds.life.fill(word_life);
  bounds.life[static_cast<std::size_t>(replica::Kind::ration)] =
      ration_life(to_ticks(configuration.routing.load_budget.window));
  bounds.own.fill(own_words);
  bounds.together.fill(own_words * routers);
  const auto marks = static_cast<std::size_t>(replica::Kind::mark);
  bounds.life[marks] = mark_life(configuration.replication);
  bounds.own[marks] = configuration.replication.most_marks;
  bounds.together[marks] = configuration.replication.most_marks * routers;
  bounds.streams = replica::kinds * routers * lives_kept;
  bounds.horizon = 2 * *std::ranges::max_element(bounds.life);
  return bounds;
}

// Told apart from every other life, also where the seed is told: the clock goes on through a restart.
std::uint64_t incarnation_of(std::uint64_t seed, std::int64_t clock_ns) {
  std::uint64_t mixed = seed + static_cast<std::uint64_t>(clock_ns) * 0x9e3779b97f4a7c15ULL;
  mixed = (mixed ^ mixed >> 30U) * 0xbf58476d1ce4e5b9ULL;
  return mixed ^ mixed >> 31U;
}

}  // namespace

std::size_t most_links_of(const deployment::DeploymentConfiguration& configuration) {
  const int routers = configuration.routing.routers;
  return replicating::most_links(routers, routers <= replica::most_meeting);
}

SharedState::SharedState(transport::Reactor& reactor,
                         const deployment::DeploymentConfiguration& configuration, std::uint64_t seed,
                         core::EventLog& diary, RationKnown known, Marked marked)
    : reactor_(reactor), diary_(diary), told_(configuration.replication),
      routers_(configuration.routing.routers), others_(others_of(configuration)),
      window_(to_ticks(configuration.routing.load_budget.window)), born_(reactor.now()),
      known_(std::move(known)), marked_(std::move(marked)),
      copy_({configuration.routing.router_number, incarnation_of(seed, reactor.clock_ns())},
            bounds_of(configuration), *this),
      marks_(copy_, routers_, others_, *this),
      links_(reactor,
             {.listen = configuration.replication.listen,
              .addresses = configuration.replication.addresses,
              .hello = {.deployment = configuration.replication.deployment,
                        .name = "router-" + std::to_string(configuration.routing.router_number),
                        .writer = copy_.me()},
              .everybody = routers_ <= replica::most_meeting,
              .most_links = most_links_of(configuration),
              .heard = [this] { marks_.heard(); }},
             copy_, diary) {
  ration_known_ = window_ <= 0;
  settled_ = told_.marks.empty() && ration_known_;
  copy_.vouch(settled_);
  if (!settled_ || !ration_known_) alarm_ = reactor_.at(born_ + look_every, [this] { look(); });
}
SharedState::~SharedState() {
  reactor_.cancel(alarm_);
  reactor_.cancel(by_);
}

// Whatever an earlier life of this router held is here again: all others were met, or so many that vouch for
// what they hold that one of them shares it. Where more routers than that cannot be met, whoever is asked.
bool SharedState::learnt(Time now) const {
  const replicating::ReplicaLinks::Learnt learnt = links_.learnt();
  if (!replica::every_two_meet(routers_, others_) || routers_ > replica::most_meeting)
    return links_.caught_up();
  return now > born_ && replica::settled(routers_, others_, learnt.all, learnt.vouching);
}

// Where nobody is there, it is as good once whatever an earlier life wrote counts no more.
void SharedState::look() {
  const Time now = reactor_.now();
  const bool all_here = learnt(now);
  if (!ration_known_ && (all_here || now - born_ >= ration_life(window_))) {
    ration_known_ = true;
    const std::uint64_t orders = all_here ? copy_.written_before(replica::Kind::ration) : 0;
    diary_.write(
        Level::info, "ration known",
        {{"orders of earlier lives", std::to_string(orders)}, {"nobody there", all_here ? "no" : "yes"}});
    known_(static_cast<double>(orders));
  }
  const Time longest = std::max(told_.marks.empty() ? 0 : mark_life(told_), ration_life(window_));
  if (!settled_ && (all_here || now - born_ >= longest)) {
    settled_ = true;
    copy_.vouch(true);
    diary_.write(Level::info, "settled among the routers",
                 {{"marks", std::to_string(copy_.size(replica::Kind::mark))},
                  {"ms", std::to_string((now - born_) / 10)}});
  }
  if (!settled_ || !ration_known_) alarm_ = reactor_.at(now + look_every, [this] { look(); });
}

core::AdmissionVerdict SharedState::admit(RequestId event, const std::string& traffic_type,
                                          const events::CloudEvent& message, Duration left) {
  const auto type = told_.marks.find(traffic_type);
  if (type == told_.marks.end()) return core::AdmissionVerdict::untracked;
  const Time now = reactor_.now();
  const bool held = type->second == replica::MarkLevel::held;
  if (!settled_ && (held || now - born_ < told_after)) return core::AdmissionVerdict::unavailable;
  const Time by = now + static_cast<Time>(told_.held_within * static_cast<double>(to_ticks(left)));
  switch (marks_.take(now, event, replica::mark_of(message.source, message.id), type->second, by)) {
    case replica::Taking::known:
      return core::AdmissionVerdict::duplicate;
    case replica::Taking::full:
      return core::AdmissionVerdict::unavailable;
    case replica::Taking::go:
      links_.tell_now();
      return core::AdmissionVerdict::tracked;
    case replica::Taking::wait:
      links_.tell_now();
      set_alarm();
      return core::AdmissionVerdict::pending;
  }
  return core::AdmissionVerdict::unavailable;
}

void SharedState::request_ended(const events::CloudEvent& message, core::ExecutionCertainty fate) {
  const replica::Stage stage = fate == core::ExecutionCertainty::not_executed ? replica::Stage::shed
                               : fate == core::ExecutionCertainty::executed   ? replica::Stage::honoured
                                                                              : replica::Stage::abandoned;
  marks_.ended(reactor_.now(), replica::mark_of(message.source, message.id), stage);
  links_.written();
}

void SharedState::set_alarm() {
  const Time next = marks_.next();
  if (next == 0 || by_.at == next) return;
  reactor_.cancel(by_);
  by_ = reactor_.at(next, [this] {
    by_ = {};
    marks_.pass(reactor_.now());
    set_alarm();
  });
}

void SharedState::may_go(std::int64_t event) { marked_(event, core::AdmissionVerdict::tracked); }
void SharedState::taken_elsewhere(std::int64_t event) { marked_(event, core::AdmissionVerdict::duplicate); }
void SharedState::not_held(std::int64_t event) { marked_(event, core::AdmissionVerdict::unavailable); }

std::string SharedState::standing() const {
  return "copies exchanged with " + std::to_string(links_.met().size()) + " of " +
         std::to_string(routers_ - 1) + ", words lacking " + std::to_string(links_.behind()) + ", marks " +
         std::to_string(copy_.size(replica::Kind::mark)) + (settled_ ? ", settled" : ", not settled yet");
}

// Told before the order leaves, so that it outlives this router wherever one that was told lives on.
bool SharedState::prepare_prewarm() {
  if (window_ <= 0) return true;
  const Time now = reactor_.now();
  const Time bucket = now / std::max<Time>(window_ / window_parts, 1);
  if (std::exchange(bucket_, bucket) != bucket) bucket_orders_ = 0;
  if (copy_.write(now, replica::Kind::ration, std::to_string(bucket), 0, ++bucket_orders_) == 0) return false;
  links_.tell_now();
  return true;
}

void SharedState::full(replica::Kind kind) {
  diary_.write(Level::warning, "what is held together is at its bound",
               {{"kind", std::to_string(static_cast<int>(kind))}});
}
void SharedState::copies_differed(const replica::StreamId& stream, const replica::Word& stands,
                                  const replica::Word& gone) {
  diary_.write(
      Level::error, "copies differed: the stricter stands",
      {{"kind", std::to_string(static_cast<int>(stream.kind))},
       {"router", std::to_string(stream.writer.router)},
       {"stands", stands.key + " " + std::to_string(stands.rank) + " " + std::to_string(stands.count)},
       {"gone", gone.key + " " + std::to_string(gone.rank) + " " + std::to_string(gone.count)}});
}
void SharedState::honoured_twice(const std::string& event, const replica::Writer& one,
                                 const replica::Writer& other) {
  diary_.write(Level::error, "an event was honoured twice",
               {{"event", event},
                {"router", std::to_string(one.router)},
                {"and router", std::to_string(other.router)}});
}
void SharedState::second_of_us(const replica::Writer& writer) {
  diary_.write(Level::error, "a second router of this number and life",
               {{"router", std::to_string(writer.router)}});
}

}  // namespace rushhill::router
