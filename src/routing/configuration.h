// The part of a router's configuration that its routing decisions depend on. It is fixed at the start.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/types.h"

namespace rushhill {

// Limits the requests that all routers together send to an endpoint that is warming up (rule 4).
struct SlowStartConfiguration {
  // The budget, as a multiple of the requests that the endpoint can process within the span. Exceeding it
  // overloads the endpoint.
  double budget_multiple = 1;
  Duration budget_span{};
  double initial_capacity = 1;  // fraction of the full capacity at the start
  Duration warm_up_span{};      // time from the start to full capacity
};

// Limits the function loads that a router may order within a window (rule 5).
struct LoadBudgetConfiguration {
  Duration window{};  // 0 for no limit
  double free_loads = 0;
  double loads_per_request = 0;  // additional loads for each request received
  // Whether the orders sent before a restart are reported to the router after its start. Until then it orders
  // nothing.
  bool restored_after_restart = false;
};

// Limits the retries, hedged requests and cancellations of a request.
struct RetryConfiguration {
  int attempt_limit = 1;         // attempts per request
  bool cancel_attempts = false;  // whether attempts may be cancelled
  bool hedging = false;          // whether a request may have several concurrent attempts
  bool retry_after = false;      // whether a rejection carries a Retry-After time
  Duration max_retry_after{};
};

// How endpoints load and report copies of functions.
struct CopyConfiguration {
  bool prewarm = false;  // whether routers may order an endpoint to load or evict a copy
  // Whether an endpoint without a copy rejects the request as function_missing. Otherwise it loads a copy.
  bool missing_copy_is_reported = false;
  bool state_is_reported = false;  // whether answers report the state of the copy
  Duration keep_alive{};           // time for which an endpoint keeps an idle copy
  Duration prewarm_timeout{};
};

// Sources of information about load and health besides the answers to requests.
struct ReportConfiguration {
  bool probes = false;         // whether endpoints may be probed
  bool gossip = false;         // whether routers may send messages to each other
  std::string load_reports{};  // which answers carry load reports, as named on the wire
};

// Costs of routing decisions, in the unit of a request's priority weight.
struct PriceConfiguration {
  double cross_location = 0;  // cost of an attempt at an endpoint in another location
  double load = 0;            // cost of loading a copy from the store
};

// The routing configuration of one router.
struct RoutingConfiguration {
  int router_number = 0;  // counted from 0
  int routers = 1;
  std::string location{};
  Duration tick{};             // shortest interval between two deliveries of messages to the router
  int open_request_limit = 0;  // 0 for no limit
  std::size_t function_memory_bytes = 0;  // for what is known of functions; 0 for no limit
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  double over_quota_value = 1;  // value of a request beyond its tenant's quota relative to one within it
  SlowStartConfiguration slow_start;
  LoadBudgetConfiguration load_budget;
  RetryConfiguration retries;
  CopyConfiguration copies;
  ReportConfiguration reports;
  PriceConfiguration prices;
  // Whether the policy itself starts the watch of the endpoint list, when it was sent an out-of-date list.
  // Otherwise the router watches the list from its start.
  bool endpoint_watch_on_request = false;
  Duration drain_grace{};  // time for which a draining endpoint still answers; used by the simulation
  // Used by the connection pools of the endpoints.
  Duration connect_timeout{};
  Duration connection_idle_timeout{};
  int requests_per_connection = 1;  // concurrent requests
};

}  // namespace rushhill
