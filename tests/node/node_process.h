// Runs `rushhill node` as a separate process, with a configuration file of its own.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <utility>

#include "process.h"

namespace rushhill::node {

class NodeProcess {
 public:
  explicit NodeProcess(const std::string& configuration, std::map<std::string, std::string> environment = {})
      : path_(new_path()), process_((write_configuration(configuration), launch(std::move(environment)))) {}
  ~NodeProcess() { std::remove(path_.c_str()); }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // Waits until the router listens, and returns its address.
  transport::Address address() { return process_.wait_for_address("serving"); }
  // Replaces the configuration file without notifying the process.
  void write_configuration(const std::string& configuration) const { std::ofstream(path_) << configuration; }
  void reload(const std::string& configuration) const {
    write_configuration(configuration);
    process_.signal(SIGHUP);
  }
  bool wait_for_log(const std::string& text) { return process_.says(text); }
  // Whether a line with the text is among those that were not read before.
  bool has_logged(const std::string& text) { return process_.says(text, 0); }
  const std::string& output() const { return process_.said(); }
  void signal(int number) const { process_.signal(number); }
  int wait() { return process_.wait(); }
  bool has_exited() { return process_.ended(); }
  bool exits_successfully() {
    const int status = wait();
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }
  double processor_seconds() const { return process_.used(); }
  long anonymous_memory_kb() const { return process_.anonymous_memory_kb(); }

 private:
  Launch launch(std::map<std::string, std::string> environment) const {
    environment["PROXY_CONFIG"] = path_;
    return {.arguments = {"node"}, .environment = std::move(environment)};
  }
  static std::string new_path() {
    static int number = 0;
    return testing::TempDir() + "node-" + std::to_string(getpid()) + "-" + std::to_string(number++) + ".json";
  }

  std::string path_;
  Process process_;
};

}  // namespace rushhill::node
