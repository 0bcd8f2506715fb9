#include "simulation/grown_day.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "simulation/made_day.h"
#include "simulation/random_draws.h"

namespace rushhill::simulation {
namespace {

constexpr FunctionRanges function_ranges{
    .least_memory_mb = 200,
    .most_memory_mb = 500,
    .popularity_exponent = 1.1,
};
constexpr std::array locations{"old-godown", "new-office", "river-side"};
constexpr int servers_per_cell = 12;
constexpr int cells_per_location = 1'000;
constexpr double memory_per_core_mb = 3'000;
constexpr double plain_cores = 2;
constexpr double quick_cores = 4;
constexpr double fetches_per_server = 2;
constexpr double most_fetches_per_server = 8;
constexpr std::size_t servers_per_faulty_one = 20;
constexpr Time deadline_span = 25'000;  // tenths of a millisecond

std::vector<ServerSpec> draw_servers(RandomDraws& draws, int count) {
  std::vector<ServerSpec> servers;
  for (int i = 0; i < count; ++i) {
    const int location = i % static_cast<int>(locations.size());
    const bool plain = location == 0;
    ServerSpec server;
    server.id = "box-" + std::to_string(i);
    server.location = locations[static_cast<std::size_t>(location)];
    server.cell = i / servers_per_cell + location * cells_per_location;
    server.kind = plain ? "plain-pair" : "quick-four";
    server.cores = plain ? plain_cores : quick_cores;
    server.memory_mb = memory_per_core_mb * server.cores;
    server.speed = draw_speed(draws, plain);
    servers.push_back(server);
  }
  return servers;
}

// The servers of a fault: the group of that number, a twentieth of all each.
std::vector<std::string> group_of(const std::vector<std::string>& ids, std::size_t number) {
  const std::size_t size = std::max<std::size_t>(ids.size() / servers_per_faulty_one, 1);
  const std::size_t first = std::min(number * size, ids.size() - size);
  const std::size_t last = std::min((number + 1) * size, ids.size());
  return {ids.begin() + static_cast<std::ptrdiff_t>(first), ids.begin() + static_cast<std::ptrdiff_t>(last)};
}

std::vector<Fault> make_faults(const Day& day, const std::vector<std::string>& ids) {
  using enum FaultKind;
  const auto at = [&day](double part) { return moment_at(day, part); };
  return {{slow, at(0.15), at(0.15), 4, group_of(ids, 0)},   {crash, at(0.35), at(0.1), 1, group_of(ids, 1)},
          {router_restart, at(0.45), at(0.03), 1, {}},       {burst, at(0.55), at(0.1), 1.5, {}},
          {silence, at(0.7), at(0.05), 1, group_of(ids, 2)}, {store_slow, at(0.8), at(0.08), 3, {}}};
}

}  // namespace

Day grown_day(const GrownDayOptions& options) {
  Day day;
  day.missing_answers = true;
  day.seed = options.seed;
  day.events = options.events;
  day.rate = options.rate;
  day.routers = options.routers;
  set_load_budget(day.rules);
  RandomDraws draws(options.seed);
  day.servers = draw_servers(draws, options.servers);
  day.functions = draw_functions(draws, options.functions, function_ranges);
  day.store.concurrent_fetches = fetches_per_server * options.servers;
  day.store.max_fetches = most_fetches_per_server * options.servers;
  day.types = make_request_classes(deadline_span);
  day.faults = make_faults(day, shuffled_ids(draws, day.servers));
  return day;
}

}  // namespace rushhill::simulation
