// The program: its sub-commands, and what an error of any of them prints and returns.
#include <Poco/Exception.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <stdexcept>

#include "command/bad_day.h"
#include "command/bench.h"
#include "command/bench_ends.h"
#include "command/check.h"
#include "command/command.h"
#include "command/laboratory.h"
#include "command/node.h"
#include "command/send.h"
#include "command/serve.h"
#include "command/simulation.h"
#include "command/version.h"
#include "deployment/faults.h"

namespace rushhill::command {
namespace {

constexpr const char* exit_codes_help =
    "Exit codes: 0 good; 1 a rule broken or an event not honoured; 2 wrong use or a refused file;\n"
    "3 events still open at the end; 4 something could not be opened or reached.";

void raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

void append(Commands& commands, Commands more) {
  for (Command& command : more) commands.push_back(std::move(command));
}

// In the order in which --help lists them.
Commands add_commands(CLI::App& app) {
  Commands commands{add_serve(app), add_node(app), add_check(app)};
  CLI::App* simulation = app.add_subcommand("standin", "the stand-ins: roster, model servers, clients");
  simulation->require_subcommand(1);
  append(commands, add_simulation_commands(*simulation));
  append(commands, add_bench_end_commands(*simulation));
  append(commands, {add_bench(app), add_send(app), add_bad_day(app), add_judge(app)});
  append(commands, add_laboratory_commands(app));
  commands.push_back(add_version(app));
  return commands;
}

ExitCode run(const Command& command) {
  if (command.descriptors == DescriptorLimit::raised) raise_descriptor_limit();
  return command.run();
}

ExitCode parse_and_run(int argc, char** argv) {
  CLI::App app("rushhill: a gateway that runs calls on model servers which load functions on demand");
  app.require_subcommand(1);
  app.footer(exit_codes_help);
  const Commands commands = add_commands(app);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? ExitCode::success : ExitCode::wrong_use;  // --help is such an error, too
  }
  for (const Command& command : commands) {
    if (command.app->parsed()) return run(command);
  }
  return ExitCode::success;
}

// Prints what went wrong. Only while an exception is handled.
ExitCode report_current_exception() {
  try {
    throw;
  } catch (const deployment::BadFile& bad) {
    std::cerr << bad.what() << '\n';
    return ExitCode::wrong_use;
  } catch (const std::invalid_argument& bad) {
    std::cerr << "rushhill: " << bad.what() << '\n';
    return ExitCode::wrong_use;
  } catch (const Poco::Exception& bad) {
    std::cerr << "rushhill: " << bad.displayText() << '\n';
    return ExitCode::unavailable;
  } catch (const std::exception& bad) {
    std::cerr << "rushhill: " << bad.what() << '\n';
    return ExitCode::unavailable;
  }
}

}  // namespace
}  // namespace rushhill::command

int main(int argc, char** argv) {
  using namespace rushhill::command;
  try {
    return static_cast<int>(parse_and_run(argc, argv));
  } catch (...) {
    return static_cast<int>(report_current_exception());
  }
}
