// `rushhill node` as a process of its own, with the configuration file that it reads.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "process.h"

namespace rushhill::node {

class NodeProcess {
 public:
  explicit NodeProcess(const std::string& configuration)
      : path_(new_path()),
        process_((write(configuration),
                  Launch{.arguments = {"node"}, .environment = {{"PROXY_CONFIG", path_}}})) {}
  ~NodeProcess() { std::remove(path_.c_str()); }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // Where it listens; waits until it does.
  transport::Address address() { return process_.address_after("serving"); }
  // Replaces the configuration's file, without a word to the process.
  void write(const std::string& configuration) const { std::ofstream(path_) << configuration; }
  void reload(const std::string& configuration) const {
    write(configuration);
    process_.signal(SIGHUP);
  }
  bool says(const std::string& words) { return process_.says(words); }
  const std::string& said() const { return process_.said(); }
  void signal(int number) const { process_.signal(number); }
  int wait() { return process_.wait(); }
  bool ended() { return process_.ended(); }
  bool ended_well() {
    const int status = wait();
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }
  double processor_seconds() const { return process_.used(); }

 private:
  static std::string new_path() {
    static int number = 0;
    return testing::TempDir() + "node-" + std::to_string(getpid()) + "-" + std::to_string(number++) + ".json";
  }

  std::string path_;
  Process process_;
};

}  // namespace rushhill::node
