// Spans of real time under a wall clock that is stepped forward and back, by seconds and by an hour: whole
// days in virtual time, where nothing may happen at another moment, and the program as a process of its own,
// whose waits are also ended by EINTR.
#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <ostream>
#include <random>

#include "checker/judge.h"
#include "emulator/emulation.h"
#include "platform_story.h"
#include "process.h"
#include "simulation/bad_day.h"
#include "simulation/day_json.h"

namespace rushhill::node {
namespace {

constexpr Time second = 10'000;  // tenths of a millisecond
constexpr std::int64_t nanoseconds_a_second = 1'000'000'000;
constexpr std::array<std::int64_t, 4> step_seconds{3'600, -3'600, 5, -5};

enum class Wall { runs_on, is_stepped };

std::vector<nlohmann::json> records_of(const simulation::Day& day, Wall wall, std::uint64_t seed) {
  simulation::Record record("");
  std::vector<nlohmann::json> seen;
  record.keep(&seen);
  emulator::Emulation emulation(day, record);
  emulator::Network& network = emulation.network();
  std::mt19937 chance(static_cast<std::mt19937::result_type>(seed));
  const Time end = network.now() + day.span() + 10 * second;
  for (Time at = network.now(); at < end; at += chance() % second + 1) {
    const std::int64_t by = wall == Wall::is_stepped ? step_seconds[chance() % step_seconds.size()] : 0;
    network.at(at, [&network, by] { network.step_wall_clock(by * nanoseconds_a_second); });
  }
  emulation.run();
  const checker::Verdict verdict = checker::judge(nlohmann::json::parse(simulation::to_json(day)), seen);
  EXPECT_TRUE(verdict.good()) << seed << '\n' << checker::as_text(verdict);
  // The simulated list tells starts by the stepped clock.
  for (nlohmann::json& line : seen) {
    if (line.at("what") != "told") continue;
    for (nlohmann::json& server : line.at("servers")) server.erase(2);
  }
  return seen;
}

// The timers of routers, clients of discovery, links between routers and fronts are in use in this day, with
// faults of servers. No router is started again: what its first list proves is for the tests of start times.
TEST(WallClock, InAWholeDayNothingHappensAtAnotherMomentWhateverTheSteps) {
  simulation::Day day = simulation::scripted_bad_day({.events = 150, .rate = 80, .seed = 3});
  std::erase_if(day.faults,
                [](const auto& one) { return one.kind == simulation::FaultKind::router_restart; });
  day.together = true;
  const std::vector<nlohmann::json> undisturbed = records_of(day, Wall::runs_on, 1);
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const std::vector<nlohmann::json> stepped = records_of(day, Wall::is_stepped, seed);
    const auto [expected, found] = std::ranges::mismatch(undisturbed, stepped);
    EXPECT_EQ(expected, undisturbed.end()) << seed << ": " << *expected << " came as " << *found;
  }
}

struct Disturbance {
  const char* name = "";
  const char* step_ms = "0";
  const char* interrupts = "0";
  const char* seed = "1";
};
std::ostream& operator<<(std::ostream& out, const Disturbance& of) { return out << of.name << of.seed; }

class SteppedProcess : public PlatformStory {
 protected:
  ~SteppedProcess() override { std::remove(path.c_str()); }
  void start(const Disturbance& how) {
    path =
        testing::TempDir() + "wall-clock-" + std::to_string(getpid()) + "-" + how.name + how.seed + ".json";
    std::ofstream(path) << configuration({}, discovery.address(), host("s1", one.address()));
    process = std::make_unique<Process>(Launch{.arguments = {"node"},
                                               .environment = {{"PROXY_CONFIG", path},
                                                               {"LD_PRELOAD", RUSHHILL_WALL_CLOCK_SHIM},
                                                               {"ASAN_OPTIONS", "verify_asan_link_order=0"},
                                                               {"RUSHHILL_WALL_STEP_MS", how.step_ms},
                                                               {"RUSHHILL_WALL_SEED", how.seed},
                                                               {"RUSHHILL_WAIT_EINTR", how.interrupts}}});
  }
  bool ends_within(Time span) {
    return pump.until([&] { return process->ended(); }, span);
  }

  std::string path;
  std::unique_ptr<Process> process;
};

class SteppedRouter : public SteppedProcess, public testing::WithParamInterface<Disturbance> {};

// It answers what it is asked, and ends in time: 0.8 s in which requests may come, and 0.1 s for its clients.
TEST_P(SteppedRouter, AnswersAndDrainsAndEndsInTime) {
  start(GetParam());
  const transport::Address address = process->address_after("serving");
  Visitor visitor(address);
  for (int i = 1; i <= 20; ++i) {
    visitor.send(ask(static_cast<fastcgi::Number>(i), id_of(i)));
    ASSERT_TRUE(at_server(one, id_of(i))) << i;
    servers_say(id_of(i), succeeded);
    ASSERT_TRUE(succeeds(visitor, i)) << i;
    pump.pass(500);
  }
  process->signal(SIGTERM);
  ASSERT_TRUE(ends_within(5 * second)) << process->said();
  EXPECT_EQ(process->wait(), 0);
}

std::string name_of(const testing::TestParamInfo<Disturbance>& info) {
  return std::string(info.param.name) + info.param.seed;
}
// The signal that tells it to end is an interrupt too.
INSTANTIATE_TEST_SUITE_P(
    Disturbances, SteppedRouter,
    testing::Values(Disturbance{.name = "Steps", .step_ms = "25"},
                    Disturbance{.name = "Interrupts", .interrupts = "1"},
                    Disturbance{.name = "Both", .step_ms = "25", .interrupts = "1", .seed = "1"},
                    Disturbance{.name = "Both", .step_ms = "25", .interrupts = "1", .seed = "2"}),
    name_of);

}  // namespace
}  // namespace rushhill::node
