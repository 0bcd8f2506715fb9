#include "command/version.h"

#include <iostream>

namespace rushhill::command {
namespace {

constexpr const char* version = "0.2.0";

ExitCode print_version() {
  std::cout << "rushhill " << version << '\n';
  return ExitCode::success;
}

}  // namespace

Command add_version(CLI::App& app) {
  return {.app = app.add_subcommand("version", "print the version"), .run = print_version};
}

}  // namespace rushhill::command
