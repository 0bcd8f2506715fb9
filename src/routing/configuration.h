// What a router is configured with at its start, as far as its decisions need it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/types.h"

namespace rushhill {

// How many requests an endpoint that warms up may get from all routers together (rule 4).
struct SlowStartConfiguration {
  double budget_multiple = 1;  // of what it can bear within the span; more overloads it
  Duration budget_span{};
  double initial_capacity = 1;  // share of its capacity that it has as it starts
  Duration warm_up_span{};      // its capacity is full after that
};

// How many loads a router may order within a window (rule 5).
struct LoadBudgetConfiguration {
  Duration window{};  // 0: no limit
  double free_loads = 0;
  double loads_per_request = 0;  // on top, for each request taken
  // What this router ordered before its restart is reported after the start; until then it orders nothing.
  bool restored_after_restart = false;
};

// What may be done about a request after its first attempt.
struct RetryConfiguration {
  int attempt_limit = 1;         // of one request
  bool cancel_attempts = false;  // whether attempts may be cancelled
  bool hedging = false;          // whether a request may have several attempts at a time
  bool retry_after = false;      // whether rejected clients are told when to come back
  Duration longest_retry_after{};
};

// Copies of functions at the endpoints.
struct CopyConfiguration {
  bool prewarm = false;              // loading and evicting may be ordered
  bool missing_is_answered = false;  // an endpoint without a copy answers so and does not load one
  bool state_is_reported = false;    // answers say whether a copy was there
  Duration keep_alive{};             // an idle copy is kept that long
  Duration prewarm_timeout{};
};

// Messages about load and health besides those of requests.
struct ReportConfiguration {
  bool probes = false;         // endpoints may be probed
  bool gossip = false;         // routers may send each other messages
  std::string load_reports{};  // how load reports come, by the wire's word
};

// Costs, in points off the result.
struct PriceConfiguration {
  double cross_location = 0;  // of an attempt at an endpoint in another location
  double load = 0;            // of loading a copy from its store
};

// All of it, for one router.
struct RoutingConfiguration {
  int router_number = 0;  // from 0
  int routers = 1;
  std::string location{};
  Duration tick{};             // messages to the router arrive no more often than this
  int open_request_limit = 0;  // 0: no limit
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  double over_quota_value = 1;  // of a request beyond its tenant's quota, beside one within it
  SlowStartConfiguration slow_start;
  LoadBudgetConfiguration load_budget;
  RetryConfiguration retries;
  CopyConfiguration copies;
  ReportConfiguration reports;
  PriceConfiguration prices;
  bool endpoints_on_request = false;  // service discovery answers polls and has to be asked for a watch
  Duration drain_grace{};             // read by the simulation: how long a draining endpoint still answers
  // Read by the pools of connections to the endpoints.
  Duration connect_timeout{};
  Duration connection_idle_timeout{};
  int requests_per_connection = 1;  // at a time
};

}  // namespace rushhill
