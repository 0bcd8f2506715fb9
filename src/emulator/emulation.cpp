#include "emulator/emulation.h"

#include <algorithm>
#include <stdexcept>

#include "deployment/deployment_file.h"
#include "simulation/day_deployment.h"
#include "transport/reactor.h"

namespace rushhill::emulator {
namespace {

constexpr Time latency = 1;         // tenths of a millisecond one way, about loopback's
constexpr Time announcing = 2'000;  // tenths of a millisecond in which the servers announce themselves
constexpr Time lead = 3'000;        // from all routers being up to the day's start
constexpr Time grace = 300'000;     // beyond the day's length, before it is called off
const char* const any_port = "127.0.0.1:0";

void add(core::Counters& sum, const core::Counters& one) {
  sum.accepted += one.accepted;
  sum.succeeded += one.succeeded;
  sum.rejected += one.rejected;
  sum.failed += one.failed;
  sum.cancelled += one.cancelled;
  sum.not_accepted += one.not_accepted;
  sum.expired += one.expired;
  sum.attempts += one.attempts;
  sum.probes += one.probes;
  sum.prewarms += one.prewarms;
  sum.evictions += one.evictions;
  sum.gossip_messages += one.gossip_messages;
}

}  // namespace

Emulation::Emulation(const simulation::Day& day, simulation::Record& record)
    : day_(day), record_(record), network_(latency),
      roster_(network_, transport::numeric_address(any_port), day, record), fleet_(network_, day, record),
      seats_(static_cast<std::size_t>(day.routers)) {
  for (Seat& seat : seats_) {
    seat.http = network_.reserve(transport::numeric_address(any_port));
    seat.peers = network_.reserve(transport::numeric_address(any_port));
    seat.replica = network_.reserve(transport::numeric_address(any_port));
  }
}
Emulation::~Emulation() = default;

void Emulation::start(std::size_t number) {
  Seat& seat = seats_[number];
  seat.due = false;
  std::vector<std::string> peers, replicas;
  for (const Seat& other : seats_) {
    peers.push_back(other.peers->address().toString());
  }
  for (std::size_t other = 0; day_.together && other < seats_.size(); ++other) {
    const bool linked = links_ != nullptr && other != number;
    replicas.push_back((linked ? links_->address(static_cast<int>(number), static_cast<int>(other))
                               : seats_[other].replica->address())
                           .toString());
  }
  const std::string text = simulation::deployment_of(day_, static_cast<int>(number),
                                                     {.listen = seat.http->address().toString(),
                                                      .discovery = roster_.address().toString(),
                                                      .peer_listen = seat.peers->address().toString(),
                                                      .peers = peers,
                                                      .replicas = replicas});
  const deployment::DeploymentConfiguration configuration =
      deployment::read_text("router-" + std::to_string(number) + ".ini", text);
  const std::uint64_t seed = day_.seed * 1'000'003 + number * 1'009 + ++seat.lives;
  seat.router = std::make_unique<router::RouterProcess>(network_, configuration, seed, quiet_);
}

void Emulation::stop(std::size_t number) {
  if (!seats_[number].router) return;
  seats_[number].router->start_draining([this, number] { network_.post([this, number] { leave(number); }); });
}

void Emulation::leave(std::size_t number) {
  auto& router = seats_[number].router;
  if (!router) return;
  add(spent_.tally, router->gateway().tally());
  spent_.module_seconds += static_cast<double>(router->gateway().policy_time_ns()) / 1e9;
  router.reset();
  if (seats_[number].due && !over_) start(number);
}

void Emulation::play(Time start_at) {
  roster_.play(start_at);
  if (links_) links_->play(start_at);
  fleet_.play(start_at);
  for (const simulation::Fault& fault : day_.faults) {
    const bool killed = fault.kind == simulation::FaultKind::router_kill;
    if (!killed && fault.kind != simulation::FaultKind::router_restart) continue;
    const auto number = static_cast<std::size_t>(fault.router);
    if (number >= seats_.size()) throw std::invalid_argument("a trouble names an unknown router");
    network_.at(start_at + fault.at, [this, number, killed] {
      seats_[number].since = network_.clock_ns();
      if (killed) leave(number);
      if (!killed) stop(number);
    });
    // Where it is not through by then, it starts as soon as it is.
    network_.at(start_at + fault.at + fault.span, [this, number, kind = fault.kind] {
      seats_[number].due = true;
      if (!seats_[number].router) start(number);
      record_.line({{"what", "router"},
                    {"router", number},
                    {"kind", simulation::name_of(kind)},
                    {"from", seats_[number].since},
                    {"to", network_.clock_ns()}});
    });
  }
}

Spent Emulation::run() {
  const std::int64_t began = transport::monotonic_ns();
  fleet_.announce_to(roster_.address());
  network_.run_until(network_.now() + announcing);
  std::vector<transport::Address> copies;
  for (const Seat& seat : seats_) copies.push_back(seat.replica->address());
  const bool links = std::ranges::any_of(
      day_.faults, [](const auto& fault) { return simulation::is_link_fault(fault.kind); });
  if (day_.together && links) links_ = std::make_unique<simulation::Links>(network_, day_, copies);
  for (std::size_t i = 0; i < seats_.size(); ++i) start(i);
  std::vector<transport::Address> addresses;
  for (const Seat& seat : seats_) addresses.push_back(seat.http->address());
  const Time start_at = network_.now() + lead;
  clients_ = std::make_unique<simulation::Clients>(network_, day_, addresses, record_, [this] {
    over_ = true;
    network_.halt();
  });
  clients_->play(start_at);
  play(start_at);
  network_.run_until(start_at + day_.span() + grace);
  if (!over_) throw std::runtime_error("the emulated clients did not come to an end");
  for (std::size_t i = 0; i < seats_.size(); ++i) leave(i);
  fleet_.close();
  record_.flush();
  spent_.virtual_seconds = static_cast<double>(network_.now()) / 1e4;
  spent_.real_seconds = static_cast<double>(transport::monotonic_ns() - began) / 1e9;
  spent_.happenings = network_.happenings();
  return spent_;
}

}  // namespace rushhill::emulator
