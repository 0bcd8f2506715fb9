// The core: holds one module instance, takes events from fronts, carries out what the module decides through
// the ports, and gives every event its one final answer. Free of sockets; time comes from the Clockwork.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clockwork.h"
#include "core/decision_module.h"
#include "core/deferred_calls.h"
#include "core/ports.h"
#include "core/server_addresses.h"
#include "core/server_call_execution.h"
#include "core/source_room.h"
#include "core/tally.h"
#include "decide.h"

namespace rushhill::core {

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
  ~Gateway() override;

  // A front, or a part of one, that takes events; its weight beside the others' when there is not room for
  // all; `waits`: what it does not take now waits outside and is not lost.
  admission::Shares::Source add_source(double weight, bool waits = false) { return room_.add(weight, waits); }
  bool has_room(admission::Shares::Source source) { return room_.has_room(to_.clock.now(), source); }
  Effect effect_of(const std::string& traffic_type) const;

  // An event whose function, type and times the front has read; `told.id` and, where 0, `told.left` are set
  // here. Nothing: the source has no room. The answer never comes before this returns.
  std::optional<EventId> take(admission::Shares::Source source, Client& client, Event told,
                              events::CloudEvent message);
  // `unread`: attempts that started for it while something stood unread of which this is a part.
  void client_gone(EventId event, std::uint64_t unread = 0);

  void roster(RosterForm form, const std::vector<RosterEntry>& entries);
  void peer_told(int router, const std::string& bytes);
  // What the ledger had an event wait for; from no call of this gateway's.
  void marked(EventId event, Taking how);
  // What earlier lives ordered, where the deployment says that it is told.
  void ration_known(double orders);

  std::size_t open() const { return room_.open(); }
  // Whether a client still waits for its final answer, or for one that has been decided and not handed over.
  bool owes() const;
  // Answers every open event now, as at its hard limit: for a router that must end.
  void end_all();
  const Tally& tally() const { return tally_; }
  std::int64_t module_ns() const { return decisions_.spent_ns(); }
  const Deployment& deployment() const { return deployment_; }

  // Carried
  void attempt_started(EventId event) override;
  void shot_ended(EventId event, int leg, ShotResult result) override;
  void probe_ended(const ServerId& server, Ending ending, const LoadReport& report) override;
  void order_ended(const ServerId& server, const FunctionId& function, Ending ending, int copies) override;

 private:
  struct Attempt {
    ServerId server;
    Time started = 0;
    bool open = true;
    Alarm timeout_timer{};
  };
  struct Request {
    admission::Shares::Source source = 0;
    Client* client = nullptr;  // none: it has been handed its final answer, or its client has gone
    bool concluded = false;
    bool recorded = false;                 // the ledger is to hear how it ends
    std::optional<Event> awaiting_record;  // for its mark; the module has not heard of it
    events::CloudEvent message;
    Time accepted = 0;
    Time deadline = 0;
    Alarm deadline_timer;
    std::vector<Attempt> attempts;
    int deferred_calls = 0;  // what is put off until the present call returns: ends of shots, the answer
  };

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

  using End = SourceRoom::End;
  void conclude(EventId event, Request& request, End end, Fate fate);
  static Fate fate_without_reply(const Request& request) {
    return request.attempts.empty() ? Fate::unrun : Fate::may_have_run;
  }
  void apply_verdict(EventId event, Request& request, Event told, Taking how);
  void answer_soon(EventId event, std::function<void(Client&)> answer);
  void expire(EventId event);
  void cancel_attempt(EventId event, int leg, Ending ending);
  void close_attempt(EventId event, Request& request, int leg, Ending ending);
  void report_end(EventId event, int leg, const ShotResult& result);
  void erase_if_over(EventId event);

  Deployment deployment_;
  Ports to_;
  Tally tally_;
  DeferredCalls deferred_;
  DecisionModule decisions_;
  ServerCallExecution server_calls_;
  std::unordered_map<EventId, Request> requests_;
  ServerAddresses addresses_;
  EventId next_id_ = 1;
  SourceRoom room_;
};

}  // namespace rushhill::core
