// The line by which a process says that it can be reached; whoever started it waits for the line.
#pragma once

#include <string>

namespace rushhill::command {

// `ready`, or `ready REST`, on standard output, at once.
void print_ready(const std::string& rest = "");

}  // namespace rushhill::command
