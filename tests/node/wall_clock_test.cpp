// Guards against time-outs that follow the wall clock, which may be stepped, instead of the monotonic clock.
// The clock is stepped forward and back by seconds and by an hour: in emulated days, where nothing may happen
// at another time, and for the program as a separate process, whose waits are also interrupted by EINTR.
#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <ostream>
#include <random>

#include "checker/judge.h"
#include "emulator/emulation.h"
#include "platform_fixture.h"
#include "process.h"
#include "simulation/bad_day.h"
#include "simulation/day_json.h"

namespace rushhill::node {
namespace {

constexpr Time second = 10'000;  // tenths of a millisecond
constexpr std::int64_t nanoseconds_a_second = 1'000'000'000;
constexpr std::array<std::int64_t, 4> step_seconds{3'600, -3'600, 5, -5};

enum class ClockMode { unchanged, stepped };

std::vector<nlohmann::json> run_day(const simulation::Day& day, ClockMode clock_mode, std::uint64_t seed) {
  simulation::Record record("");
  std::vector<nlohmann::json> seen;
  record.keep(&seen);
  emulator::Emulation emulation(day, record);
  emulator::Network& network = emulation.network();
  std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
  const Time end = network.now() + day.span() + 10 * second;
  for (Time at = network.now(); at < end; at += random() % second + 1) {
    const std::int64_t step =
        clock_mode == ClockMode::stepped ? step_seconds[random() % step_seconds.size()] : 0;
    network.at(at, [&network, step] { network.step_wall_clock(step * nanoseconds_a_second); });
  }
  emulation.run();
  const checker::Verdict verdict = checker::judge(nlohmann::json::parse(simulation::to_json(day)), seen);
  EXPECT_TRUE(verdict.good()) << seed << '\n' << checker::as_text(verdict);
  // Start times in the simulated endpoint list are read from the stepped clock, so they are not compared.
  for (nlohmann::json& line : seen) {
    if (line.at("what") != "told") continue;
    for (nlohmann::json& server : line.at("servers")) server.erase(2);
  }
  return seen;
}

// This day uses the timers of routers, discovery clients, links between routers and frontends, with faults of
// servers. No router is restarted, since the tests of start times cover what a restarted router learns from
// its first list.
TEST(NodeWallClockTest, EmulatedDayIsTheSameWhateverStepsTheClockMakes) {
  simulation::Day day = simulation::scripted_bad_day({.events = 150, .rate = 80, .seed = 3});
  std::erase_if(day.faults,
                [](const auto& fault) { return fault.kind == simulation::FaultKind::router_restart; });
  day.together = true;
  const std::vector<nlohmann::json> reference = run_day(day, ClockMode::unchanged, 1);
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const std::vector<nlohmann::json> stepped = run_day(day, ClockMode::stepped, seed);
    const auto [expected, found] = std::ranges::mismatch(reference, stepped);
    EXPECT_EQ(expected, reference.end())
        << seed << ": " << *expected << " was expected, but the record is " << *found;
  }
}

struct Disturbance {
  const char* name = "";
  const char* step_ms = "0";
  const char* interrupts = "0";
  const char* seed = "1";
};
std::ostream& operator<<(std::ostream& out, const Disturbance& disturbance) {
  return out << disturbance.name << disturbance.seed;
}

class SteppedClockFixture : public PlatformTest {
 protected:
  ~SteppedClockFixture() override { std::remove(path.c_str()); }
  void start(const Disturbance& disturbance) {
    path = testing::TempDir() + "wall-clock-" + std::to_string(getpid()) + "-" + disturbance.name +
           disturbance.seed + ".json";
    std::ofstream(path) << configuration({}, discovery.address(), host("s1", server1.address()));
    process =
        std::make_unique<Process>(Launch{.arguments = {"node"},
                                         .environment = {{"PROXY_CONFIG", path},
                                                         {"LD_PRELOAD", RUSHHILL_WALL_CLOCK_SHIM},
                                                         {"ASAN_OPTIONS", "verify_asan_link_order=0"},
                                                         {"RUSHHILL_WALL_STEP_MS", disturbance.step_ms},
                                                         {"RUSHHILL_WALL_SEED", disturbance.seed},
                                                         {"RUSHHILL_WAIT_EINTR", disturbance.interrupts}}});
  }
  bool exits_within(Time span) {
    return driver.until([&] { return process->ended(); }, span);
  }

  std::string path;
  std::unique_ptr<Process> process;
};

class NodeSteppedClockTest : public SteppedClockFixture, public testing::WithParamInterface<Disturbance> {};

// The router answers requests and exits in time: requests may arrive for 0.8 s, and its clients get 0.1 s to
// close.
TEST_P(NodeSteppedClockTest, AnswersRequestsAndShutsDownInTime) {
  start(GetParam());
  const transport::Address address = process->wait_for_address("serving");
  TestClient client(address);
  for (int i = 1; i <= 20; ++i) {
    client.send(invoke_request(static_cast<fastcgi::Number>(i), request_id(i)));
    ASSERT_TRUE(server_receives(server1, request_id(i))) << i;
    send_answer(request_id(i), success_answer);
    ASSERT_TRUE(succeeds(client, i)) << i;
    driver.pass(500);
  }
  process->signal(SIGTERM);
  ASSERT_TRUE(exits_within(5 * second)) << process->said();
  EXPECT_EQ(process->wait(), 0);
}

std::string name_of(const testing::TestParamInfo<Disturbance>& info) {
  return std::string(info.param.name) + info.param.seed;
}
// SIGTERM interrupts a wait too.
INSTANTIATE_TEST_SUITE_P(
    Disturbances, NodeSteppedClockTest,
    testing::Values(Disturbance{.name = "Steps", .step_ms = "25"},
                    Disturbance{.name = "Interrupts", .interrupts = "1"},
                    Disturbance{.name = "Both", .step_ms = "25", .interrupts = "1", .seed = "1"},
                    Disturbance{.name = "Both", .step_ms = "25", .interrupts = "1", .seed = "2"}),
    name_of);

}  // namespace
}  // namespace rushhill::node
