// Counters of what the core has done since its start.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "routing/types.h"

namespace rushhill::core {

inline constexpr std::size_t outcome_count = static_cast<std::size_t>(AttemptOutcome::function_missing) + 1;

// All of it counts from the start of the router. The front ends, the programs and the emulator report it.
struct Counters {
  std::uint64_t accepted = 0;        // requests accepted from the front ends
  std::uint64_t succeeded = 0;       // requests answered with a server's reply
  std::uint64_t rejected = 0;        // requests rejected by load shedding
  std::uint64_t failed = 0;          // requests that failed
  std::uint64_t cancelled = 0;       // requests cancelled by their client
  std::uint64_t not_accepted = 0;    // requests not accepted, since their source had no room
  std::uint64_t expired = 0;         // failed by the core at the deadline, since the module had not answered
  std::uint64_t duplicates = 0;      // of abandoned: accepted before, here or by another router
  std::uint64_t not_replicated = 0;  // of shed: the deduplication record was not replicated in time
  std::uint64_t attempts_after_cancel = 0;  // of shots: started while their client's leaving stood to be read
  std::uint64_t attempts = 0;               // attempts sent
  std::uint64_t probes = 0;                 // probes sent
  std::uint64_t prewarms = 0;               // orders to load sent
  std::uint64_t evictions = 0;              // orders to evict sent
  std::uint64_t gossip_messages = 0;        // messages to peers
  std::array<std::uint64_t, outcome_count> outcomes{};  // of attempts, by AttemptOutcome

  void count_outcome(AttemptOutcome ending) { ++outcomes[static_cast<std::size_t>(ending)]; }
};

}  // namespace rushhill::core
