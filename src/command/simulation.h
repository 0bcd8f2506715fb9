// `rushhill standin`: the parts of a simulated day, a process each: discovery, model servers, broker,
// clients, and the links between routers.
#pragma once

#include "command/command.h"

namespace rushhill::command {

// Adds them to `app`, which is that sub-command.
Commands add_simulation_commands(CLI::App& app);

}  // namespace rushhill::command
