#include "command/node.h"

#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <utility>

#include "core/event_log.h"
#include "log/event_log.h"
#include "node/configuration_reloader.h"
#include "node/node.h"
#include "transport/descriptors.h"
#include "transport/loop.h"

namespace rushhill::command {
namespace {

constexpr const char* configuration_file_variable = "PROXY_CONFIG";

volatile std::sig_atomic_t stop_requested = 0;
volatile std::sig_atomic_t reload_requested = 0;
void on_stop_signal(int /*number*/) { stop_requested = 1; }
void on_reload_signal(int /*number*/) { reload_requested = 1; }

void handle_signals() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, on_stop_signal);
  std::signal(SIGINT, on_stop_signal);
  std::signal(SIGHUP, on_reload_signal);
}

std::string configuration_path() {
  const char* path = std::getenv(configuration_file_variable);
  if (path == nullptr)
    throw std::invalid_argument("PROXY_CONFIG is not set: it names the configuration file");
  return path;
}

void log_end(core::EventLog& event_log, node::Node& router) {
  event_log.write(
      core::Level::info, "ended",
      {{"open", std::to_string(router.gateway().open_requests())},
       {"requests", frontends::to_text(router.front().counts())},
       {"attempts_after_cancel", std::to_string(router.gateway().tally().attempts_after_cancel)}});
}

ExitCode run_node() {
  handle_signals();  // before anything else: a signal that comes early is kept until the loop runs
  const std::string path = configuration_path();
  node::Configuration configuration = node::read_configuration_file(path);
  log::EventLog event_log(log::Form::people, core::Level::info,
                          configuration.name.empty() ? "node" : configuration.name);
  transport::Loop reactor;
  configuration.sockets = transport::descriptors_left(configuration.sockets);
  node::Node router(reactor, std::move(configuration), event_log);
  node::ConfigurationReloader reloader(
      reactor, path, event_log, [&](const node::Configuration& changed) { router.reconfigure(changed); });
  reactor.set_iteration_hook([&] {
    if (stop_requested != 0) router.start_draining([&] { reactor.halt(); });
    if (reload_requested == 0) return;
    reload_requested = 0;
    reloader.reload();
  });
  reactor.run();
  log_end(event_log, router);
  reactor.drop_pending_calls();
  return ExitCode::success;
}

}  // namespace

Command add_node(CLI::App& app) {
  CLI::App* node_app = app.add_subcommand(
      "node", "run one router on the platform until SIGTERM, as the file that PROXY_CONFIG names tells");
  return {.app = node_app, .run = run_node, .descriptors = DescriptorLimit::kept};
}

}  // namespace rushhill::command
