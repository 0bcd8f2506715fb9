#include "simulation/simulated_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "simulation/server_connection.h"

namespace rushhill::simulation {
namespace {

using Json = nlohmann::json;

constexpr const char* loopback = "127.0.0.1:0";
constexpr Time back_after_drain = 10'000;  // tenths of a millisecond from gone to back
constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;

}  // namespace

SimulatedServer::SimulatedServer(ServerEnvironment& environment, const ServerSpec& spec, std::uint64_t seed,
                                 std::function<void(const SimulatedServer&)> condition_changed)
    : environment_(environment), condition_changed_(std::move(condition_changed)),
      port_(environment.reactor.reserve(transport::numeric_address(loopback))),
      model_(spec, environment.day.rules,
             {.missing_answers = environment.day.missing_answers,
              .seed = seed,
              .mean_work = environment.day.mean_work()},
             environment.store, environment.reactor) {
  model_.start(false);
  listen();
  record_start();
}
SimulatedServer::~SimulatedServer() = default;

const char* SimulatedServer::name_of(Condition condition) {
  switch (condition) {
    case Condition::active:
      return "active";
    case Condition::draining:
      return "draining";
    case Condition::gone:
      return "gone";
  }
  return "";
}

std::string SimulatedServer::discovery_entry() const {
  const ServerSpec& spec = model_.spec();
  Json entry{{"id", spec.id},
             {"address", address().toString()},
             {"condition", name_of(condition_)},
             {"rating", spec.cores * spec.speed},
             {"kind", spec.kind},
             {"location", spec.location},
             {"cell", spec.cell}};
  if (started_ms_ > 0) entry["started_ms"] = started_ms_;
  return entry.dump();
}

void SimulatedServer::begin_fault(FaultKind kind, double size) {
  record_fault(kind, true);
  ++active_faults_[kind];
  switch (kind) {
    case FaultKind::slow:
      return model_.slow_down(size);
    case FaultKind::refuse:
      return stop_listening(ExchangeEnd::closed_by_server);
    case FaultKind::crash:
      return crash();
    case FaultKind::drain:
      return change_condition(Condition::draining);
    default:
      return;  // connections look at the active faults
  }
}

void SimulatedServer::end_fault(FaultKind kind) {
  record_fault(kind, false);
  if (--active_faults_[kind] <= 0) active_faults_.erase(kind);
  switch (kind) {
    case FaultKind::slow:
      return model_.slow_down(1);
    case FaultKind::refuse:
      return listen();
    case FaultKind::crash:
      return restart();
    case FaultKind::drain:
      return leave();
    case FaultKind::silence:
    case FaultKind::mute_head:
    case FaultKind::mute_half:
      // A request that hangs is never answered: its connection ends with the fault.
      stop_listening(ExchangeEnd::closed_by_server);
      return listen();
    default:
      return;
  }
}

void SimulatedServer::listen() {
  if (listener_) return;
  listener_ = std::make_unique<transport::Listener>(
      environment_.reactor, address(), true, [this](const transport::PendingConnection& pending) {
        const auto connection = std::make_shared<ServerConnection>(*this, environment_, pending);
        connections_.emplace(connection.get(), connection);
      });
}

void SimulatedServer::stop_listening(ExchangeEnd end) {
  listener_.reset();
  while (!connections_.empty()) {
    const auto connection = connections_.begin()->second;
    connection->close(end);
  }
}

void SimulatedServer::release(ServerConnection& connection) {
  const auto it = connections_.find(&connection);
  environment_.reactor.post([released = it->second] {});
  connections_.erase(it);
}

void SimulatedServer::crash() {
  condition_ = Condition::gone;
  stop_listening(ExchangeEnd::server_crashed);
  model_.stop();
  condition_changed_(*this);
}

// The end of a drain.
void SimulatedServer::leave() {
  change_condition(Condition::gone);
  stop_listening(ExchangeEnd::closed_by_server);
  model_.stop();
  environment_.reactor.at(environment_.reactor.now() + back_after_drain, [this] { restart(); });
}

void SimulatedServer::restart() {
  condition_ = Condition::active;
  started_ms_ = static_cast<double>(environment_.reactor.unix_ns() / nanoseconds_per_millisecond);
  model_.start(true);
  record_start();
  listen();
  condition_changed_(*this);
}

void SimulatedServer::change_condition(Condition condition) {
  condition_ = condition;
  condition_changed_(*this);
}

void SimulatedServer::record_start() {
  const ServerSpec& spec = model_.spec();
  environment_.record.line({{"what", "started"},
                            {"server", spec.id},
                            {"at", environment_.reactor.clock_ns()},
                            {"cold", started_ms_ > 0},
                            {"cores", spec.cores},
                            {"speed", spec.speed},
                            {"location", spec.location},
                            {"cell", spec.cell}});
}

void SimulatedServer::record_fault(FaultKind kind, bool begins) {
  environment_.record.line({{"what", "trouble"},
                            {"kind", simulation::name_of(kind)},
                            {"server", id()},
                            {"begins", begins},
                            {"at", environment_.reactor.clock_ns()}});
}

}  // namespace rushhill::simulation
