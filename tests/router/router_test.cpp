// A whole router before stand-in servers on the emulated network, one fault at a time, judged by the checker
// from what the connections showed. The bad day plays the same on sockets.
#include <cstdio>
#include <fstream>
#include <set>

#include "checker/judge.h"
#include "emulator/network.h"
#include "loopback.h"
#include "router/router_process.h"
#include "simulation/bad_day.h"
#include "simulation/clients.h"
#include "simulation/day_deployment.h"
#include "simulation/day_json.h"
#include "simulation/discovery_server.h"
#include "simulation/simulated_servers.h"

namespace rushhill {
namespace {

using simulation::Day;
using simulation::FaultKind;

Day small_day() {
  Day day = simulation::scripted_bad_day({.events = 120, .rate = 60, .seed = 11, .calm = true});
  day.faults.clear();
  day.servers.resize(4);
  for (auto& server : day.servers) server.location = "here", server.cell = 1;
  day.functions.resize(4);
  for (auto& function : day.functions) function.load = 500;
  for (auto& type : day.types) type.share = 1;
  day.routers = 1;
  day.discovery_lag_minimum = 0, day.discovery_lag_maximum = 100;
  day.rules.free_loads = 50;
  return day;
}

// Moves virtual time as loopback.h's Pump moves a loop.
struct VirtualPump {
  emulator::Network& network;
  bool until(const std::function<bool()>& holds, Time most = 300'000) {
    const Time end = network.now() + most;
    while (!holds() && network.now() < end) network.run_until(network.now() + 10);
    return holds();
  }
  void pass(Time span) { network.run_until(network.now() + span); }
};

// Router, servers, roster and clients on one network.
class Scene {
 public:
  explicit Scene(const Day& of) : day(of) {
    file = testing::TempDir() + "rushhill-" + std::to_string(reinterpret_cast<std::uintptr_t>(this)) + "-" +
           std::to_string(transport::monotonic_ns());
    record = std::make_unique<simulation::Record>(file);
    board = std::make_unique<simulation::DiscoveryServer>(reactor, transport::numeric_address("127.0.0.1:0"),
                                                          day, *record);
    fleet = std::make_unique<simulation::SimulatedServers>(reactor, day, *record);
    fleet->announce_to(board->address());
    pump.pass(100);
    const std::string text = simulation::deployment_of(
        day, 0, {.listen = "127.0.0.1:0", .discovery = board->address().toString()});
    router = std::make_unique<router::RouterProcess>(reactor, deployment::read_text("f", text), 3, silent);
    for (const auto& server : day.servers)
      EXPECT_TRUE(reached_at(server.id, fleet->address(server.id).toString()));
    pump.pass(300);
  }
  ~Scene() { std::remove(file.c_str()); }

  bool reached_at(const std::string& server, const std::string& address) {
    return pump.until([&] { return router->pool().address(server) == address; });
  }

  void play() {
    bool over = false;
    simulation::Clients clients(reactor, day, {router->address()}, *record, [&] { over = true; });
    const Time start = reactor.now();
    fleet->play(start);
    board->play(start);
    clients.play(start);
    ASSERT_TRUE(pump.until([&] { return over; }, day.span() + 900'000));
    fleet->close();
    record->flush();
    std::ifstream in(file);
    seen = checker::read_records(in, "records");
    verdict = checker::judge(nlohmann::json::parse(simulation::to_json(day)), seen);
  }
  // How often a shot at a server ended so, or with such a fault.
  int count(const std::string& word) const {
    int found = 0;
    for (const auto& line : seen)
      found += line.value("what", "") == "shot" &&
               (line.value("how", "") == word || line.value("fault", "") == word);
    return found;
  }

  Day day;
  std::string file;
  emulator::Network reactor{1};
  VirtualPump pump{reactor};
  Silent silent;
  std::unique_ptr<simulation::Record> record;
  std::unique_ptr<simulation::DiscoveryServer> board;
  std::unique_ptr<simulation::SimulatedServers> fleet;
  std::unique_ptr<router::RouterProcess> router;
  std::vector<nlohmann::json> seen;
  checker::Verdict verdict;
};

struct Fault {
  FaultKind kind;
  const char* shows;  // what the servers' records must show of it
};
class Faults : public testing::TestWithParam<Fault> {};

// Reissuable, numbered and at-most-once events go through each fault at two of four servers.
TEST_P(Faults, KeepAllRules) {
  Day day = small_day();
  day.faults.push_back({GetParam().kind, 3'000, 15'000, 3, {day.servers[0].id, day.servers[1].id}});
  Scene scene(day);
  scene.play();
  EXPECT_TRUE(scene.verdict.good()) << checker::as_text(scene.verdict);
  EXPECT_GT(scene.verdict.outcomes["honoured"], 30) << checker::as_text(scene.verdict);
  if (*GetParam().shows != 0) {
    EXPECT_GT(scene.count(GetParam().shows), 0) << GetParam().shows;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, Faults,
    testing::Values(Fault{FaultKind::silence, "silent"}, Fault{FaultKind::mute_head, "mute-head"},
                    Fault{FaultKind::mute_half, "mute-half"}, Fault{FaultKind::reset, "reset"},
                    Fault{FaultKind::refuse, ""}, Fault{FaultKind::slow, ""},
                    Fault{FaultKind::fail_fast, "error"}, Fault{FaultKind::crash, ""},
                    Fault{FaultKind::lose_answers, "lost-answer"},
                    Fault{FaultKind::byte_at_a_time, "answered"}, Fault{FaultKind::garbage, "garbage"},
                    Fault{FaultKind::close_on_use, "closed-on-use"}, Fault{FaultKind::drain, ""},
                    Fault{FaultKind::discovery_contradiction, ""}));

TEST(Router, FromTheWordOnADrainingServerGetsNoEventAndNoOrder) {
  Scene scene(small_day());
  const std::string away = scene.day.servers[0].id;
  nlohmann::json entry = nlohmann::json::parse(scene.fleet->entry(away));
  entry["condition"] = "draining";
  scene.board->announce(entry);
  scene.pump.pass(1'000);
  const std::int64_t told = scene.reactor.clock_ns();
  scene.play();
  EXPECT_TRUE(scene.verdict.good()) << checker::as_text(scene.verdict);
  for (const auto& line : scene.seen) {
    const std::string what = line.value("what", "");
    if (what != "shot" && what != "order") continue;
    EXPECT_FALSE(line.value("server", "") == away && line.value("at", std::int64_t{0}) > told) << line.dump();
  }
}

TEST(Router, AnAddressThatBelongsToAnotherServerRunsNothingThere) {
  Scene scene(small_day());
  nlohmann::json entry = nlohmann::json::parse(scene.fleet->entry(scene.day.servers[0].id));
  entry["address"] = scene.fleet->address(scene.day.servers[1].id).toString();
  scene.board->send_now({{"form", "changes"}, {"revision", 9}, {"servers", nlohmann::json::array({entry})}});
  ASSERT_TRUE(
      scene.reached_at(scene.day.servers[0].id, scene.fleet->address(scene.day.servers[1].id).toString()));
  scene.play();
  EXPECT_TRUE(scene.verdict.good()) << checker::as_text(scene.verdict);
  int misdirected = 0;
  for (const auto& line : scene.seen) misdirected += line.value("refusal", "") == "misdirected";
  EXPECT_GT(misdirected, 0);
  for (const auto& line : scene.seen) {
    if (line.value("what", "") == "ran") {
      EXPECT_NE(line.value("server", ""), scene.day.servers[0].id);
    }
  }
  EXPECT_GT(scene.verdict.outcomes["honoured"], 60) << checker::as_text(scene.verdict);
}

TEST(Router, AfterARosterThatComesAndGoesTheListStandsAsItWas) {
  Day day = small_day();
  day.faults.push_back({FaultKind::discovery_outage, 2'000, 8'000, 1, {}});
  Scene scene(day);
  scene.play();
  EXPECT_TRUE(scene.verdict.good()) << checker::as_text(scene.verdict);
  EXPECT_GT(scene.verdict.outcomes["honoured"], 60) << checker::as_text(scene.verdict);
  int complete = 0;
  for (const auto& line : scene.seen)
    complete += line.value("what", "") == "told" && line.value("complete", false);
  EXPECT_GE(complete, 2);  // asked again after the break
}

// Discovery is away for nine minutes. Meanwhile one server dies, which only connections tell, and another is
// told to drain, which nobody can tell.
TEST(Router, WithoutDiscoveryForLongTheLastListStandsDeadServersAreLeftAloneAndItsReturnIsObeyedAtOnce) {
  constexpr Time second = 10'000, away_at = 10 * second, away_for = 540 * second;
  Day day = small_day();
  day.events = 1'200;
  day.rate = 2;
  const std::string dead = day.servers[0].id, drained = day.servers[1].id;
  day.faults = {{FaultKind::discovery_outage, away_at, away_for, 1, {}},
                {FaultKind::crash, 60 * second, 800 * second, 1, {dead}},
                {FaultKind::drain, 200 * second, 800 * second, 1, {drained}}};
  Scene scene(day);
  const std::int64_t start = scene.reactor.clock_ns();
  scene.play();
  EXPECT_TRUE(scene.verdict.good()) << checker::as_text(scene.verdict);
  EXPECT_GT(scene.verdict.outcomes["honoured"], 1'180) << checker::as_text(scene.verdict);
  const std::int64_t back = start + (away_at + away_for) * 100'000, at_once = 10'000'000;  // nanoseconds
  std::int64_t told = 0;
  for (const auto& line : scene.seen) {
    if (line.value("what", "") == "told" && line.value("at", std::int64_t{0}) >= back && told == 0)
      told = line.value("at", std::int64_t{0});
  }
  ASSERT_GT(told, 0);
  EXPECT_LT(told - back, std::int64_t{3'100'000'000}) << "asked for again soon after the return";
  int before = 0;
  for (const auto& line : scene.seen) {
    if (line.value("what", "") != "shot" || line.value("server", "") != drained) continue;
    const std::int64_t at = line.value("at", std::int64_t{0});
    before += at < told ? 1 : 0;
    EXPECT_LT(at, told + at_once) << line.dump();
  }
  EXPECT_GT(before, 100) << "believed as last told while nobody can tell otherwise";
  const auto refused =
      scene.router->gateway().tally().outcomes[static_cast<std::size_t>(AttemptOutcome::connect_failed)];
  EXPECT_GT(refused, 0U);
  EXPECT_LT(refused, 60U) << "of some 270 that would have gone there in nine minutes";
}

TEST(Router, ARememberedListServesWhileTheRosterIsAway) {
  const std::string file =
      testing::TempDir() + "rushhill-remembered-" + std::to_string(transport::monotonic_ns());
  Scene scene(small_day());
  std::ofstream(file) << R"({"form":"complete","revision":1,"servers":[)"
                      << scene.fleet->entry(scene.day.servers[2].id) << "]}\n";
  std::string text =
      simulation::deployment_of(scene.day, 0, {.listen = "127.0.0.1:0", .discovery = "127.0.0.1:1"});
  text.insert(text.find("[roster]\n") + 9, "remembered = " + file + "\n");
  scene.router = std::make_unique<router::RouterProcess>(scene.reactor, deployment::read_text("f", text), 3,
                                                         scene.silent);
  scene.play();
  EXPECT_GT(scene.verdict.outcomes["honoured"], 60) << checker::as_text(scene.verdict);
  EXPECT_EQ(scene.verdict.rules["1 one final answer"].breaks, 0);
  std::remove(file.c_str());
}

}  // namespace
}  // namespace rushhill
