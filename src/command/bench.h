// `rushhill bench`: what a router adds to a request, and its memory.
#pragma once

#include "command/command.h"

namespace rushhill::command {

Command add_bench(CLI::App& app);

}  // namespace rushhill::command
