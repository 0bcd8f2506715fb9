#include "command/serve.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <random>

#include "log/diary.h"
#include "router/router_process.h"
#include "transport/descriptors.h"
#include "transport/loop.h"

namespace rushhill::command {
namespace {

volatile std::sig_atomic_t asked_to_end = 0;
void on_signal(int) { asked_to_end = 1; }

}  // namespace

int serve(const deployment::Program& program, const std::string& tally_path) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  log::Diary diary(program.log_json ? log::Form::json : log::Form::people, program.log_least,
                   "router-" + std::to_string(program.module.me));
  const std::uint64_t seed =
      program.seed != 0 ? program.seed : static_cast<std::uint64_t>(std::random_device{}()) << 20U;
  transport::Loop reactor;
  deployment::Program counted = program;
  counted.descriptors = transport::descriptors_left(0);
  router::RouterProcess router(reactor, counted, seed, diary);
  std::cout << "ready " << router.address().toString() << std::endl;
  reactor.every_turn([&] {
    if (asked_to_end != 0) router.wind_up([&] { reactor.halt(); });
  });
  reactor.run();
  const std::string tally = router.tally();
  diary.line(core::Level::info, "ended", {{"tally", tally}});
  if (!tally_path.empty()) std::ofstream(tally_path, std::ios::app) << tally << '\n';
  return router.gateway().open() == 0 ? 0 : 3;
}

}  // namespace rushhill::command
