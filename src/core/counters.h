// Counters of what the core has done since its start.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "routing/types.h"

namespace rushhill::core {

inline constexpr std::size_t outcome_count = static_cast<std::size_t>(AttemptOutcome::function_missing) + 1;

// All of them count from the start of the router. The front ends, the programs and the emulator report it.
struct Counters {
  std::uint64_t accepted = 0;        // requests accepted from the front ends
  std::uint64_t succeeded = 0;       // requests answered with an endpoint's reply
  std::uint64_t rejected = 0;        // requests rejected by load shedding
  std::uint64_t failed = 0;          // requests that failed
  std::uint64_t cancelled = 0;       // requests cancelled by their client
  std::uint64_t not_accepted = 0;    // requests not accepted, since their source had no room
  std::uint64_t expired = 0;         // failed by the core at the deadline, since the policy had not answered
  std::uint64_t duplicates = 0;      // of those that failed: accepted before, here or by another router
  std::uint64_t not_replicated = 0;  // of those rejected: the deduplication record was not replicated in time
  std::uint64_t attempts_after_cancel = 0;  // of attempts: started while the cancellation had arrived unread
  std::uint64_t attempts = 0;               // attempts sent
  std::uint64_t probes = 0;                 // probes sent
  std::uint64_t prewarms = 0;               // prewarm orders sent
  std::uint64_t evictions = 0;              // evict orders sent
  std::uint64_t gossip_messages = 0;        // messages to peers
  std::array<std::uint64_t, outcome_count> outcomes{};  // of attempts, by AttemptOutcome

  void count_outcome(AttemptOutcome outcome) { ++outcomes[static_cast<std::size_t>(outcome)]; }
};

}  // namespace rushhill::core
