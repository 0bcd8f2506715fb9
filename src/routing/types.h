// The values that a router and its routing policy exchange: requests, endpoints, and how attempts, health
// checks and prewarm orders ended. Plain data without behaviour.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "routing/time.h"

namespace rushhill {

using RequestId = std::int64_t;
using EndpointId = std::string;
using FunctionId = std::string;

// What a further attempt of a request may do.
enum class RetrySafety : std::uint8_t {
  idempotent,   // may run any number of times
  keyed,        // carries an idempotency key, which endpoints of its scope remember for a span
  at_most_once  // must not be sent again once it may have run
};

// Which endpoints share what they remember of idempotency keys.
enum class DeduplicationScope : std::uint8_t { everywhere, location, cell };

// A class of requests; all requests of a class want the same of the service.
struct RequestClass {
  std::string name{};
  Duration latency_objective{};  // an answer is wanted within this span
  Duration deadline_span{};      // the client gives up after this span
  double priority_weight = 1;
  double late_value_share = 0;  // part of the weight earned between the objective and the deadline
  RetrySafety retry_safety = RetrySafety::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::everywhere;
  Duration deduplication_span{};  // how long endpoints remember an idempotency key
  bool stream = false;            // answers may be streams
  // The objective grows by this multiple of the request's own work, up to the deadline.
  double latency_objective_stretch = 0;
};

// Whose requests they are, and what they may take.
struct Tenant {
  std::string name{};
  double share = 0;        // of all requests, from 0 to 1
  double quota_per_s = 0;  // requests a second over all routers, within the share
};

// What service discovery says of an endpoint.
enum class EndpointState : std::uint8_t { active, draining, removed };

// A model server that runs functions.
struct Endpoint {
  EndpointId id{};
  Timestamp started{};  // default: long ago
  double rating = 1;    // its capacity relative to others
  std::string kind{};
  std::string location{};
  int cell = 0;
  EndpointState state = EndpointState::active;
};

// How a message of the endpoint list is to be read.
enum class EndpointListForm : std::uint8_t {
  delta,     // only the endpoints that changed
  complete,  // all endpoints there are
  cached,    // all endpoints of the last list that was stored, which may be old
  failed     // service discovery did not answer
};

// A request as the policy sees it.
struct RoutingRequest {
  RequestId id = 0;
  std::string request_class{};
  std::string tenant{};
  FunctionId function{};
  Duration time_left{};  // until the client gives up
  double memory_mb = 0;
  double lanes = 1;      // requests at a time in one copy of the function
  Duration load_time{};  // 0: not known
  Duration work{};       // anticipated, on a core of rating 1; 0: not known
  bool repeat = false;   // a client's own retry, where clients mark them
  bool write = false;
};

// How an attempt, a health check or a prewarm order ended.
enum class AttemptOutcome : std::uint8_t {
  succeeded,
  error,
  overloaded,        // rejected by the endpoint; it did not run
  unanswered,        // no answer within its time
  connect_failed,    // no connection came up
  connection_lost,   // closed without an answer
  cancelled,         // by this router
  not_sent,          // no byte of it left
  function_missing,  // the endpoint has no copy and does not load one
};

// What an endpoint reports about its copy of the function.
enum class CopyState : std::uint8_t { unknown, loaded, load_started, load_awaited, load_failed };

// Figures that an endpoint reports about itself, by their names on the wire.
using LoadReport = std::map<std::string, double>;

// The end of one attempt of a request.
struct AttemptEnd {
  RequestId request = 0;
  int attempt_number = 0;  // within its request, from 0
  EndpointId endpoint{};
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  bool final = false;  // the request has its final answer
  Duration taken{};
  CopyState copy_state = CopyState::unknown;
  int in_flight = 0;  // requests of the same function at the endpoint
  LoadReport report{};
};

// The end of a health check.
struct ProbeEnd {
  EndpointId endpoint{};
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  Duration taken{};
  LoadReport report{};
};

// The end of a prewarm order.
struct PrewarmEnd {
  EndpointId endpoint{};
  FunctionId function{};
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  Duration taken{};
  int copies = 0;  // of the function at the endpoint, afterwards
};

}  // namespace rushhill
