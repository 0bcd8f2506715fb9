// What the costs of several parts share: metering, sizes to measure at, a log that drops everything.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "core/event_log.h"
#include "scale/figures.h"
#include "scale/meter.h"
#include "scale/process_usage.h"
#include "scale/units.h"

namespace rushhill::scale {

inline constexpr Time policy_warm_up = 30 * second;  // longer than any window of the policy's statistics
inline constexpr Time measured_span = 15 * second;   // some 2,400 requests, 150 ticks
inline constexpr int repetitions = 20;               // of what costs little
inline constexpr double least_timed_ns = 50e6;       // user time is accounted in steps of some milliseconds
inline constexpr int gateway_servers = 100;          // that the core is measured beside

// Drops all events.
class NullLog final : public core::EventLog {
 public:
  bool should_log(core::Level /*level*/) const override { return false; }
  void write(core::Level /*level*/, const char* /*name*/, Fields /*fields*/) override {}
};

// Meters one section of work: its instructions and, where it took long enough, its user time, each for one of
// so many units.
template <typename Work>
Figures metered(Counter& counter, double units, Work work) {
  Meter meter(counter);
  const double before = user_ns();
  meter.begin();
  work();
  meter.end();
  Figures figures{{figure_name::instructions, meter.sum() / units}};
  if (const double spent = user_ns() - before; spent >= least_timed_ns)
    figures[figure_name::user_time] = spent / units;
  return figures;
}

// A part that did not do its work has no cost: throws std::runtime_error.
inline void require(bool done, const char* failure) {
  if (!done) throw std::runtime_error(failure);
}

// So many sizes, each twice the one before it.
inline std::vector<double> doubling(double first, int count) {
  std::vector<double> sizes;
  for (double size = first; static_cast<int>(sizes.size()) < count; size *= 2) sizes.push_back(size);
  return sizes;
}

// The numbers of servers that costs are measured at, and those for continuous integration.
inline std::vector<double> server_counts() { return doubling(125, 6); }
inline std::vector<double> few_server_counts() { return doubling(16, 5); }
// Requests a second at one router.
inline std::vector<double> request_rates() { return doubling(40.5, 5); }
inline std::vector<double> low_request_rates() { return doubling(10, 5); }

// Addresses of so many routers, by number.
inline std::vector<std::string> router_addresses(int routers) {
  constexpr int first_port = 20'000;
  std::vector<std::string> addresses;
  for (int i = 0; i < routers; ++i) addresses.push_back("127.0.0.1:" + std::to_string(first_port + i));
  return addresses;
}

}  // namespace rushhill::scale
