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
constexpr int window_parts = 16;          // buckets of a window; a word each
constexpr std::size_t own_words = 1'000;  // a kind; a window's buckets, many times over
constexpr std::size_t lives_kept = 20;    // of each router; more in one window are refused, and said

Time ration_life(Time window) { return window + window / 100 + drift; }

replica::Bounds bounds_of(const deployment::Program& program) {
  const auto routers = static_cast<std::size_t>(std::max(program.module.routers, 1));
  replica::Bounds bounds;
  bounds.life.fill(word_life);
  bounds.life[static_cast<std::size_t>(replica::Kind::ration)] = ration_life(program.module.load_window);
  bounds.own.fill(own_words);
  bounds.together.fill(own_words * routers);
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

SharedState::SharedState(transport::Reactor& reactor, const deployment::Program& program, std::uint64_t seed,
                         core::Diary& diary, RationKnown known)
    : reactor_(reactor), diary_(diary), window_(program.module.load_window), born_(reactor.now()),
      known_(std::move(known)),
      copy_({program.module.me, incarnation_of(seed, reactor.clock_ns())}, bounds_of(program), *this),
      links_(reactor,
             {.listen = program.replica.listen,
              .addresses = program.replica.addresses,
              .hello = {.deployment = program.replica.deployment,
                        .name = "router-" + std::to_string(program.module.me),
                        .writer = copy_.me()}},
             copy_, diary) {
  if (window_ > 0) alarm_ = reactor_.at(born_ + look_every, [this] { look(); });
}
SharedState::~SharedState() { reactor_.withdraw(alarm_); }

// Known once this copy has caught up with all that it asks; where nobody is there, once whatever an earlier
// life ordered counts no more.
void SharedState::look() {
  const Time now = reactor_.now();
  const bool lapsed = now - born_ >= ration_life(window_);
  if (!lapsed && !links_.caught_up()) {
    alarm_ = reactor_.at(now + look_every, [this] { look(); });
    return;
  }
  const std::uint64_t orders = lapsed ? 0 : copy_.written_before(replica::Kind::ration);
  diary_.line(Level::info, "ration known",
              {{"orders of earlier lives", std::to_string(orders)}, {"nobody there", lapsed ? "yes" : "no"}});
  known_(static_cast<double>(orders));
}

// Told before the order leaves, so that it outlives this router wherever one that was told lives on.
bool SharedState::ordering() {
  if (window_ <= 0) return true;
  const Time now = reactor_.now();
  const Time bucket = now / std::max<Time>(window_ / window_parts, 1);
  if (std::exchange(bucket_, bucket) != bucket) bucket_orders_ = 0;
  if (copy_.write(now, replica::Kind::ration, std::to_string(bucket), 0, ++bucket_orders_) == 0) return false;
  links_.tell_now();
  return true;
}

void SharedState::full(replica::Kind kind) {
  diary_.line(Level::warning, "what is held together is at its bound",
              {{"kind", std::to_string(static_cast<int>(kind))}});
}
void SharedState::copies_differed(const replica::StreamId& stream, const replica::Word& stands,
                                  const replica::Word& gone) {
  diary_.line(
      Level::error, "copies differed: the stricter stands",
      {{"kind", std::to_string(static_cast<int>(stream.kind))},
       {"router", std::to_string(stream.writer.router)},
       {"stands", stands.key + " " + std::to_string(stands.rank) + " " + std::to_string(stands.count)},
       {"gone", gone.key + " " + std::to_string(gone.rank) + " " + std::to_string(gone.count)}});
}
void SharedState::second_of_us(const replica::Writer& writer) {
  diary_.line(Level::error, "a second router of this number and life",
              {{"router", std::to_string(writer.router)}});
}

}  // namespace rushhill::router
