// The core: one router's requests and decisions, free of sockets; time comes from the Clockwork. Its parts,
// each in a file of its own, do the work: request_lifecycle, attempt_execution, server_call_execution.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/attempt_execution.h"
#include "core/clockwork.h"
#include "core/decision_module.h"
#include "core/deferred_calls.h"
#include "core/ports.h"
#include "core/request_lifecycle.h"
#include "core/request_table.h"
#include "core/server_addresses.h"
#include "core/server_call_execution.h"
#include "core/source_room.h"
#include "core/tally.h"
#include "decide.h"

namespace rushhill::core {

// Joins the decision module to the front ends and to the ports: takes each happening to the part that handles
// it, and each decision to the part that carries it out. Every request gets exactly one final answer.
class Gateway final : public Host, public Carried {
 public:
  struct Ports {
    Clockwork& clock;
    Carrier& carrier;
    Peers& peers;
    RosterSource& roster;
    Diary& diary;
    Ledger* ledger = nullptr;  // none: nothing outlives this router
  };
  Gateway(const Deployment& deployment, std::uint64_t seed, const Ports& ports);

  // A front end, or a part of one, that hands over requests; its weight beside the others' when there is not
  // room for all; `waits`: what it does not hand over now waits outside and is not lost.
  admission::Shares::Source add_source(double weight, bool waits = false) { return room_.add(weight, waits); }
  bool has_room(admission::Shares::Source source) { return room_.has_room(to_.clock.now(), source); }
  Effect effect_of(const std::string& traffic_type) const;

  // Accepts a request whose function, type and times the front end has read; `told.id` is set here. Nothing:
  // the source has no room. The answer never comes before this returns.
  std::optional<EventId> take(admission::Shares::Source source, Client& client, Event told,
                              events::CloudEvent message);
  // The client has left. `unread`: attempts that started for its request while something stood unread of
  // which this is a part.
  void client_gone(EventId event, std::uint64_t unread = 0);

  // A message from the server list: servers and the addresses at which they are reached.
  void roster(RosterForm form, const std::vector<RosterEntry>& entries);
  // A message from another router.
  void peer_told(int router, const std::string& bytes);
  // The ledger's verdict on a request that waited for it; from no call of this gateway's.
  void marked(EventId event, Taking how);
  // What earlier lives ordered, where the deployment says that it is told.
  void ration_known(double orders);

  // Requests accepted that have no final answer.
  std::size_t open() const { return room_.open(); }
  // Whether a client still waits for its final answer, or for one that has been decided and not handed over.
  bool owes() const { return requests_.any_client_waits(); }
  // Answers every open request now, as at its deadline: for a router that must end.
  void end_all();
  const Tally& tally() const { return tally_; }
  // Time spent within the decision module, in nanoseconds.
  std::int64_t module_ns() const { return decisions_.spent_ns(); }
  const Deployment& deployment() const { return deployment_; }

  // Carried
  void attempt_started(EventId event) override;
  void shot_ended(EventId event, int leg, ShotResult result) override;
  void probe_ended(const ServerId& server, Ending ending, const LoadReport& report) override;
  void order_ended(const ServerId& server, const FunctionId& function, Ending ending, int copies) override;

 private:
  // Host
  void shoot(EventId event, const ServerId& server, Time time_out) override;
  void call_off(EventId event, int leg) override;
  void shed(EventId event, Time come_back) override;
  void abandon(EventId event) override;
  void wake(std::int64_t token, Time at) override;
  void probe(const ServerId& server) override;
  void close_idle(const ServerId& server) override;
  void order(const ServerId& server, const FunctionId& function, int copies) override;
  void unload(const ServerId& server, const FunctionId& function) override;
  void tell(int router, const std::string& bytes) override;
  void follow(bool on) override;
  void reload() override;
  void log(const std::string& line) override;

  Deployment deployment_;
  Ports to_;
  Tally tally_;
  DeferredCalls deferred_;
  DecisionModule decisions_;
  RequestTable requests_;
  ServerAddresses addresses_;
  SourceRoom room_;
  AttemptExecution attempts_;
  ServerCallExecution server_calls_;
  RequestLifecycle lifecycle_;
};

}  // namespace rushhill::core
