#include "lab/badday.h"

#include <Poco/Net/DatagramSocket.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

#include "checker/judge.h"
#include "lab/processes.h"
#include "simulation/bad_day.h"
#include "simulation/day.h"
#include "simulation/day_deployment.h"
#include "simulation/day_json.h"
#include "simulation/day_start.h"
#include "simulation/record.h"
#include "simulation/router_faults.h"
#include "transport/reactor.h"

namespace rushhill::lab {
namespace {

namespace fs = std::filesystem;
using simulation::Day;

constexpr int peer_descriptor = 20;            // what a router's datagram socket is handed down as
constexpr std::int64_t lead_ns = 300'000'000;  // from all being ready to the day's start
constexpr const char* storage_faults_variable = "RUSHHILL_STORAGE_FAULTS";  // of the routers' files: a seed
constexpr const char* system_call_faults_variable =
    "RUSHHILL_SYSTEM_CALL_FAULTS";  // of the routers' system calls: a seed
constexpr std::string_view roster_section = "[roster]\n";
constexpr const char* remembered_suffix = ".list";  // of a router's remembered endpoint list
constexpr int grace_seconds = 30;                   // beyond the day's length, before it is called off

std::string text_of(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in.is_open()) throw std::runtime_error(path.string() + ": cannot be read");
  return {std::istreambuf_iterator<char>(in), {}};
}
void write(const fs::path& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  if (!out.flush()) throw std::runtime_error(path.string() + ": cannot be written");
}

// A folder of its own, gone at the end unless it is to be kept.
class Folder {
 public:
  explicit Folder(const std::string& kept) : kept_(!kept.empty()) {
    if (kept_) {
      path_ = kept;
      fs::create_directories(path_);
      for (const char* old : {"clients.jsonl", "servers.jsonl", "roster.jsonl", "broker.jsonl",
                              "routers.jsonl", "start", "tally.jsonl"})
        fs::remove(path_ / old);
      for (const auto& entry : fs::directory_iterator(path_)) {
        if (entry.path().extension() == remembered_suffix) fs::remove(entry.path());
      }
      return;
    }
    std::string pattern = (fs::temp_directory_path() / "rushhill-day-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no folder for the day's records");
    path_ = pattern;
  }
  ~Folder() {
    std::error_code ignored;
    if (!kept_) fs::remove_all(path_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string operator/(const std::string& name) const { return (path_ / name).string(); }

 private:
  fs::path path_;
  bool kept_;
};

// While it lives, what is started has a wall clock that is stepped and waits that end by EINTR, by the
// library that is built with the tests.
class SteppedWallClock {
 public:
  SteppedWallClock(bool on, std::uint64_t seed) : on_(on) {
    if (!on_) return;
    const fs::path shim = fs::path(own_program()).parent_path() / "librushhill_wall_clock_shim.so";
    if (!fs::exists(shim)) throw std::runtime_error(shim.string() + ": is built with RUSHHILL_TESTS");
    setenv("LD_PRELOAD", shim.c_str(), 1);
    setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    setenv("RUSHHILL_WALL_STEP_MS", "500", 1);
    setenv("RUSHHILL_WALL_SEED", std::to_string(seed % 1'000'000'000).c_str(), 1);
    setenv("RUSHHILL_WAIT_EINTR", "1", 1);
  }
  ~SteppedWallClock() {
    if (!on_) return;
    for (const char* name :
         {"LD_PRELOAD", "ASAN_OPTIONS", "RUSHHILL_WALL_STEP_MS", "RUSHHILL_WALL_SEED", "RUSHHILL_WAIT_EINTR"})
      unsetenv(name);
  }
  SteppedWallClock(const SteppedWallClock&) = delete;
  SteppedWallClock& operator=(const SteppedWallClock&) = delete;

 private:
  bool on_;
};

void expect_success(Process& process, int seconds) {
  const ProcessEnd end = process.wait(seconds);
  if (!end.succeeded()) throw std::runtime_error(process.name() + " ended with " + describe(end));
}

struct RouterPlace {
  FreePort port, replica;
  Poco::Net::DatagramSocket peers{transport::numeric_address("127.0.0.1:0")};
  std::unique_ptr<Process> process;
};

class Stage {
 public:
  Stage(const Day& day, const Folder& folder, const std::string& front, bool steps_wall_clock)
      : day_(day), folder_(folder), steps_wall_clock_(steps_wall_clock), record_(folder / "routers.jsonl") {
    write(folder / "day.json", simulation::to_json(day));
    const std::vector<std::string> common{"--day", folder / "day.json", "--start", folder / "start"};
    roster_ = std::make_unique<Process>("roster", joined({"standin", "roster"}, common, "roster.jsonl"),
                                        folder / "roster.log");
    roster_address_ = roster_->ready();
    if (front != "http") {
      broker_ = std::make_unique<Process>("broker", joined({"standin", "broker"}, common, "broker.jsonl"),
                                          folder / "broker.log");
      broker_address_ = broker_->ready();
    }
    std::vector<std::string> of_servers = joined({"standin", "servers"}, common, "servers.jsonl");
    of_servers.insert(of_servers.end(), {"--roster", roster_address_});
    servers_ = std::make_unique<Process>("servers", of_servers, folder / "servers.log");
    servers_->ready();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));  // the servers announce themselves
    for (int i = 0; i < day.routers; ++i) routers_.push_back(std::make_unique<RouterPlace>());
    const bool links = std::ranges::any_of(
        day.faults, [](const auto& fault) { return simulation::is_link_fault(fault.kind); });
    if (day.together && links) {
      std::vector<std::string> of_links{"standin",           "links",   "--day",
                                        folder / "day.json", "--start", folder / "start"};
      for (const auto& place : routers_)
        of_links.insert(of_links.end(), {"--router", place->replica.address().toString()});
      links_ = std::make_unique<Process>("links", of_links, folder / "links.log");
      std::istringstream addresses(links_->ready());
      for (std::string one; addresses >> one;) link_addresses_.push_back(one);
    }
    for (int i = 0; i < day.routers; ++i) start_router(i);
    std::vector<std::string> of_clients = joined({"standin", "clients"}, common, "clients.jsonl");
    for (const auto& place : routers_) {
      place->process->ready();
      of_clients.insert(of_clients.end(), {"--router", place->port.address().toString()});
    }
    if (broker_)
      of_clients.insert(of_clients.end(),
                        {"--broker", broker_address_, "--mqtt", front == "both" ? "0.5" : "1"});
    clients_ = std::make_unique<Process>("clients", of_clients, folder / "clients.log");
    clients_->ready();
  }

  void play() {
    const std::int64_t start = transport::monotonic_ns() + lead_ns;
    simulation::write_start(folder_ / "start", start);
    const std::int64_t last = start + day_.span() * 100'000 + std::int64_t{grace_seconds} * 1'000'000'000;
    std::vector<bool> begun(day_.faults.size()), ended(day_.faults.size());
    while (clients_->running()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      const std::int64_t since = (transport::monotonic_ns() - start) / 100'000;
      if (start + since * 100'000 > last) throw std::runtime_error("the clients did not come to an end");
      for (std::size_t i = 0; i < day_.faults.size(); ++i) {
        const simulation::Fault& fault = day_.faults[i];
        if (!simulation::is_router_fault(fault.kind)) continue;
        // A router is stopped by one fault at a time: of two that overlap, the second begins when the first
        // ends.
        if (!begun[i] && since >= fault.at && !faulty_.contains(fault.router)) {
          begun[i] = true;
          began(fault);
        }
        if (begun[i] && !ended[i] && since >= fault.at + fault.span) {
          ended[i] = true;
          ended_now(fault);
        }
      }
      for (const auto& place : routers_) {
        if (!place->process->running() && std::ranges::count(begun, true) == std::ranges::count(ended, true))
          throw std::runtime_error(place->process->name() + " ended by itself");
      }
    }
    expect_success(*clients_, 1);
    for (std::size_t i = 0; i < day_.faults.size(); ++i) {
      if (begun[i] && !ended[i]) ended_now(day_.faults[i]);
    }
    for (int i = 0; i < day_.routers; ++i) routers_[static_cast<std::size_t>(i)]->process->ask_to_end();
    for (int i = 0; i < day_.routers; ++i) finish_router(i);
    record_.flush();
    for (Process* process : {servers_.get(), roster_.get(), broker_.get(), links_.get()}) {
      if (process == nullptr) continue;
      process->ask_to_end();
      expect_success(*process, 10);
    }
  }

 private:
  void began(const simulation::Fault& fault) {
    faulty_.insert(fault.router);
    since_[fault.router] = transport::monotonic_ns();
    Process& process = *routers_.at(static_cast<std::size_t>(fault.router))->process;
    if (fault.kind == simulation::FaultKind::router_restart) process.ask_to_end();
    if (fault.kind == simulation::FaultKind::router_kill) process.crash();
    if (fault.kind == simulation::FaultKind::router_stall) process.stall(true);
  }
  void ended_now(const simulation::Fault& fault) {
    faulty_.erase(fault.router);
    std::int64_t until = transport::monotonic_ns();  // a router that was stopped does nothing before
    if (fault.kind == simulation::FaultKind::router_stall) {
      routers_[static_cast<std::size_t>(fault.router)]->process->stall(false);
    } else {
      if (fault.kind == simulation::FaultKind::router_restart) finish_router(fault.router);
      start_router(fault.router);
      routers_[static_cast<std::size_t>(fault.router)]->process->ready();
      until = transport::monotonic_ns();
    }
    record_.line({{"what", "router"},
                  {"router", fault.router},
                  {"kind", simulation::name_of(fault.kind)},
                  {"from", since_[fault.router]},
                  {"to", until}});
  }

  std::vector<std::string> joined(std::vector<std::string> first, const std::vector<std::string>& common,
                                  const char* record) const {
    first.insert(first.end(), common.begin(), common.end());
    first.insert(first.end(), {"--record", folder_ / record});
    return first;
  }

  void start_router(int number) {
    std::vector<std::string> peers;
    std::vector<std::string> replicas;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      const RouterPlace& place = *routers_[i];
      peers.push_back(place.peers.address().toString());
      const bool linked = !link_addresses_.empty() && static_cast<int>(i) != number;
      const std::size_t way = static_cast<std::size_t>(number) * routers_.size() + i;
      if (day_.together)
        replicas.push_back(linked ? link_addresses_[way] : place.replica.address().toString());
    }
    const std::string name = "router-" + std::to_string(number);
    RouterPlace& place = *routers_[static_cast<std::size_t>(number)];
    const std::string file = folder_ / (name + ".ini");
    std::string deployment =
        simulation::deployment_of(day_, number,
                                  {.listen = place.port.address().toString(),
                                   .discovery = roster_address_,
                                   .peer_listen = "fd:" + std::to_string(peer_descriptor),
                                   .peers = peers,
                                   .broker = broker_address_,
                                   .replicas = replicas});
    if (std::getenv(storage_faults_variable) != nullptr)
      deployment.insert(deployment.find(roster_section) + roster_section.size(),
                        "remembered = " + (folder_ / (name + remembered_suffix)) + "\n");
    write(file, deployment);
    const SteppedWallClock stepped(steps_wall_clock_, day_.seed + static_cast<std::uint64_t>(number));
    place.process = std::make_unique<Process>(
        name, std::vector<std::string>{"serve", file, "--tally", folder_ / "tally.jsonl"},
        folder_ / (name + ".log"),
        std::vector<std::pair<int, int>>{{static_cast<int>(place.peers.impl()->sockfd()), peer_descriptor}});
  }

  void finish_router(int number) { expect_success(*routers_[static_cast<std::size_t>(number)]->process, 15); }

  Day day_;
  const Folder& folder_;
  bool steps_wall_clock_;
  std::string roster_address_;
  std::vector<std::unique_ptr<RouterPlace>> routers_;
  std::unique_ptr<Process> roster_, broker_, servers_, clients_, links_;
  std::vector<std::string> link_addresses_;  // by from and to
  simulation::Record record_;
  std::map<int, std::int64_t> since_;  // when a router's present trouble began
  std::set<int> faulty_;               // routers that a fault has stopped
  std::string broker_address_;
};

int judge_folder(const std::string& day_file, const std::vector<std::string>& record_files, bool json) {
  std::vector<nlohmann::json> records;
  for (const std::string& file : record_files) {
    std::ifstream in(file);
    if (!in.is_open() && (file.ends_with("broker.jsonl") || file.ends_with("routers.jsonl")))
      continue;  // a day without a broker, or without faults among routers
    if (!in.is_open()) throw std::runtime_error(file + ": cannot be read");
    for (nlohmann::json& record : checker::read_records(in, file)) records.push_back(std::move(record));
  }
  const checker::Verdict verdict = checker::judge(nlohmann::json::parse(text_of(day_file)), records);
  if (json) {
    std::cout << checker::as_json(verdict).dump(2) << '\n';
  } else {
    std::cout << checker::as_text(verdict);
  }
  return verdict.good() ? 0 : 1;
}

}  // namespace

void make_among_routers(Day& day, const BadDay& of) {
  if (of.quiet) day.faults.clear();
  if (of.routers > 0) day.routers = of.routers;
  day.together = day.together || of.together;
  day.repeats = day.repeats || of.repeats;
  if (!of.marks.empty()) day.marks = of.marks;
  const auto has = [&](const char* kind) { return std::ranges::find(of.faults, kind) != of.faults.end(); };
  simulation::add_router_faults(day, {.links = has("links"),
                                      .stalls = has("stalls"),
                                      .crashes = has("crashes"),
                                      .restarts = has("restarts")});
}

int play(const BadDay& of) {
  Day day = of.day_file.empty() ? simulation::scripted_bad_day({.events = of.events,
                                                                .rate = of.rate,
                                                                .seed = of.seed,
                                                                .missing_answers = !of.loads_by_themselves,
                                                                .calm = of.calm})
                                : simulation::day_from_json(text_of(of.day_file));
  make_among_routers(day, of);
  if (std::ranges::find(of.faults, "storage") != of.faults.end())
    setenv(storage_faults_variable, std::to_string(day.seed).c_str(), 1);  // the routers inherit it
  if (std::ranges::find(of.faults, "syscalls") != of.faults.end())
    setenv(system_call_faults_variable, std::to_string(day.seed).c_str(), 1);  // the routers inherit it
  const Folder folder(of.folder);
  {
    Stage stage(day, folder, of.front, std::ranges::find(of.faults, "wallclock") != of.faults.end());
    stage.play();
  }
  return judge_folder(folder / "day.json",
                      {folder / "clients.jsonl", folder / "servers.jsonl", folder / "roster.jsonl",
                       folder / "broker.jsonl", folder / "routers.jsonl"},
                      of.json);
}

int judge(const BadDay& of) {
  const fs::path folder = of.folder;
  return judge_folder((folder / "day.json").string(),
                      {(folder / "clients.jsonl").string(), (folder / "servers.jsonl").string(),
                       (folder / "roster.jsonl").string(), (folder / "broker.jsonl").string(),
                       (folder / "routers.jsonl").string()},
                      of.json);
}

}  // namespace rushhill::lab
