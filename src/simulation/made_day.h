// What the days have in common that are made by a program.
#pragma once

#include <string>
#include <vector>

#include "simulation/day.h"
#include "simulation/random_draws.h"

namespace rushhill::simulation {

// Ranges from which functions are drawn.
struct FunctionRanges {
  double least_memory_mb = 0;
  double most_memory_mb = 0;
  double popularity_exponent = 0;  // of Zipf's law
};

void set_load_budget(RuleParameters& rules);
std::vector<FunctionSpec> draw_functions(RandomDraws& draws, int count, const FunctionRanges& ranges);
// Lookups, forms and bookings: idempotent, keyed and at most once.
std::vector<RequestClassSpec> make_request_classes(Time deadline_span);
// The servers' ids in a drawn order.
std::vector<std::string> shuffled_ids(RandomDraws& draws, const std::vector<ServerSpec>& servers);
// The moment at that part of the day.
Time moment_at(const Day& day, double part);

// The speed of a server of the plain kind or of the quick one.
double draw_speed(RandomDraws& draws, bool plain);

}  // namespace rushhill::simulation
