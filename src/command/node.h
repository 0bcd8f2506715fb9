// `rushhill node`: one router on the platform, in the foreground until SIGTERM; SIGHUP reloads its file.
#pragma once

#include "command/command.h"

namespace rushhill::command {

Command add_node(CLI::App& app);

}  // namespace rushhill::command
