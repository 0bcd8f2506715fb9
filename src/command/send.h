// `rushhill send`: one event by hand. Its answer is printed.
#pragma once

#include "command/command.h"

namespace rushhill::command {

Command add_send(CLI::App& app);

}  // namespace rushhill::command
