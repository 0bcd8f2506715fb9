// `rushhill check`: a deployment file with every default, or all that is wrong in it.
#pragma once

#include "command/command.h"

namespace rushhill::command {

Command add_check(CLI::App& app);

}  // namespace rushhill::command
