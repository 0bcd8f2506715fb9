#include "simulation/bad_day.h"

#include <array>
#include <string>
#include <utility>
#include <vector>

#include "simulation/made_day.h"
#include "simulation/random_draws.h"

namespace rushhill::simulation {
namespace {

using enum FaultKind;

constexpr int server_count = 14;
constexpr int function_count = 40;
constexpr FunctionRanges function_ranges{
    .least_memory_mb = 300,
    .most_memory_mb = 700,
    .popularity_exponent = 0.9,
};
constexpr int servers_per_cell = 4;
constexpr int first_office_cell = 100;

// Tenths of a millisecond.
constexpr Time usual_tick = 200;
constexpr Time calm_tick = 4'000;
constexpr Time usual_deadline = 25'000;
constexpr Time calm_deadline = 50'000;

// Up to two servers, by their place in a drawn order.
struct FaultyServers {
  static constexpr int none = -1;
  int first = none;
  int second = none;
};

struct ScriptedFault {
  FaultKind kind = silence;
  double from = 0;  // parts of the day
  double part = 0;
  double size = 1;
  FaultyServers servers{};
  int router = 0;
};

// Spread over the day and over the servers, so that each can end.
constexpr std::array script{
    ScriptedFault{slow, 0.08, 0.12, 4, {0}},
    ScriptedFault{mute_half, 0.10, 0.06, 1, {1}},
    ScriptedFault{reset, 0.14, 0.04, 1, {2}},
    ScriptedFault{silence, 0.18, 0.08, 1, {3, 4}},
    ScriptedFault{close_on_use, 0.20, 0.04, 1, {5}},
    ScriptedFault{discovery_lag, 0.22, 0.20, 2},
    ScriptedFault{fail_fast, 0.26, 0.06, 1, {6}},
    ScriptedFault{refuse, 0.28, 0.05, 1, {7}},
    ScriptedFault{crash, 0.32, 0.05, 1, {8, 9}},
    ScriptedFault{mute_head, 0.36, 0.05, 1, {10}},
    ScriptedFault{garbage, 0.40, 0.04, 1, {11}},
    ScriptedFault{discovery_contradiction, 0.43, 0.05, 1, {12}},
    ScriptedFault{lose_answers, 0.45, 0.05, 1, {0}},
    ScriptedFault{byte_at_a_time, 0.48, 0.06, 1, {1}},
    ScriptedFault{router_restart, 0.52, 0.03, 1, {}, 1},
    ScriptedFault{drain, 0.55, 0.10, 1, {2}},
    ScriptedFault{drain, 0.60, 0.10, 1, {5}},
    ScriptedFault{drain, 0.65, 0.10, 1, {12}},
    ScriptedFault{store_slow, 0.66, 0.08, 3},
    ScriptedFault{discovery_outage, 0.70, 0.02, 1},
    ScriptedFault{burst, 0.74, 0.06, 1.6},
    ScriptedFault{broker_drop, 0.34, 0.10, 1},
    ScriptedFault{broker_twice, 0.58, 0.10, 1},
    ScriptedFault{store_refuse, 0.82, 0.03, 1},
    ScriptedFault{silence, 0.86, 0.05, 1, {13}},
};

std::vector<ServerSpec> draw_servers(RandomDraws& draws) {
  std::vector<ServerSpec> servers;
  for (int i = 0; i < server_count; ++i) {
    const bool plain = i % 3 == 0;
    const bool office = i % 2 != 0;
    ServerSpec server;
    server.id = "box-" + std::to_string(i);
    server.location = office ? "new-office" : "old-godown";
    server.cell = i / servers_per_cell + (office ? first_office_cell : 0);
    server.kind = plain ? "plain-pair" : "quick-pair";
    server.speed = draw_speed(draws, plain);
    servers.push_back(server);
  }
  return servers;
}

Fault fault_of(const ScriptedFault& scripted, const Day& day, const std::vector<std::string>& ids) {
  Fault fault{.kind = scripted.kind,
              .at = moment_at(day, scripted.from),
              .span = moment_at(day, scripted.part),
              .size = scripted.size,
              .router = scripted.router};
  for (const int server : {scripted.servers.first, scripted.servers.second}) {
    if (server != FaultyServers::none) fault.servers.push_back(ids[static_cast<std::size_t>(server)]);
  }
  return fault;
}

}  // namespace

Day scripted_bad_day(const BadDayOptions& options) {
  Day day;
  day.missing_answers = options.missing_answers;
  day.tick = options.calm ? calm_tick : usual_tick;
  day.seed = options.seed;
  day.events = options.events;
  day.rate = options.rate;
  set_load_budget(day.rules);
  RandomDraws draws(options.seed);
  day.servers = draw_servers(draws);
  day.functions = draw_functions(draws, function_count, function_ranges);
  day.types = make_request_classes(options.calm ? calm_deadline : usual_deadline);
  const std::vector<std::string> ids = shuffled_ids(draws, day.servers);
  for (const ScriptedFault& scripted : script) day.faults.push_back(fault_of(scripted, day, ids));
  return day;
}

}  // namespace rushhill::simulation
