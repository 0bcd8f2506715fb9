// `rushhill standin echo`, `pump` and `mqtt-pump`: the two ends of a bench, a process each.
#pragma once

#include "command/command.h"

namespace rushhill::command {

// Adds them to `app`, the sub-command `standin`.
Commands add_bench_end_commands(CLI::App& app);

}  // namespace rushhill::command
