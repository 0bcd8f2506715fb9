// The interface of the decision module: what a router tells it and what it may ask of the router.
// Plain types only; every decision is in decide.cpp.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rushhill {

using Time = std::int64_t;  // whole tenths of a millisecond; also used for spans
using RequestId = std::int64_t;
using EndpointId = std::string;
using FunctionId = std::string;

enum class RetrySafety { idempotent, keyed, at_most_once };
enum class DeduplicationScope { everywhere, location, cell };

struct RequestClass {
  std::string name{};
  Time latency_objective = 0;  // an answer is wanted within this span
  Time deadline_span = 0;      // the client gives up after this span
  double priority_weight = 1;
  double late_value_share = 0;  // part of the importance earned between due time and hard limit
  RetrySafety retry_safety = RetrySafety::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::everywhere;
  Time deduplication_span = 0;
  bool stream = false;
  double latency_objective_stretch =
      0;  // the due time grows by this multiple of the event's own work, up to the hard limit
};

struct Tenant {
  std::string name{};
  double share = 0;
  double quota_per_s = 0;  // events a second over all routers, within the share
};

// What a router is told at its start.
struct RoutingConfiguration {
  int router_number = 0;
  int routers = 1;
  std::string location{};
  Time tick = 0;  // batches arrive no more often than this
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  double over_share_worth = 1;
  // The five rules.
  Time answer_grace = 0;
  Time drain_grace = 0;
  Time ask_every = 0;
  double fall_multiple = 1;
  Time fall_span = 0;
  double cold_share = 1;
  Time cold_span = 0;
  // Permissions.
  int attempt_limit = 1;
  int open_cap = 0;
  bool cancel = false;
  bool second_copies = false;
  bool probing = false;
  bool peers = false;
  bool retry_advice = false;
  Time longest_retry_advice = 0;
  Time connect_limit = 0;
  // Functions and their copies.
  bool orders = false;        // holds and unloading may be ordered
  bool miss_answers = false;  // a server that lacks the function answers so and does not load it
  bool tells_warm = false;
  bool tells_crowd = false;
  Time keep_alive = 0;
  Time order_limit = 0;
  Time load_window = 0;  // 0: orders are not rationed
  double load_free = 0;
  double loads_per_event = 0;
  bool ration_told = false;  // what earlier lives ordered is told after the start; until then nothing is
  double memory_price = 0;
  std::map<std::string, double> kind_memory_mb;
  std::map<std::string, double> prices;  // points off the result, by the wire's name
  bool roster_on_request = false;
  // Facts that no decision needs yet.
  std::vector<std::string> locations;
  std::vector<std::string> stages;
  int stage = 0;
  bool clients_mark_repeats = false;
  bool importance_by_work = false;
  std::string rating_kind{};
  std::string reports{};  // how load reports come
  std::vector<std::string> report_names;
  std::map<std::string, double> result_mix;
  int shots_a_connection = 1;
  Time connection_idle = 0;
  Time cpu_per_event = 0;   // microseconds; 0: no limit
  Time cpu_per_second = 0;  // microseconds
};

enum class EndpointState { active, draining, removed };

struct Endpoint {
  EndpointId id{};
  Time started = 0;  // 0: long ago
  double rating = 1;
  std::string kind{};
  std::string location{};
  int cell = 0;
  EndpointState state = EndpointState::active;
};

enum class EndpointListForm { delta, snapshot, cached, failed };

struct RoutingRequest {
  RequestId id = 0;
  std::string request_class{};
  std::string tenant{};
  FunctionId function{};
  Time time_left = 0;  // until the client gives up
  double memory_mb = 0;
  double lanes = 1;
  Time load_time = 0;   // 0: not told
  Time work = 0;        // anticipated, on a standard core; 0: not told
  bool repeat = false;  // a client's further try, where clients mark it
  bool write = false;
};

enum class AttemptOutcome {
  succeeded,
  error,
  overloaded,
  unanswered,
  connect_failed,
  connection_lost,
  cancelled,
  not_sent,
  function_missing
};

enum class CopyState { unknown, loaded, load_started, load_awaited, load_failed };

using LoadReport = std::map<std::string, double>;

struct AttemptEnd {
  RequestId request = 0;
  int attempt_number = 0;  // number of the shot within its event
  EndpointId endpoint{};
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  bool final = false;  // the event has its final answer
  Time taken = 0;
  CopyState copy_state = CopyState::unknown;
  int in_flight = 0;  // events of the same function the server held
  LoadReport report{};
};

struct ProbeEnd {
  EndpointId endpoint{};
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  Time taken = 0;
  LoadReport report{};
};

struct PrewarmEnd {
  EndpointId endpoint{};
  FunctionId function{};
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  Time taken = 0;
  int copies = 0;
};

// What the module asks of the router that hosts it; each call acts at once.
class RoutingHost {
 public:
  RoutingHost() = default;
  RoutingHost(const RoutingHost&) = delete;
  RoutingHost& operator=(const RoutingHost&) = delete;
  virtual ~RoutingHost() = default;

  virtual void send_attempt(RequestId event, const EndpointId& server,
                            Time time_out) = 0;  // 0: until the client gives up
  virtual void cancel_attempt(RequestId event, int leg) = 0;
  virtual void reject(RequestId event, Time come_back) = 0;  // 0: no advice
  virtual void fail(RequestId event) = 0;
  virtual void set_timer(std::int64_t token, Time at) = 0;
  virtual void probe(const EndpointId& server) = 0;
  virtual void close_idle(const EndpointId& server) = 0;
  virtual void prewarm(const EndpointId& server, const FunctionId& function, int copies) = 0;
  virtual void evict(const EndpointId& server, const FunctionId& function) = 0;
  virtual void send_gossip(int router, const std::string& bytes) = 0;  // -1: every peer
  virtual void watch_endpoints(bool on) = 0;
  virtual void resync_endpoints() = 0;
  virtual void log(const std::string& line) = 0;
};

// One router's decisions: a method for each thing that can happen, told with the clock's reading.
class RoutingPolicy {
 public:
  RoutingPolicy() = default;
  RoutingPolicy(const RoutingPolicy&) = delete;
  RoutingPolicy& operator=(const RoutingPolicy&) = delete;
  virtual ~RoutingPolicy() = default;

  virtual void endpoints_updated(Time now, EndpointListForm form, const std::vector<Endpoint>& servers) = 0;
  virtual void request_received(Time now, const RoutingRequest& event) = 0;
  virtual void response_started(Time now, RequestId event, int leg) = 0;
  virtual void attempt_ended(Time now, const AttemptEnd& end) = 0;
  virtual void client_cancelled(Time now, RequestId event) = 0;
  virtual void timer_fired(Time now, std::int64_t token) = 0;
  virtual void probe_ended(Time now, const ProbeEnd& end) = 0;
  virtual void prewarm_ended(Time now, const PrewarmEnd& end) = 0;
  virtual void gossip_received(Time now, int router, const std::string& bytes) = 0;
  // Orders that this router gave before it was started again and that still count: nothing else is missing.
  virtual void load_budget_restored(Time now, double orders) = 0;
};

std::unique_ptr<RoutingPolicy> make_routing_policy(const RoutingConfiguration& deployment, std::uint64_t seed,
                                                   RoutingHost& host);

}  // namespace rushhill
