#include "command/check.h"

#include <iostream>
#include <memory>
#include <string>

#include "deployment/deployment_file.h"

namespace rushhill::command {
namespace {

ExitCode check(const std::string& path) {
  const deployment::DeploymentConfiguration configuration = deployment::read_file(path);
  for (const std::string& line : configuration.in_force) std::cout << line << '\n';
  return ExitCode::success;
}

}  // namespace

Command add_check(CLI::App& app) {
  const auto path = std::make_shared<std::string>();
  CLI::App* check_app = app.add_subcommand("check", "check a deployment file and print what is in force");
  check_app->add_option("deployment", *path, "the deployment file (INI)")->required();
  return {.app = check_app, .run = [path] { return check(*path); }};
}

}  // namespace rushhill::command
