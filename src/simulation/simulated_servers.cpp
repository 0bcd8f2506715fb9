#include "simulation/simulated_servers.h"

#include <stdexcept>

namespace rushhill::simulation {
namespace {

constexpr double accepting_part = 0.6;  // of a drain's span, in which the server still accepts work

bool is_store_fault(FaultKind kind) {
  return kind == FaultKind::store_slow || kind == FaultKind::store_refuse;
}

}  // namespace

SimulatedServers::SimulatedServers(transport::Reactor& reactor, const Day& day, Record& record)
    : reactor_(reactor), day_(day), record_(record), store_(day.store),
      deduplication_(reactor), environment_{reactor_, day_, record_, store_, deduplication_} {
  std::uint64_t seed = day.seed;
  for (const ServerSpec& spec : day_.servers)
    servers_[spec.id] = std::make_unique<SimulatedServer>(
        environment_, spec, ++seed, [this](const SimulatedServer& server) { announce(server); });
}
SimulatedServers::~SimulatedServers() { close(); }

void SimulatedServers::close() {
  for (auto& [id, server] : servers_) server->stop_listening(ExchangeEnd::open_at_end);
  record_.flush();
}

transport::Address SimulatedServers::address(const std::string& server) const {
  return servers_.at(server)->address();
}

std::string SimulatedServers::entry(const std::string& server) const {
  return servers_.at(server)->discovery_entry();
}

void SimulatedServers::announce_to(const transport::Address& discovery) {
  discovery_ = std::make_unique<LineClient>(reactor_, discovery, [this] {
    for (const auto& [id, server] : servers_) announce(*server);
  });
}

void SimulatedServers::announce(const SimulatedServer& server) {
  if (discovery_ && discovery_->connected())
    discovery_->write("{\"announce\":" + server.discovery_entry() + "}");
}

void SimulatedServers::play(Time start) {
  for (const Fault& fault : day_.faults) {
    if (is_store_fault(fault.kind)) {
      schedule_store_fault(start, fault);
      continue;
    }
    for (const std::string& id : fault.servers) {
      const auto server = servers_.find(id);
      if (server == servers_.end()) throw std::invalid_argument("a trouble names the unknown server " + id);
      schedule_server_fault(start, fault, *server->second);
    }
  }
}

void SimulatedServers::schedule_store_fault(Time start, const Fault& fault) {
  const bool refuses = fault.kind == FaultKind::store_refuse;
  const double slowness = refuses ? 1 : fault.size;
  reactor_.at(start + fault.at, [this, slowness, refuses] { store_.set_fault(slowness, refuses); });
  reactor_.at(start + fault.at + fault.span, [this] { store_.set_fault(1, false); });
}

void SimulatedServers::schedule_server_fault(Time start, const Fault& fault, SimulatedServer& server) {
  const Time begin = start + fault.at;
  if (fault.kind == FaultKind::drain) {
    const Time accepting = static_cast<Time>(accepting_part * static_cast<double>(fault.span));
    reactor_.at(begin + accepting, [&server] { server.model().drain(true); });
  }
  reactor_.at(begin, [&server, fault] { server.begin_fault(fault.kind, fault.size); });
  reactor_.at(begin + fault.span, [&server, fault] { server.end_fault(fault.kind); });
}

}  // namespace rushhill::simulation
