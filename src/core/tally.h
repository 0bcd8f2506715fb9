// Counters of what the core has done since its start.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "decide.h"

namespace rushhill::core {

inline constexpr std::size_t endings_count = static_cast<std::size_t>(Ending::not_stored) + 1;

// All of it counts from the start of the router. The front ends, the programs and the emulator report it.
struct Tally {
  std::uint64_t taken = 0;      // requests accepted from the front ends
  std::uint64_t honoured = 0;   // requests answered with a server's reply
  std::uint64_t shed = 0;       // requests rejected by load shedding
  std::uint64_t abandoned = 0;  // requests that failed
  std::uint64_t gone = 0;       // requests cancelled by their client
  std::uint64_t refused = 0;    // requests not accepted, since their source had no room
  std::uint64_t overdue = 0;    // failed by the core at the deadline, since the module had not answered
  std::uint64_t known = 0;      // of abandoned: accepted before, here or by another router
  std::uint64_t not_held = 0;   // of shed: the deduplication record was not replicated in time
  std::uint64_t attempts_after_cancel = 0;  // of shots: started while their client's leaving stood to be read
  std::uint64_t shots = 0;                  // attempts sent
  std::uint64_t probes = 0;                 // probes sent
  std::uint64_t orders = 0;                 // orders to load sent
  std::uint64_t unloads = 0;                // orders to evict sent
  std::uint64_t told = 0;                   // messages to peers
  std::array<std::uint64_t, endings_count> endings{};  // of attempts, by Ending

  void count_ending(Ending ending) { ++endings[static_cast<std::size_t>(ending)]; }
};

}  // namespace rushhill::core
