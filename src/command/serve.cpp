#include "command/serve.h"

#include <sys/resource.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "core/gateway.h"
#include "core/intake.h"
#include "fronts/http_front.h"
#include "log/diary.h"
#include "membership/roster_client.h"
#include "transport/peer_links.h"
#include "transport/reactor.h"
#include "transport/server_pool.h"

namespace rushhill::command {
namespace {

using core::Level;

constexpr Time look_every = 100;  // tenths of a millisecond between looks whether all is wound up

volatile std::sig_atomic_t asked_to_end = 0;
void on_signal(int) { asked_to_end = 1; }

class NoPeers final : public core::Peers {
 public:
  void tell(int, const std::string&) override {}
};
class NoRoster final : public core::RosterSource {
 public:
  void follow(bool) override {}
  void reload() override {}
};

// The last complete list, read before anything is served; a broken file is told and left alone.
membership::RosterWord recall(const std::string& path, core::Diary& diary) {
  std::ifstream in(path);
  std::string line;
  if (path.empty() || !std::getline(in, line)) return {.form = RosterForm::remembered};
  try {
    membership::RosterWord word = membership::read_word(line, membership::wall_offset_now());
    word.form = RosterForm::remembered;
    return word;
  } catch (const std::invalid_argument& wrong) {
    diary.line(Level::warning, "remembered roster cannot be read",
               {{"file", path}, {"reason", wrong.what()}});
    return {.form = RosterForm::remembered};
  }
}

void remember(const std::string& path, const membership::RosterClient& client) {
  if (path.empty() || !client.heard_any()) return;
  membership::RosterWord word = client.remembered().whole();
  word.form = RosterForm::complete;
  const std::string part = path + ".part";
  std::ofstream(part) << membership::write_word(word, client.wall_offset()) << '\n';
  std::rename(part.c_str(), path.c_str());
}

double cpu_seconds() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  const auto seconds = [](const timeval& of) {
    return static_cast<double>(of.tv_sec) + static_cast<double>(of.tv_usec) / 1e6;
  };
  return seconds(used.ru_utime) + seconds(used.ru_stime);
}

std::string tally_text(const core::Gateway& gateway) {
  const core::Tally& tally = gateway.tally();
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  const nlohmann::json object{
      {"taken", tally.taken},         {"honoured", tally.honoured},
      {"shed", tally.shed},           {"abandoned", tally.abandoned},
      {"gone", tally.gone},           {"refused", tally.refused},
      {"overdue", tally.overdue},     {"shots", tally.shots},
      {"probes", tally.probes},       {"orders", tally.orders},
      {"told", tally.told},           {"endings", tally.endings},
      {"open", gateway.open()},       {"module_seconds", static_cast<double>(gateway.module_ns()) / 1e9},
      {"cpu_seconds", cpu_seconds()}, {"peak_memory_kib", used.ru_maxrss}};
  return object.dump();
}

}  // namespace

int serve(const deployment::Program& program, const std::string& tally_path) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  const Deployment& module = program.module;
  log::Diary diary(program.log_json ? log::Form::json : log::Form::people, program.log_least,
                   "router-" + std::to_string(module.me));
  const std::uint64_t seed =
      program.seed != 0 ? program.seed : static_cast<std::uint64_t>(std::random_device{}()) << 20U;

  transport::Reactor reactor;
  transport::ServerPool pool(reactor,
                             {.router = module.me,
                              .connections = program.links.connections,
                              .connect_limit = module.connect_limit,
                              .idle = module.connection_idle,
                              .reply = program.links.reply},
                             diary);
  core::Gateway* told = nullptr;
  NoPeers no_peers;
  std::unique_ptr<transport::PeerLinks> peers;
  if (module.peers) {
    peers = std::make_unique<transport::PeerLinks>(
        reactor, program.peers.listen, module.me, program.peers.addresses,
        [&](int router, const std::string& bytes) { told->peer_told(router, bytes); });
  }
  NoRoster no_roster;
  std::unique_ptr<membership::RosterClient> roster;
  std::unique_ptr<fronts::HttpFront> front;
  if (!program.roster.address.empty()) {
    roster = std::make_unique<membership::RosterClient>(
        reactor, transport::numeric_address(program.roster.address), module.me, program.roster.retry, seed,
        diary, [&](RosterForm form, const std::vector<core::RosterEntry>& entries) {
          told->roster(form, entries);
          if (form != RosterForm::failed) front->ready(true);
        });
  }
  core::Gateway gateway(module, seed,
                        {.clock = reactor,
                         .carrier = pool,
                         .peers = peers ? static_cast<core::Peers&>(*peers) : no_peers,
                         .roster = roster ? static_cast<core::RosterSource&>(*roster) : no_roster,
                         .diary = diary});
  told = &gateway;
  pool.report_to(gateway);
  const core::Intake intake(module, program.type_of_event);
  front = std::make_unique<fronts::HttpFront>(
      reactor, gateway, intake, diary,
      fronts::HttpRules{.connections = program.http.connections,
                        .body = program.http.body,
                        .batch = program.http.batch,
                        .request_within = program.http.head_within,
                        .idle = program.http.idle,
                        .come_back = module.retry_advice ? module.longest_retry_advice : 0});

  const membership::RosterWord recalled = recall(program.roster.remembered, diary);
  gateway.roster(recalled.form, recalled.entries);
  if (roster && !module.roster_on_request) roster->follow(true);
  const std::string& where = program.http.listen;
  const transport::Address address = where.starts_with("fd:")
                                         ? front->listen_inherited(std::stoi(where.substr(3)))
                                         : front->listen(transport::numeric_address(where), true);
  std::cout << "ready " << address.toString() << std::endl;
  diary.line(Level::info, "serving", {{"address", address.toString()}, {"seed", std::to_string(seed)}});

  Time end_by = 0;
  int result = 0;
  std::function<void()> wait_for_end = [&] {
    const bool done = gateway.open() == 0 && front->connections() == 0;
    if (!done && reactor.now() < end_by) {
      reactor.at(reactor.now() + look_every, wait_for_end);
      return;
    }
    result = gateway.open() == 0 ? 0 : 3;
    reactor.halt();
  };
  reactor.every_turn([&] {
    if (asked_to_end == 0 || end_by != 0) return;
    end_by = reactor.now() + std::max<Time>(program.http.wind_up, 1);
    diary.line(Level::info, "winding up", {{"open", std::to_string(gateway.open())}});
    front->wind_up();
    wait_for_end();
  });
  reactor.run();

  if (roster) remember(program.roster.remembered, *roster);
  const std::string tally = tally_text(gateway);
  diary.line(Level::info, "ended", {{"tally", tally}});
  if (!tally_path.empty()) std::ofstream(tally_path, std::ios::app) << tally << '\n';
  front.reset();
  return result;
}

}  // namespace rushhill::command
