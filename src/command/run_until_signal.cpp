#include "command/run_until_signal.h"

#include <csignal>

namespace rushhill::command {
namespace {

transport::Reactor* halted_by_signal = nullptr;

void on_signal(int /*number*/) {
  if (halted_by_signal != nullptr) halted_by_signal->halt();
}

}  // namespace

void run_until_signal(transport::Reactor& reactor) {
  std::signal(SIGPIPE, SIG_IGN);
  halted_by_signal = &reactor;
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  reactor.run();
}

}  // namespace rushhill::command
