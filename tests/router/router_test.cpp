// Guards against a router that breaks its rules during a fault of servers or service discovery. Runs a router
// with simulated servers, clients and discovery on the emulated network, one fault at a time, and lets the
// checker judge what was recorded on the connections. `rushhill badday` runs the same faults on sockets.
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

// Advances virtual time; its interface is that of the driver of a real event loop in loopback.h.
struct VirtualTimeDriver {
  emulator::Network& network;
  bool run_until(const std::function<bool()>& condition, Time timeout = 300'000) {
    const Time end = network.now() + timeout;
    while (!condition() && network.now() < end) network.run_until(network.now() + 10);
    return condition();
  }
  void run_for(Time span) { network.run_until(network.now() + span); }
};

// Runs a router, servers, service discovery and clients on one network.
class RouterScenario {
 public:
  explicit RouterScenario(const Day& simulated_day) : day(simulated_day) {
    file = testing::TempDir() + "rushhill-" + std::to_string(reinterpret_cast<std::uintptr_t>(this)) + "-" +
           std::to_string(transport::monotonic_ns());
    record = std::make_unique<simulation::Record>(file);
    discovery = std::make_unique<simulation::DiscoveryServer>(
        reactor, transport::numeric_address("127.0.0.1:0"), day, *record);
    servers = std::make_unique<simulation::SimulatedServers>(reactor, day, *record);
    servers->announce_to(discovery->address());
    driver.run_for(100);
    const std::string text = simulation::deployment_of(
        day, 0, {.listen = "127.0.0.1:0", .discovery = discovery->address().toString()});
    router = std::make_unique<router::RouterProcess>(reactor, deployment::read_text("f", text), 3, silent);
    for (const auto& server : day.servers)
      EXPECT_TRUE(router_uses_address(server.id, servers->address(server.id).toString()));
    driver.run_for(300);
  }
  ~RouterScenario() { std::remove(file.c_str()); }

  bool router_uses_address(const std::string& server, const std::string& address) {
    return driver.run_until([&] { return router->pool().address(server) == address; });
  }

  void play() {
    bool finished = false;
    simulation::Clients clients(reactor, day, {router->address()}, *record, [&] { finished = true; });
    const Time start = reactor.now();
    servers->play(start);
    discovery->play(start);
    clients.play(start);
    ASSERT_TRUE(driver.run_until([&] { return finished; }, day.span() + 900'000));
    servers->close();
    record->flush();
    std::ifstream in(file);
    records = checker::read_records(in, "records");
    verdict = checker::judge(nlohmann::json::parse(simulation::to_json(day)), records);
  }
  // Counts the attempts at servers that ended with this outcome or this fault.
  int attempts_with(const std::string& outcome_or_fault) const {
    int matching = 0;
    for (const auto& line : records)
      matching += line.value("what", "") == "shot" &&
                  (line.value("how", "") == outcome_or_fault || line.value("fault", "") == outcome_or_fault);
    return matching;
  }

  Day day;
  std::string file;
  emulator::Network reactor{1};
  VirtualTimeDriver driver{reactor};
  NullEventLog silent;
  std::unique_ptr<simulation::Record> record;
  std::unique_ptr<simulation::DiscoveryServer> discovery;
  std::unique_ptr<simulation::SimulatedServers> servers;
  std::unique_ptr<router::RouterProcess> router;
  std::vector<nlohmann::json> records;
  checker::Verdict verdict;
};

struct FaultCase {
  FaultKind kind;
  const char* outcome_or_fault;  // that the servers' records must contain; empty: any
};
class RouterFaultTest : public testing::TestWithParam<FaultCase> {};

// Two of four servers fail while clients send requests of all three kinds of retry safety: idempotent, keyed
// and at most once.
TEST_P(RouterFaultTest, KeepsAllRules) {
  Day day = small_day();
  day.faults.push_back({GetParam().kind, 3'000, 15'000, 3, {day.servers[0].id, day.servers[1].id}});
  RouterScenario scenario(day);
  scenario.play();
  EXPECT_TRUE(scenario.verdict.good()) << checker::as_text(scenario.verdict);
  EXPECT_GT(scenario.verdict.outcomes["honoured"], 30) << checker::as_text(scenario.verdict);
  if (*GetParam().outcome_or_fault != 0) {
    EXPECT_GT(scenario.attempts_with(GetParam().outcome_or_fault), 0) << GetParam().outcome_or_fault;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, RouterFaultTest,
    testing::Values(FaultCase{FaultKind::silence, "silent"}, FaultCase{FaultKind::mute_head, "mute-head"},
                    FaultCase{FaultKind::mute_half, "mute-half"}, FaultCase{FaultKind::reset, "reset"},
                    FaultCase{FaultKind::refuse, ""}, FaultCase{FaultKind::slow, ""},
                    FaultCase{FaultKind::fail_fast, "error"}, FaultCase{FaultKind::crash, ""},
                    FaultCase{FaultKind::lose_answers, "lost-answer"},
                    FaultCase{FaultKind::byte_at_a_time, "answered"},
                    FaultCase{FaultKind::garbage, "garbage"},
                    FaultCase{FaultKind::close_on_use, "closed-on-use"}, FaultCase{FaultKind::drain, ""},
                    FaultCase{FaultKind::discovery_contradiction, ""}));

TEST(RouterTest, SendsNeitherRequestsNorPrewarmOrdersToADrainingServer) {
  RouterScenario scenario(small_day());
  const std::string draining = scenario.day.servers[0].id;
  nlohmann::json entry = nlohmann::json::parse(scenario.servers->entry(draining));
  entry["condition"] = "draining";
  scenario.discovery->announce(entry);
  scenario.driver.run_for(1'000);
  const std::int64_t announced = scenario.reactor.clock_ns();
  scenario.play();
  EXPECT_TRUE(scenario.verdict.good()) << checker::as_text(scenario.verdict);
  for (const auto& line : scenario.records) {
    const std::string what = line.value("what", "");
    if (what != "shot" && what != "order") continue;
    EXPECT_FALSE(line.value("server", "") == draining && line.value("at", std::int64_t{0}) > announced)
        << line.dump();
  }
}

TEST(RouterTest, RunsNothingAtAnAddressThatBelongsToAnotherServer) {
  RouterScenario scenario(small_day());
  nlohmann::json entry = nlohmann::json::parse(scenario.servers->entry(scenario.day.servers[0].id));
  entry["address"] = scenario.servers->address(scenario.day.servers[1].id).toString();
  scenario.discovery->send_now(
      {{"form", "changes"}, {"revision", 9}, {"servers", nlohmann::json::array({entry})}});
  ASSERT_TRUE(scenario.router_uses_address(scenario.day.servers[0].id,
                                           scenario.servers->address(scenario.day.servers[1].id).toString()));
  scenario.play();
  EXPECT_TRUE(scenario.verdict.good()) << checker::as_text(scenario.verdict);
  int misdirected = 0;
  for (const auto& line : scenario.records) misdirected += line.value("refusal", "") == "misdirected";
  EXPECT_GT(misdirected, 0);
  for (const auto& line : scenario.records) {
    if (line.value("what", "") == "ran") {
      EXPECT_NE(line.value("server", ""), scenario.day.servers[0].id);
    }
  }
  EXPECT_GT(scenario.verdict.outcomes["honoured"], 60) << checker::as_text(scenario.verdict);
}

TEST(RouterTest, KeepsTheEndpointListThroughADiscoveryOutage) {
  Day day = small_day();
  day.faults.push_back({FaultKind::discovery_outage, 2'000, 8'000, 1, {}});
  RouterScenario scenario(day);
  scenario.play();
  EXPECT_TRUE(scenario.verdict.good()) << checker::as_text(scenario.verdict);
  EXPECT_GT(scenario.verdict.outcomes["honoured"], 60) << checker::as_text(scenario.verdict);
  int complete_lists = 0;
  for (const auto& line : scenario.records)
    complete_lists += line.value("what", "") == "told" && line.value("complete", false);
  EXPECT_GE(complete_lists, 2);  // the router asks for the list again after the outage
}

// Discovery is unavailable for nine minutes. Meanwhile one server dies, which shows only as failed
// connections, and another starts to drain, which the router cannot learn before discovery returns.
TEST(RouterTest, KeepsTheListDuringALongDiscoveryOutageAndFollowsTheNewOneAtOnce) {
  constexpr Time second = 10'000, outage_start = 10 * second, outage_span = 540 * second;
  Day day = small_day();
  day.events = 1'200;
  day.rate = 2;
  const std::string dead = day.servers[0].id, draining = day.servers[1].id;
  day.faults = {{FaultKind::discovery_outage, outage_start, outage_span, 1, {}},
                {FaultKind::crash, 60 * second, 800 * second, 1, {dead}},
                {FaultKind::drain, 200 * second, 800 * second, 1, {draining}}};
  RouterScenario scenario(day);
  const std::int64_t start = scenario.reactor.clock_ns();
  scenario.play();
  EXPECT_TRUE(scenario.verdict.good()) << checker::as_text(scenario.verdict);
  EXPECT_GT(scenario.verdict.outcomes["honoured"], 1'180) << checker::as_text(scenario.verdict);
  const std::int64_t back = start + (outage_start + outage_span) * 100'000,
                     at_once = 10'000'000;  // nanoseconds
  std::int64_t list_received = 0;
  for (const auto& line : scenario.records) {
    if (line.value("what", "") == "told" && line.value("at", std::int64_t{0}) >= back && list_received == 0)
      list_received = line.value("at", std::int64_t{0});
  }
  ASSERT_GT(list_received, 0);
  EXPECT_LT(list_received - back, std::int64_t{3'100'000'000})
      << "the router asks for the list again soon after the return";
  int attempts_before = 0;
  for (const auto& line : scenario.records) {
    if (line.value("what", "") != "shot" || line.value("server", "") != draining) continue;
    const std::int64_t at = line.value("at", std::int64_t{0});
    attempts_before += at < list_received ? 1 : 0;
    EXPECT_LT(at, list_received + at_once) << line.dump();
  }
  EXPECT_GT(attempts_before, 100) << "the draining server is still used while discovery is unavailable";
  const auto failed_connections =
      scenario.router->gateway().tally().outcomes[static_cast<std::size_t>(AttemptOutcome::connect_failed)];
  EXPECT_GT(failed_connections, 0U);
  EXPECT_LT(failed_connections, 60U)
      << "of about 270 attempts that would have gone to the dead server in nine minutes";
}

TEST(RouterTest, ServesFromTheSavedListWhileDiscoveryIsUnavailable) {
  const std::string file =
      testing::TempDir() + "rushhill-remembered-" + std::to_string(transport::monotonic_ns());
  RouterScenario scenario(small_day());
  std::ofstream(file) << R"({"form":"complete","revision":1,"servers":[)"
                      << scenario.servers->entry(scenario.day.servers[2].id) << "]}\n";
  std::string text =
      simulation::deployment_of(scenario.day, 0, {.listen = "127.0.0.1:0", .discovery = "127.0.0.1:1"});
  text.insert(text.find("[roster]\n") + 9, "remembered = " + file + "\n");
  scenario.router = std::make_unique<router::RouterProcess>(
      scenario.reactor, deployment::read_text("f", text), 3, scenario.silent);
  scenario.play();
  EXPECT_GT(scenario.verdict.outcomes["honoured"], 60) << checker::as_text(scenario.verdict);
  EXPECT_EQ(scenario.verdict.rules["1 one final answer"].breaks, 0);
  std::remove(file.c_str());
}

}  // namespace
}  // namespace rushhill
