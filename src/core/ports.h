// What the core is handed at its start besides the clock: who carries its shots, who answers its clients, who
// reaches its peers, who follows the roster and who keeps its diary. No socket is seen from here.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decide.h"
#include "events/cloudevent.h"

namespace rushhill::core {

// How one shot ended, as far as the carrier can know.
struct ShotResult {
  Ending ending = Ending::no_answer;
  Warmth warmth = Warmth::untold;
  int crowd = 0;
  LoadReport report{};
  events::CloudEvent reply{};  // with Ending::honoured
};

// Told of the end of everything the carrier was asked for, once each and never from within the asking.
class Carried {
 public:
  virtual ~Carried() = default;
  // Its first bytes have left; the one call that may come from within the asking.
  virtual void attempt_started(EventId) {}
  virtual void shot_ended(EventId event, int leg, ShotResult result) = 0;
  virtual void probe_ended(const ServerId& server, Ending ending, const LoadReport& report) = 0;
  virtual void order_ended(const ServerId& server, const FunctionId& function, Ending ending, int copies) = 0;
};

struct ShotCall {
  EventId event = 0;
  int leg = 0;
  const ServerId& server;
  Time left = 0;  // until the client gives up
  const events::CloudEvent& message;
};

// The way to the model servers.
class Carrier {
 public:
  virtual ~Carrier() = default;
  virtual void shoot(const ShotCall& call) = 0;
  virtual void drop(EventId event, int leg) = 0;  // gives the shot up; nothing is told of it any more
  // The same, but only where no byte of it has left; false: it is out, and goes on.
  virtual bool recall(EventId event, int leg) = 0;
  // Shots and orders for the server of which no byte has left end as not sent.
  virtual void recall_all(const ServerId& server) = 0;
  virtual void probe(const ServerId& server, Time limit) = 0;
  virtual void order(const ServerId& server, const FunctionId& function, int copies, Time limit) = 0;
  virtual void unload(const ServerId& server, const FunctionId& function) = 0;
  virtual void close_idle(const ServerId& server) = 0;
  // Where a server is reached from now on; an empty address: nowhere.
  virtual void reach(const ServerId& server, const std::string& address) = 0;
};

// A front's side of one event: exactly one of these, once.
class Client {
 public:
  virtual ~Client() = default;
  virtual void honoured(EventId event, events::CloudEvent reply) = 0;
  virtual void shed(EventId event, Time come_back) = 0;  // 0: no advice
  virtual void abandoned(EventId event) = 0;
  // Instead of abandoned: it never ran here, but was taken before, here or by another router.
  virtual void known(EventId event) { abandoned(event); }
  // Besides, as often as it happens; not to be answered with a call of the gateway.
  virtual void attempt_started(EventId) {}
};

class Peers {
 public:
  virtual ~Peers() = default;
  virtual void tell(int router, const std::string& bytes) = 0;  // -1: all
};

// What a ledger says of an event before the module hears of it.
enum class Taking {
  unmarked,  // go on; nothing is kept of it
  marked,    // go on; its end is to be told
  wait,      // for Gateway::marked, which tells one of the others
  known,     // it was taken before, here or elsewhere, and may have run
  not_now    // to be shed: its mark cannot be held, or this router may have forgotten it
};
enum class Fate { unrun, may_have_run, honoured };

// Where what must outlive this router is told to others before it acts on it.
class Ledger {
 public:
  virtual ~Ledger() = default;
  virtual bool ordering() = 0;  // an order to load is about to leave; false: it must not
  virtual Taking taking(EventId event, const std::string& traffic_type, const events::CloudEvent& message,
                        Time left) = 0;
  virtual void ended(const events::CloudEvent& message, Fate fate) = 0;  // of a marked one
};

class RosterSource {
 public:
  virtual ~RosterSource() = default;
  virtual void follow(bool on) = 0;
  virtual void reload() = 0;
};

struct RosterEntry {
  ModelServer server{};
  std::string address{};  // in digits, with a port
};

enum class Level { debug, info, warning, error };

class Diary {
 public:
  using Fields = std::initializer_list<std::pair<const char*, std::string>>;
  virtual ~Diary() = default;
  virtual bool wants(Level level) const = 0;
  virtual void line(Level level, const char* what, Fields fields) = 0;
};

}  // namespace rushhill::core
