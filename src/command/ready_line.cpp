#include "command/ready_line.h"

#include <iostream>

namespace rushhill::command {

void print_ready(const std::string& rest) {
  std::cout << "ready" << (rest.empty() ? "" : " ") << rest << '\n' << std::flush;
}

}  // namespace rushhill::command
