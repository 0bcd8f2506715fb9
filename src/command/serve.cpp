#include "command/serve.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

#include "core/event_log.h"
#include "log/event_log.h"
#include "router/router_process.h"
#include "standin/faulty_file_system.h"
#include "standin/faulty_system_calls.h"
#include "storage/files.h"
#include "transport/descriptors.h"
#include "transport/loop.h"
#include "transport/reactor.h"

namespace rushhill::command {
namespace {

volatile std::sig_atomic_t asked_to_end = 0;
void on_signal(int) { asked_to_end = 1; }

constexpr const char* storage_faults_variable = "RUSHHILL_STORAGE_FAULTS";

int exit_code(router::RouterProcess& router) { return router.gateway().open_requests() == 0 ? 0 : 3; }

// For acceptance days: files fail by a plan drawn from the seed in the variable and the router's number.
router::StorageAccess storage_access(const transport::Reactor& reactor, int router, core::EventLog& diary) {
  router::StorageAccess access;
  const char* seed = std::getenv(storage_faults_variable);
  if (seed == nullptr) return access;
  diary.write(core::Level::warning, "storage faults are injected", {{"seed", seed}});
  const std::uint64_t drawn_from = std::stoull(seed) * 1'000 + static_cast<std::uint64_t>(router);
  access.files = std::make_shared<standin::FaultyFileSystem>(
      access.files, standin::seeded_storage_faults(drawn_from, [&reactor] { return reactor.now(); }));
  return access;
}

constexpr const char* system_call_faults_variable = "RUSHHILL_SYSTEM_CALL_FAULTS";
constexpr double system_call_fault_rate = 1.0 / 30;

// For acceptance days: system calls that fail, drawn from the seed in the variable and the router's number.
// Nothing: they go as they go.
std::unique_ptr<standin::FaultySystemCalls> faulty_system_calls(int router, core::EventLog& diary) {
  const char* seed = std::getenv(system_call_faults_variable);
  if (seed == nullptr) return nullptr;
  diary.write(core::Level::warning, "system call faults are injected", {{"seed", seed}});
  return std::make_unique<standin::FaultySystemCalls>(std::stoull(seed) * 1'000 +
                                                      static_cast<std::uint64_t>(router));
}

}  // namespace

int serve(const deployment::DeploymentConfiguration& configuration, const std::string& tally_path) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  log::EventLog diary(configuration.log_json ? log::Form::json : log::Form::people,
                      configuration.least_log_level,
                      "router-" + std::to_string(configuration.routing.router_number));
  const std::uint64_t seed = configuration.seed != 0
                                 ? configuration.seed
                                 : static_cast<std::uint64_t>(std::random_device{}()) << 20U;
  const auto faulty_calls = faulty_system_calls(configuration.routing.router_number, diary);
  transport::Loop reactor(faulty_calls ? *faulty_calls : transport::SystemCalls::real());
  deployment::DeploymentConfiguration counted = configuration;
  counted.descriptors = transport::descriptors_left(0);
  const router::StorageAccess storage = storage_access(reactor, configuration.routing.router_number, diary);
  router::RouterProcess router(reactor, counted, seed, diary, storage);
  std::cout << "ready " << router.address().toString() << std::endl;
  reactor.every_turn([&] {
    if (asked_to_end != 0) router.wind_up([&] { reactor.halt(); });
  });
  if (faulty_calls) faulty_calls->fail_all_at_rate(system_call_fault_rate);
  reactor.run();
  const std::string tally = router.tally();
  diary.write(core::Level::info, "ended", {{"tally", tally}});
  if (tally_path.empty()) return exit_code(router);
  if (const storage::Failure failure = storage::append_to_file(*storage.files, tally_path, tally + "\n"))
    diary.write(core::Level::warning, "counts cannot be written",
                {{"file", tally_path}, {"reason", storage::describe(*failure)}});
  return exit_code(router);
}

}  // namespace rushhill::command
