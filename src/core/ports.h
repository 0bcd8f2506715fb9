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
struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::unanswered;
  CopyState copy_state = CopyState::unknown;
  int in_flight = 0;
  LoadReport report{};
  events::CloudEvent reply{};  // with AttemptOutcome::succeeded
};

// Told of the end of everything the carrier was asked for, once each and never from within the asking.
class UpstreamObserver {
 public:
  virtual ~UpstreamObserver() = default;
  // Its first bytes have left; the one call that may come from within the asking.
  virtual void attempt_started(RequestId) {}
  virtual void attempt_ended(RequestId event, int leg, AttemptResult result) = 0;
  virtual void probe_ended(const EndpointId& server, AttemptOutcome ending, const LoadReport& report) = 0;
  virtual void prewarm_ended(const EndpointId& server, const FunctionId& function, AttemptOutcome ending,
                             int copies) = 0;
};

struct AttemptCall {
  RequestId request = 0;
  int attempt_number = 0;
  const EndpointId& endpoint;
  Time time_left = 0;  // until the client gives up
  const events::CloudEvent& message;
};

// The way to the model servers.
class UpstreamTransport {
 public:
  virtual ~UpstreamTransport() = default;
  virtual void send(const AttemptCall& call) = 0;
  virtual void cancel(RequestId event, int leg) = 0;  // gives the shot up; nothing is told of it any more
  // The same, but only where no byte of it has left; false: it is out, and goes on.
  virtual bool cancel_unsent(RequestId event, int leg) = 0;
  // Shots and orders for the server of which no byte has left end as not sent.
  virtual void cancel_all_unsent(const EndpointId& server) = 0;
  virtual void probe(const EndpointId& server, Time limit) = 0;
  virtual void prewarm(const EndpointId& server, const FunctionId& function, int copies, Time limit) = 0;
  virtual void evict(const EndpointId& server, const FunctionId& function) = 0;
  virtual void close_idle(const EndpointId& server) = 0;
  // Where a server is reached from now on; an empty address: nowhere.
  virtual void set_address(const EndpointId& server, const std::string& address) = 0;
};

// A front's side of one event: exactly one of these, once.
class Client {
 public:
  virtual ~Client() = default;
  virtual void succeeded(RequestId event, events::CloudEvent reply) = 0;
  virtual void rejected(RequestId event, Time come_back) = 0;  // 0: no advice
  virtual void failed(RequestId event) = 0;
  // Instead of abandoned: it never ran here, but was taken before, here or by another router.
  virtual void duplicate(RequestId event) { failed(event); }
  // Besides, as often as it happens; not to be answered with a call of the gateway.
  virtual void attempt_started(RequestId) {}
};

class PeerMessenger {
 public:
  virtual ~PeerMessenger() = default;
  virtual void send(int router, const std::string& bytes) = 0;  // -1: all
};

// What a ledger says of an event before the module hears of it.
enum class AdmissionVerdict {
  untracked,   // go on; nothing is kept of it
  tracked,     // go on; its end is to be told
  pending,     // for Gateway::marked, which tells one of the others
  duplicate,   // it was taken before, here or elsewhere, and may have run
  unavailable  // to be shed: its mark cannot be held, or this router may have forgotten it
};
enum class ExecutionCertainty { not_executed, may_have_executed, executed };

// Where what must outlive this router is told to others before it acts on it.
class DeduplicationLog {
 public:
  virtual ~DeduplicationLog() = default;
  virtual bool prepare_prewarm() = 0;  // an order to load is about to leave; false: it must not
  virtual AdmissionVerdict admit(RequestId event, const std::string& traffic_type,
                                 const events::CloudEvent& message, Time left) = 0;
  virtual void request_ended(const events::CloudEvent& message,
                             ExecutionCertainty fate) = 0;  // of a marked one
};

class EndpointListSource {
 public:
  virtual ~EndpointListSource() = default;
  virtual void watch(bool on) = 0;
  virtual void resync() = 0;
};

struct EndpointListEntry {
  Endpoint endpoint{};
  std::string address{};  // in digits, with a port
};

enum class Level { debug, info, warning, error };

class EventLog {
 public:
  using Fields = std::initializer_list<std::pair<const char*, std::string>>;
  virtual ~EventLog() = default;
  virtual bool wants(Level level) const = 0;
  virtual void write(Level level, const char* what, Fields fields) = 0;
};

}  // namespace rushhill::core
