#include "command/serve.h"

#include <csignal>
#include <memory>
#include <random>
#include <string>

#include "command/fault_injection.h"
#include "command/ready_line.h"
#include "core/event_log.h"
#include "deployment/deployment_file.h"
#include "log/event_log.h"
#include "router/router_process.h"
#include "storage/files.h"
#include "transport/descriptors.h"
#include "transport/loop.h"

namespace rushhill::command {
namespace {

constexpr unsigned drawn_seed_shift = 20;

struct ServeOptions {
  std::string deployment_file;
  std::string tally_file;  // empty: the counts are only logged
};

volatile std::sig_atomic_t stop_requested = 0;
void on_stop_signal(int /*number*/) { stop_requested = 1; }

void handle_signals() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, on_stop_signal);
  std::signal(SIGINT, on_stop_signal);
}

std::uint64_t seed_of(const deployment::DeploymentConfiguration& configuration) {
  if (configuration.seed != 0) return configuration.seed;
  return static_cast<std::uint64_t>(std::random_device{}()) << drawn_seed_shift;
}

void append_tally(const std::string& path, const std::string& tally, const router::StorageAccess& storage,
                  core::EventLog& event_log) {
  if (const storage::Failure failure = storage::append_to_file(*storage.files, path, tally + "\n"))
    event_log.write(core::Level::warning, "counts cannot be written",
                    {{"file", path}, {"reason", storage::describe(*failure)}});
}

ExitCode serve(const ServeOptions& options) {
  deployment::DeploymentConfiguration configuration = deployment::read_file(options.deployment_file);
  handle_signals();
  const int number = configuration.routing.router_number;
  log::EventLog event_log(configuration.log_json ? log::Form::json : log::Form::people,
                          configuration.least_log_level, "router-" + std::to_string(number));
  const std::uint64_t seed = seed_of(configuration);
  const auto faulty_calls = faulty_system_calls(number, event_log);
  transport::Loop reactor(faulty_calls ? *faulty_calls : transport::SystemCalls::real());
  configuration.descriptors = transport::descriptors_left(0);
  const router::StorageAccess storage = storage_access(reactor, number, event_log);
  router::RouterProcess router(reactor, configuration, seed, event_log, storage);
  print_ready(router.address().toString());
  reactor.set_iteration_hook([&] {
    if (stop_requested != 0) router.start_draining([&] { reactor.halt(); });
  });
  if (faulty_calls) start_failing(*faulty_calls);
  reactor.run();
  const std::string tally = router.tally();
  event_log.write(core::Level::info, "ended", {{"tally", tally}});
  if (!options.tally_file.empty()) append_tally(options.tally_file, tally, storage, event_log);
  return router.gateway().open_requests() == 0 ? ExitCode::success : ExitCode::requests_open;
}

}  // namespace

Command add_serve(CLI::App& app) {
  const auto options = std::make_shared<ServeOptions>();
  CLI::App* serve_app = app.add_subcommand("serve", "run one router until SIGTERM");
  serve_app->add_option("deployment", options->deployment_file, "the deployment file (INI)")->required();
  serve_app->add_option("--tally", options->tally_file,
                        "append the counts to this file at the end, as a line of JSON");
  return {.app = serve_app, .run = [options] { return serve(*options); }};
}

}  // namespace rushhill::command
