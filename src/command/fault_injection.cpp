#include "command/fault_injection.h"

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>

#include "simulation/faulty_file_system.h"

namespace rushhill::command {
namespace {

// A kind of fault: the variable that holds its seed, and what is logged.
struct InjectedFaults {
  const char* variable;
  const char* log_line;
};

constexpr InjectedFaults storage_faults{"RUSHHILL_STORAGE_FAULTS", "storage faults are injected"};
constexpr InjectedFaults system_call_faults{"RUSHHILL_SYSTEM_CALL_FAULTS", "system call faults are injected"};
constexpr double system_call_fault_rate = 1.0 / 30;
constexpr std::uint64_t seeds_per_day = 1'000;  // so that routers of one day draw differently

// The injection is logged. Nothing: the variable is not set.
std::optional<std::uint64_t> seed_for(const InjectedFaults& faults, int router, core::EventLog& event_log) {
  const char* seed = std::getenv(faults.variable);
  if (seed == nullptr) return std::nullopt;
  event_log.write(core::Level::warning, faults.log_line, {{"seed", seed}});
  return std::stoull(seed) * seeds_per_day + static_cast<std::uint64_t>(router);
}

}  // namespace

router::StorageAccess storage_access(const transport::Reactor& reactor, int router,
                                     core::EventLog& event_log) {
  router::StorageAccess access;
  const auto seed = seed_for(storage_faults, router, event_log);
  if (!seed) return access;
  access.files = std::make_shared<simulation::FaultyFileSystem>(
      access.files, simulation::seeded_storage_faults(*seed, [&reactor] { return reactor.now(); }));
  return access;
}

std::unique_ptr<simulation::FaultySystemCalls> faulty_system_calls(int router, core::EventLog& event_log) {
  const auto seed = seed_for(system_call_faults, router, event_log);
  return seed ? std::make_unique<simulation::FaultySystemCalls>(*seed) : nullptr;
}

void start_failing(simulation::FaultySystemCalls& system_calls) {
  system_calls.fail_all_at_rate(system_call_fault_rate);
}

}  // namespace rushhill::command
