// `rushhill serve`: one router, one process, one thread, until SIGTERM.
#pragma once

#include "command/command.h"

namespace rushhill::command {

Command add_serve(CLI::App& app);

}  // namespace rushhill::command
