#include "command/node.h"

#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <string>

#include "core/event_log.h"
#include "log/event_log.h"
#include "node/node.h"
#include "node/reloader.h"
#include "transport/descriptors.h"
#include "transport/loop.h"

namespace rushhill::command {
namespace {

volatile std::sig_atomic_t asked_to_end = 0, asked_to_read = 0;
void on_end(int) { asked_to_end = 1; }
void on_read(int) { asked_to_read = 1; }

}  // namespace

int node() {
  // Before anything else: a signal that comes early is kept until the loop runs.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, on_end);
  std::signal(SIGINT, on_end);
  std::signal(SIGHUP, on_read);
  const char* path = std::getenv("PROXY_CONFIG");
  if (path == nullptr)
    throw std::invalid_argument("PROXY_CONFIG is not set: it names the configuration file");
  node::Configuration told = node::read_configuration_file(path);
  log::EventLog diary(log::Form::people, core::Level::info, told.name.empty() ? "node" : told.name);
  transport::Loop reactor;
  told.sockets = transport::descriptors_left(told.sockets);
  node::Node router(reactor, told, diary);
  node::Reloader reloader(reactor, path, diary,
                          [&](const node::Configuration& changed) { router.reconfigure(changed); });
  reactor.every_turn([&] {
    if (asked_to_end != 0) router.wind_up([&] { reactor.halt(); });
    if (asked_to_read == 0) return;
    asked_to_read = 0;
    reloader.reload();
  });
  reactor.run();
  diary.write(core::Level::info, "ended",
              {{"open", std::to_string(router.gateway().open_requests())},
               {"requests", frontends::to_text(router.front().counts())},
               {"attempts_after_cancel", std::to_string(router.gateway().tally().attempts_after_cancel)}});
  reactor.forget_all();
  return 0;
}

}  // namespace rushhill::command
