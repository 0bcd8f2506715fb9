// The faults of a simulated day, as docs/badday.md lists them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "routing/time.h"

namespace rushhill::simulation {

// In the order of their names. Those of links between routers come last.
enum class FaultKind : std::uint8_t {
  silence,                  // the server accepts everything and answers nothing
  mute_head,                // it goes silent after the head of an answer
  mute_half,                // it goes silent after half the body
  reset,                    // it resets the connection at a request
  refuse,                   // it refuses connections
  slow,                     // it works so many times slower
  fail_fast,                // it answers errors at once
  crash,                    // it dies and comes back cold
  lose_answers,             // it does the work and closes without an answer
  byte_at_a_time,           // it answers a byte at a time
  garbage,                  // it answers what is no HTTP
  close_on_use,             // it closes a kept connection when a request comes
  drain,                    // it is announced as draining, gone after the span, then back cold
  discovery_lag,            // service discovery reports later by so many seconds
  discovery_outage,         // it drops its followers and starts again
  discovery_contradiction,  // it names servers twice, the second time as draining
  store_slow,               // loads take so many times longer
  store_refuse,             // the store refuses all fetches
  router_restart,           // a router is stopped and started again
  burst,                    // so many times the usual requests
  broker_drop,              // the broker drops its clients, and at the span's end cuts a message short
  broker_twice,             // the broker sends every message twice
  router_kill,              // a router is killed and started again
  router_stall,             // a router is stopped and goes on after the span, unaware of it
  link_drop,      // nothing passes between two routers' replicas; what waits comes when the span ends
  link_one_way,   // the same, from the first to the other only
  link_delay,     // what passes comes so many milliseconds later
  link_throttle,  // so many bytes a second pass
  link_cut,       // connections are reset amid what they carry
  link_garble,    // bytes are changed
  link_twice      // connections are made twice, both carrying the same
};

// The name in a day's file and in the records.
const char* name_of(FaultKind kind);
// Nothing: no kind has that name.
std::optional<FaultKind> fault_kind_of(std::string_view name);

inline bool is_router_fault(FaultKind kind) {
  return kind == FaultKind::router_restart || kind == FaultKind::router_kill ||
         kind == FaultKind::router_stall;
}
inline bool is_link_fault(FaultKind kind) { return kind >= FaultKind::link_drop; }

// One fault: what it is, when and where. Fields that its kind does not need keep their defaults.
struct Fault {
  FaultKind kind = FaultKind::silence;
  Time at = 0;  // from the day's start
  Time span = 0;
  double size = 1;
  std::vector<std::string> servers{};
  int router = 0;
  int other = every_router;  // the other end of a link

  static constexpr int every_router = -1;
};
}  // namespace rushhill::simulation
