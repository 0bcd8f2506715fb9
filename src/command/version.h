// `rushhill version`.
#pragma once

#include "command/command.h"

namespace rushhill::command {

Command add_version(CLI::App& app);

}  // namespace rushhill::command
