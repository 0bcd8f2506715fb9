// Counters of the requests, attempts and messages that the core has processed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "routing/types.h"

namespace rushhill::core {

inline constexpr std::size_t outcome_count = static_cast<std::size_t>(AttemptOutcome::function_missing) + 1;

// All of them count from the start of the router. The front ends, the programs and the emulator report them.
struct Counters {
  std::uint64_t accepted = 0;        // requests accepted from the front ends
  std::uint64_t succeeded = 0;       // requests answered with an endpoint's reply
  std::uint64_t rejected = 0;        // requests answered with a rejection
  std::uint64_t failed = 0;          // requests that failed
  std::uint64_t cancelled = 0;       // requests cancelled by their client
  std::uint64_t not_accepted = 0;    // requests not accepted, because their source was over its limit
  std::uint64_t expired = 0;         // requests the policy had not answered by the deadline or shutdown
  std::uint64_t duplicates = 0;      // failed requests that this router or another one had accepted before
  std::uint64_t not_replicated = 0;  // rejected requests with the verdict AdmissionVerdict::unavailable
  std::uint64_t attempts_after_cancel = 0;  // attempts that started before a received cancellation was read
  std::uint64_t attempts = 0;               // attempts sent
  std::uint64_t probes = 0;                 // probes sent
  std::uint64_t prewarms = 0;               // prewarm orders sent
  std::uint64_t evictions = 0;              // evict orders sent
  std::uint64_t gossip_messages = 0;        // messages sent to other routers
  std::array<std::uint64_t, outcome_count> outcomes{};  // attempts ended, by AttemptOutcome

  void count_outcome(AttemptOutcome outcome) { ++outcomes[static_cast<std::size_t>(outcome)]; }
};

}  // namespace rushhill::core
