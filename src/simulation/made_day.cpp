#include "simulation/made_day.h"

#include <algorithm>
#include <cmath>

namespace rushhill::simulation {
namespace {

constexpr Time load_window = 50'000;  // tenths of a millisecond
constexpr double free_loads = 4;
constexpr double loads_per_request = 0.2;

constexpr double plain_least_speed = 0.9;
constexpr double plain_most_speed = 1.1;
constexpr double quick_least_speed = 1.3;
constexpr double quick_most_speed = 1.6;

// Tenths of a millisecond.
constexpr double least_load = 3'000;
constexpr double most_load = 6'000;
constexpr double least_work = 150;
constexpr double most_work = 350;
constexpr Time latency_objective = 7'500;
constexpr Time keyed_deduplication_span = 50'000;

constexpr double lookup_share = 0.8;
constexpr double form_share = 0.1;
constexpr double booking_share = 0.1;

}  // namespace

void set_load_budget(RuleParameters& rules) {
  rules.load_window = load_window;
  rules.free_loads = free_loads;
  rules.loads_per_request = loads_per_request;
}

double draw_speed(RandomDraws& draws, bool plain) {
  return plain ? draws.between(plain_least_speed, plain_most_speed)
               : draws.between(quick_least_speed, quick_most_speed);
}

std::vector<FunctionSpec> draw_functions(RandomDraws& draws, int count, const FunctionRanges& ranges) {
  std::vector<FunctionSpec> functions;
  for (int i = 0; i < count; ++i) {
    FunctionSpec function;
    function.name = "ward-" + std::to_string(i);
    function.memory_mb = std::floor(draws.between(ranges.least_memory_mb, ranges.most_memory_mb));
    function.lanes = i % 2 + 1;
    function.load = draws.time_between(least_load, most_load);
    function.work = draws.time_between(least_work, most_work);
    function.weight = std::pow(i + 1, -ranges.popularity_exponent);
    functions.push_back(function);
  }
  return functions;
}

std::vector<RequestClassSpec> make_request_classes(Time deadline_span) {
  return {{.name = "date-lookup",
           .latency_objective = latency_objective,
           .deadline_span = deadline_span,
           .retry_safety = RetrySafety::idempotent,
           .share = lookup_share},
          {.name = "counter-form",
           .latency_objective = latency_objective,
           .deadline_span = deadline_span,
           .retry_safety = RetrySafety::keyed,
           .deduplication_scope = DeduplicationScope::location,
           .deduplication_span = keyed_deduplication_span,
           .share = form_share},
          {.name = "fee-booking",
           .latency_objective = latency_objective,
           .deadline_span = deadline_span,
           .retry_safety = RetrySafety::at_most_once,
           .share = booking_share}};
}

std::vector<std::string> shuffled_ids(RandomDraws& draws, const std::vector<ServerSpec>& servers) {
  std::vector<std::string> ids;
  for (const ServerSpec& server : servers) ids.push_back(server.id);
  std::ranges::shuffle(ids, draws.engine());
  return ids;
}

Time moment_at(const Day& day, double part) {
  return static_cast<Time>(part * static_cast<double>(day.span()));
}

}  // namespace rushhill::simulation
