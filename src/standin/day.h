// A day as a file: the fleet, its functions, the traffic, the troubles with their moments and sizes, and the
// figures of the rules. The stand-ins play it, the checker judges by it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "routing/time.h"

namespace rushhill::standin {

struct ServerSpec {
  std::string id{}, kind{}, location{};
  int cell = 0;
  double cores = 2;
  double speed = 1;  // of a core, beside the standard one
  double memory_mb = 6000;
  int concurrent_loads = 4;
  int max_jobs = 200;         // events held, running or waiting; more are turned away
  Time keep_alive = 120'000;  // an idle copy stands that long
};

struct ModelStoreSpec {
  double concurrent_fetches = 12;  // more slow one another down
  double max_fetches = 60;         // more are turned away
  double fetch_share = 0.6;        // of a load's time
};

struct FunctionSpec {
  std::string name{};
  double memory_mb = 400;
  int lanes = 2;
  Time load = 5'000;
  Time work = 200;  // on a standard core, on average
  double weight = 1;
};

struct RequestClassSpec {
  std::string name{};
  Time due = 0, deadline_span = 0;
  std::string effect = "reissuable";  // reissuable, numbered, at-most-once
  std::string group = "all";
  Time memory_span = 0;
  double share = 1;  // of the events
};

// Kinds of trouble, as docs/badday.md lists them.
enum class FaultKind {
  silence,                  // takes everything, answers nothing
  mute_head,                // goes silent after the head of an answer
  mute_half,                // goes silent after half the body
  reset,                    // resets the connection on a request
  refuse,                   // refuses connections
  slow,                     // works so many times slower
  fail_fast,                // answers errors at once
  crash,                    // dies, comes back cold
  lose_answers,             // does the work and closes without an answer
  byte_at_a_time,           // answers a byte at a time
  garbage,                  // answers what is no HTTP
  close_on_use,             // closes a kept connection when a request comes
  drain,                    // told to the roster, gone after the span, then back cold
  discovery_lag,            // the roster tells later by so many seconds
  discovery_outage,         // the roster drops its followers and starts again
  discovery_contradiction,  // the roster names servers twice, the second time as draining
  store_slow,               // loads take so many times longer
  store_refuse,             // the store turns all fetches away
  router_restart,           // a router is stopped and started again
  burst,                    // so many times the usual events
  broker_drop,              // the broker drops its clients, and at the span's end cuts a message in its midst
  broker_twice,             // the broker sends every message twice
  router_kill,              // a router is killed and started again
  router_stall,             // a router is stopped and goes on after the span, knowing nothing of it
  link_drop,                // nothing passes between two routers' copies; what waits comes when the span ends
  link_one_way,             // likewise from the first to the other only
  link_delay,               // what passes comes so many milliseconds later
  link_throttle,            // so many bytes a second pass
  link_cut,                 // connections are reset in the midst of what they carry
  link_garble,              // bytes are changed
  link_twice                // connections are made twice, both carrying the same
};

struct Fault {
  FaultKind kind = FaultKind::silence;
  Time at = 0, span = 0;  // from the day's start
  double size = 1;
  std::vector<std::string> servers{};
  int router = 0;
  int other = -1;  // of a link between two; -1: all the router's
};

struct RuleParameters {
  Time drain_grace = 20'000;
  double budget_multiple = 2;
  Time budget_span = 15'000;
  double initial_capacity = 0.16;
  Time warm_up_span = 160'000;
  Time load_window = 0;
  double free_loads = 0, loads_per_request = 0;
  int max_attempts = 5;
  bool hedging = false;
};

struct Day {
  std::uint64_t seed = 1;
  int routers = 3;
  std::int64_t events = 10'000;
  double rate = 300;  // events a second
  Time tick = 200;    // of the routers: how late a loop may turn
  Time discovery_lag_minimum = 2'000, discovery_lag_maximum = 20'000;
  bool together = false;         // routers hold state together
  std::string marks = "none";    // of events that must not run twice, then: none, told, held
  bool repeats = false;          // clients send such events again, to another router
  bool missing_answers = false;  // servers answer that they lack a function instead of loading it
  std::vector<ServerSpec> servers{};
  ModelStoreSpec store{};
  std::vector<FunctionSpec> functions{};
  std::vector<RequestClassSpec> types{};
  std::vector<Fault> faults{};
  RuleParameters rules{};

  const FunctionSpec* function(std::string_view name) const;
  const RequestClassSpec* type(std::string_view name) const;
  Time span() const;         // of the traffic
  double mean_work() const;  // of a request, on a standard core
};

const char* name_of(FaultKind kind);
std::string to_json(const Day& day);
Day day_from_json(std::string_view text);  // throws std::invalid_argument naming the field

// The deployment file of one of the day's routers. `replicas`: where copies of what routers hold together are
// exchanged, by router number; none: they hold nothing together.
std::string deployment_of(const Day& day, int router, const std::string& listen, const std::string& roster,
                          const std::string& peer_listen, const std::vector<std::string>& peers,
                          const std::string& broker = "", const std::vector<std::string>& replicas = {});

// The scripted bad day: every fault once at least, a rolling drain and a router restarted. A calm one leaves
// slow machines more time: longer limits and ticks, the same faults.
Day scripted_bad_day(std::int64_t events, double rate, std::uint64_t seed, bool missing_answers = true,
                     bool calm = false);

// What goes wrong among the routers themselves, over the length of any day.
struct RouterFaults {
  bool links = false, stalls = false, crashes = false, restarts = false;
};
void add_router_faults(Day& day, const RouterFaults& faults);

// A day at any size: a mixed fleet in three locations, functions by Zipf's law, and the troubles that meet
// many at once: slow servers, a crash of some, a burst, a slow store, a router restarted.
Day grown_day(int servers, int routers, int functions, std::int64_t events, double rate, std::uint64_t seed);

}  // namespace rushhill::standin
