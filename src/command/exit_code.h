// What the program's exit code says.
#pragma once

namespace rushhill::command {

// Scripts read these: they stay as they are.
enum class ExitCode : signed char {
  success = 0,
  not_kept = 1,       // a rule was broken or an event not answered as wanted, where that was asked
  wrong_use = 2,      // of the command line, or a file that is refused
  requests_open = 3,  // at the end
  unavailable = 4,    // something could not be opened or reached
};

}  // namespace rushhill::command
