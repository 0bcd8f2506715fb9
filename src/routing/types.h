// Plain data that a router and its routing policy exchange: requests, endpoints, and the results of attempts,
// health checks and prewarm orders.
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

// Whether a request may be sent again after an attempt that may have run.
enum class RetrySafety : std::uint8_t {
  idempotent,   // may run any number of times
  keyed,        // carries an idempotency key, which the endpoints of its scope remember for a limited time
  at_most_once  // must not be sent again once it may have run
};

// Which endpoints share their record of idempotency keys.
enum class DeduplicationScope : std::uint8_t { everywhere, location, cell };

// A class of requests with the same requirements.
struct RequestClass {
  std::string name{};
  Duration latency_objective{};  // target for the response time
  Duration deadline_span{};      // time after which the client gives up
  double priority_weight = 1;
  // Fraction of the weight that an answer between objective and deadline still earns.
  double late_value_share = 0;
  RetrySafety retry_safety = RetrySafety::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::everywhere;
  Duration deduplication_span{};  // time for which endpoints remember an idempotency key
  bool stream = false;            // whether answers may be streams
  // The latency objective grows by this multiple of the request's own work, up to the deadline.
  double latency_objective_stretch = 0;
};

// An owner of requests, with its share of the service.
struct Tenant {
  std::string name{};
  double share = 0;        // fraction of all requests, from 0 to 1
  double quota_per_s = 0;  // requests per second over all routers, within the share; 0 for no quota
};

// The state of an endpoint according to service discovery.
enum class EndpointState : std::uint8_t { active, draining, removed };

// A model server that runs functions.
struct Endpoint {
  EndpointId id{};
  Timestamp started{};  // the default value means long ago
  double rating = 1;    // capacity relative to other endpoints
  std::string kind{};
  std::string location{};
  int cell = 0;
  EndpointState state = EndpointState::active;
};

// Which endpoints an endpoint list message contains.
enum class EndpointListForm : std::uint8_t {
  delta,     // the endpoints that changed
  complete,  // all current endpoints
  cached,    // all endpoints of the last stored list, which may be out of date
  failed     // none, because service discovery did not answer
};

// A request as the policy sees it.
struct RoutingRequest {
  RequestId id = 0;
  std::string request_class{};
  std::string tenant{};
  FunctionId function{};
  Duration time_left{};  // time until the client gives up
  double memory_mb = 0;
  double lanes = 1;      // requests that one copy of the function runs concurrently
  Duration load_time{};  // 0 if unknown
  Duration work{};       // expected processing time on a core of rating 1; 0 if unknown
  bool repeat = false;   // whether the client marked the request as its own retry
  bool write = false;
};

// The result of an attempt, a health check or a prewarm order.
enum class AttemptOutcome : std::uint8_t {
  succeeded,
  error,
  overloaded,        // the endpoint rejected the request without running it
  unanswered,        // no answer arrived before the timeout
  connect_failed,    // no connection could be established
  connection_lost,   // the connection closed without an answer
  cancelled,         // this router cancelled the attempt
  not_sent,          // no byte of the request was sent
  function_missing,  // the endpoint has no copy of the function and does not load one
};

// The state of the endpoint's copy of the function, as its answer reports it.
enum class CopyState : std::uint8_t { unknown, loaded, load_started, load_awaited, load_failed };

// Load metrics that an endpoint reports, by their names on the wire.
using LoadReport = std::map<std::string, double>;

// The result of one attempt of a request.
struct AttemptEnd {
  RequestId request = 0;
  int attempt_number = 0;  // counted from 0 within the request
  EndpointId endpoint{};
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  bool final = false;  // whether the request has its final answer
  Duration taken{};
  CopyState copy_state = CopyState::unknown;
  int in_flight = 0;  // requests of the same function at the endpoint
  LoadReport report{};
};

// The result of a health check.
struct ProbeEnd {
  EndpointId endpoint{};
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  Duration taken{};
  LoadReport report{};
};

// The result of a prewarm order.
struct PrewarmEnd {
  EndpointId endpoint{};
  FunctionId function{};
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  Duration taken{};
  int copies = 0;  // copies of the function at the endpoint after the order
};

}  // namespace rushhill
