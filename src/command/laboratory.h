// `rushhill lab`: days in virtual time, and figures about the program's parts.
#pragma once

#include "command/command.h"

namespace rushhill::command {

Commands add_laboratory_commands(CLI::App& app);

}  // namespace rushhill::command
