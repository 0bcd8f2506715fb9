// The rules of a day and what is in force on it, as its file says.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace rushhill::checker {

using Ns = std::int64_t;  // nanoseconds, of the one monotonic clock that all records use

inline constexpr Ns millisecond = 1'000'000;
inline constexpr Ns day_tick = 100'000;          // the unit of time in a day's file
inline constexpr Ns transit = 50 * millisecond;  // what left before a moment may be seen so much after it

// What a request class may ask for.
struct RequestClass {
  std::string effect;  // reissuable, numbered, at-most-once
  std::string group;   // where a numbered one may be repeated: all, location, cell
  Ns latency_objective = 0;
  Ns deduplication_span = 0;
  Ns deadline_span = 0;
};

// Where a model server stands.
struct ServerPlace {
  std::string location;
  std::string cell;
};

// All that is read from a day's file.
struct DayRules {
  Ns drain_grace = 0;
  double budget_multiple = 1;  // of what a server in slow start can bear within the span
  Ns budget_span = 0;
  double initial_capacity = 1;
  Ns warm_up_span = 0;
  Ns load_window = 0;  // 0: orders to load are not limited
  double free_loads = 0;
  double loads_per_request = 0;
  int attempt_limit = 1;
  bool hedging = false;
  std::int64_t expected_requests = 0;
  double mean_work = 1;  // of a request, in ticks of the day on a standard core
  Ns discovery_lag = 0;  // at most, between a change and the message about it
  std::map<std::string, RequestClass> request_classes;
  std::map<std::string, ServerPlace> servers;

  // The strictest one where the day does not know the name.
  const RequestClass& request_class(const std::string& name) const;
};

// Throws nlohmann::json::exception where something is missing or of another type.
DayRules read_day_rules(const nlohmann::json& day);

}  // namespace rushhill::checker
