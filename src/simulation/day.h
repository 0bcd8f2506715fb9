// A simulated day: its servers, functions, traffic, faults and the parameters of the rules that it is judged
// by.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "routing/time.h"
#include "routing/types.h"
#include "simulation/fault.h"

namespace rushhill::simulation {

// A model server.
struct ServerSpec {
  std::string id{};
  std::string kind{};
  std::string location{};
  int cell = 0;
  double cores = 2;
  double speed = 1;  // of a core, relative to the standard one
  double memory_mb = 6000;
  int concurrent_loads = 4;
  int max_jobs = 200;         // waiting or running; more are rejected
  Time keep_alive = 120'000;  // an idle instance stays loaded that long
};

// The store from which servers load functions.
struct ModelStoreSpec {
  double concurrent_fetches = 12;  // more slow one another down
  double max_fetches = 60;         // more are refused
  double fetch_share = 0.6;        // of a load's time
};

// A function that servers load and run.
struct FunctionSpec {
  std::string name{};
  double memory_mb = 400;
  int lanes = 2;
  Time load = 5'000;
  Time work = 200;    // on a standard core, on average
  double weight = 1;  // of its share of the requests
};

// A class of requests: the type of their events, and the promises that hold for them.
struct RequestClassSpec {
  std::string name{};
  Time latency_objective = 0;
  Time deadline_span = 0;
  RetrySafety retry_safety = RetrySafety::idempotent;
  // The servers that remember its idempotency keys together, and for how long.
  DeduplicationScope deduplication_scope = DeduplicationScope::everywhere;
  Time deduplication_span = 0;
  double share = 1;  // of the requests
};

// The parameters of the rules that routers keep.
struct RuleParameters {
  Time drain_grace = 20'000;
  double budget_multiple = 2;
  Time budget_span = 15'000;
  double initial_capacity = 0.16;
  Time warm_up_span = 160'000;
  Time load_window = 0;
  double free_loads = 0;
  double loads_per_request = 0;
  int max_attempts = 5;
  bool hedging = false;
};

// All that a day is played by.
struct Day {
  std::uint64_t seed = 1;
  int routers = 3;
  std::int64_t events = 10'000;
  double rate = 300;  // events a second
  Time tick = 200;    // of the routers: how late an iteration of their loop may be
  Time discovery_lag_minimum = 2'000;
  Time discovery_lag_maximum = 20'000;
  bool together = false;         // routers share state
  std::string marks = "none";    // of events that must not run twice, then: none, told, held
  bool repeats = false;          // clients send such events again, to another router
  bool missing_answers = false;  // servers answer that they lack a function instead of loading it
  std::vector<ServerSpec> servers{};
  ModelStoreSpec store{};
  std::vector<FunctionSpec> functions{};
  std::vector<RequestClassSpec> types{};
  std::vector<Fault> faults{};
  RuleParameters rules{};

  // Nothing of that name: nullptr.
  const FunctionSpec* function(std::string_view name) const;
  const RequestClassSpec* type(std::string_view name) const;
  // How long the traffic lasts.
  Time span() const;
  // Of a request, on a standard core.
  double mean_work() const;
};

}  // namespace rushhill::simulation
