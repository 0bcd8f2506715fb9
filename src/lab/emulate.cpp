#include "lab/emulate.h"

#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

#include "checker/judge.h"
#include "emulator/emulation.h"
#include "simulation/bad_day.h"
#include "simulation/day.h"
#include "simulation/day_json.h"
#include "simulation/grown_day.h"

namespace rushhill::lab {
namespace {

using Json = nlohmann::json;

simulation::Day day_of(const Emulate& of) {
  if (!of.day_file.empty()) {
    std::ifstream in(of.day_file, std::ios::binary);
    if (!in.is_open()) throw std::runtime_error(of.day_file + ": cannot be read");
    return simulation::day_from_json(std::string{std::istreambuf_iterator<char>(in), {}});
  }
  if (of.servers == 0)
    return simulation::scripted_bad_day({.events = of.events, .rate = of.rate, .seed = of.seed});
  return simulation::grown_day({.servers = of.servers,
                                .routers = of.routers == 0 ? 4 : of.routers,
                                .functions = of.functions,
                                .events = of.events,
                                .rate = of.rate,
                                .seed = of.seed});
}

void print(const emulator::Spent& spent, const std::string& trace) {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  const double events = static_cast<double>(spent.tally.accepted);
  std::cout << std::fixed << std::setprecision(1) << spent.virtual_seconds << " s of virtual time in "
            << spent.real_seconds << " s, " << spent.virtual_seconds / spent.real_seconds
            << " virtual seconds a real one; " << std::setprecision(0) << spent.real_seconds / events * 1e6
            << " us an event, of them the module " << spent.module_seconds / events * 1e6 << "; "
            << std::setprecision(1) << static_cast<double>(spent.happenings) / events
            << " happenings an event; peak memory " << static_cast<double>(used.ru_maxrss) / 1024
            << " MiB\nrouters: taken " << spent.tally.accepted << ", shots " << spent.tally.attempts
            << ", orders " << spent.tally.prewarms << ", probes " << spent.tally.probes << ", words to peers "
            << spent.tally.gossip_messages << ", overdue " << spent.tally.expired << "\ntrace " << trace
            << '\n';
}

}  // namespace

int emulate(const Emulate& of) {
  simulation::Day day = day_of(of);
  BadDay among = of.among;
  if (of.servers == 0) among.routers = of.routers;
  make_among_routers(day, among);
  simulation::Record record(of.folder.empty() ? "" : of.folder + "/emulated.jsonl");
  if (!of.folder.empty()) {
    std::filesystem::create_directories(of.folder);
    std::ofstream(of.folder + "/day.json") << simulation::to_json(day);
  }
  std::vector<Json> seen;
  record.keep(of.judge ? &seen : nullptr);
  emulator::Emulation emulation(day, record);
  const emulator::Spent spent = emulation.run();
  print(spent, record.digest());
  if (!of.judge) return 0;
  const checker::Verdict verdict = checker::judge(Json::parse(simulation::to_json(day)), seen);
  if (of.json) {
    std::cout << checker::as_json(verdict).dump(2) << '\n';
  } else {
    std::cout << checker::as_text(verdict);
  }
  return verdict.good() ? 0 : 1;
}

}  // namespace rushhill::lab
