// One simulated server: its model, its port and connections, and the faults that are active at it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "simulation/day.h"
#include "simulation/exchange_record.h"
#include "simulation/group_deduplication.h"
#include "simulation/record.h"
#include "simulation/server_model.h"
#include "transport/listener.h"
#include "transport/numbered.h"
#include "transport/reactor.h"

namespace rushhill::simulation {

class ServerConnection;

// What all servers of a day share.
struct ServerEnvironment {
  transport::Reactor& reactor;
  const Day& day;
  Record& record;
  ModelStore& store;
  GroupDeduplication& deduplication;
};

// Listens on a port of its own, but while it is gone or refuses connections.
class SimulatedServer {
 public:
  // `condition_changed` is called when service discovery is to be notified.
  SimulatedServer(ServerEnvironment& environment, const ServerSpec& spec, std::uint64_t seed,
                  std::function<void(const SimulatedServer&)> condition_changed);
  SimulatedServer(const SimulatedServer&) = delete;
  SimulatedServer& operator=(const SimulatedServer&) = delete;
  SimulatedServer(SimulatedServer&&) = delete;
  SimulatedServer& operator=(SimulatedServer&&) = delete;
  ~SimulatedServer();

  const std::string& id() const { return model_.spec().id; }
  ServerModel& model() { return model_; }
  transport::Address address() const { return port_->address(); }
  // Its entry in the endpoint list as it is now: a JSON object.
  std::string discovery_entry() const;

  bool has_fault(FaultKind kind) const { return active_faults_.contains(kind); }
  void begin_fault(FaultKind kind, double size);
  void end_fault(FaultKind kind);

  // Accepts no further connection and ends those that are open.
  void stop_listening(ExchangeEnd end);
  // Takes an ended connection from the list; it lives until what runs now has returned.
  void release(ServerConnection& connection);

 private:
  // As service discovery reports it.
  enum class Condition : std::uint8_t { active, draining, gone };

  static const char* name_of(Condition condition);
  void listen();
  void restart();
  void crash();
  void leave();
  void change_condition(Condition condition);
  void record_start();
  void record_fault(FaultKind kind, bool begins);

  ServerEnvironment& environment_;
  std::function<void(const SimulatedServer&)> condition_changed_;
  std::unique_ptr<transport::BoundSocket> port_;  // keeps the address while nobody listens
  ServerModel model_;
  std::unique_ptr<transport::Listener> listener_;
  std::map<ServerConnection*, std::shared_ptr<ServerConnection>, transport::ByNumber> connections_;
  std::map<FaultKind, int> active_faults_;  // and how many of each
  Condition condition_ = Condition::active;
  double started_ms_ = 0;  // Unix time; 0: long ago
};

}  // namespace rushhill::simulation
