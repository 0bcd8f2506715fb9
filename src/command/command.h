// A sub-command: how it hangs in the command line, and what it does.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <vector>

#include "command/exit_code.h"

namespace rushhill::command {

// How many file descriptors a sub-command lets itself have.
enum class DescriptorLimit : unsigned char {
  raised,  // as many as the system lets an ordinary user have
  kept,    // as its environment set it
};

// One sub-command, registered.
struct Command {
  const CLI::App* app;            // parsed() says whether it was called; owned by the app it was added to
  std::function<ExitCode()> run;  // holds the options; throws what main() turns into a line and a code
  DescriptorLimit descriptors = DescriptorLimit::raised;
};

using Commands = std::vector<Command>;

// What a part of the laboratory returns: 0 where all is well.
inline ExitCode laboratory_exit_code(int code) { return static_cast<ExitCode>(code); }

}  // namespace rushhill::command
