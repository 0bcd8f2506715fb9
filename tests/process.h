// The program as a process of its own, with limits, inherited descriptors and environment as a story asks.
#pragma once

#include <dirent.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "transport/address.h"

namespace rushhill {

struct Launch {
  std::vector<std::string> arguments{};
  std::map<std::string, std::string> environment{};
  rlim_t descriptors = 0;  // the system's limit; 0: the one of this process
  int inherited = 0;       // descriptors that are open at its start beside the three usual ones
};

class Process {
 public:
  explicit Process(const Launch& launch) {
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    std::vector<char*> arguments{const_cast<char*>("rushhill")};
    for (const std::string& argument : launch.arguments)
      arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    // All that takes memory is done before the fork: another thread may hold it then.
    std::vector<std::string> texts;
    for (const auto& [name, value] : launch.environment) texts.push_back(name + "=" + value);
    std::vector<char*> environment;
    for (std::string& text : texts) environment.push_back(text.data());
    for (char** one = environ; *one != nullptr; ++one) environment.push_back(*one);
    environment.push_back(nullptr);
    id_ = fork();
    if (id_ == 0) {
      dup2(ends[1], STDOUT_FILENO);
      dup2(ends[1], STDERR_FILENO);
      for (int fd = STDERR_FILENO + 1; fd < highest; ++fd) ::close(fd);
      for (int i = 0; i < launch.inherited; ++i) [[maybe_unused]] const int more = dup(STDERR_FILENO);
      const rlimit limit{launch.descriptors, launch.descriptors};
      if (launch.descriptors > 0 && setrlimit(RLIMIT_NOFILE, &limit) != 0) _exit(90);
      execve(RUSHHILL_COMMAND, arguments.data(), environment.data());
      _exit(91);
    }
    ::close(ends[1]);
    log_ = ends[0];
  }
  ~Process() {
    if (!ended()) ::kill(id_, SIGKILL), wait();
    ::close(log_);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Reads what it says up to the line with the words.
  bool says(const std::string& words, int within_ms = 30'000) {
    const std::size_t from = said_.size();
    for (char byte = 0; said_.find(words, from) == std::string::npos || said_.back() != '\n'; said_ += byte) {
      pollfd waiting{.fd = log_, .events = POLLIN, .revents = 0};
      if (poll(&waiting, 1, within_ms) <= 0 || ::read(log_, &byte, 1) != 1) return false;
    }
    return true;
  }
  const std::string& said() const { return said_; }
  // The address behind the words in the last line that it said.
  transport::Address wait_for_address(const std::string& words) {
    if (!says(words)) throw std::runtime_error("never said '" + words + "': " + said_);
    const std::size_t at = said_.find("127.0.0.1:", said_.rfind(words));
    return transport::Address(said_.substr(at, said_.find_first_not_of("0123456789.:", at) - at));
  }
  void signal(int number) const { ::kill(id_, number); }
  bool ended() {
    if (!over_) over_ = waitpid(id_, &status_, WNOHANG) == id_;
    return over_;
  }
  int wait() {
    if (!over_) waitpid(id_, &status_, 0);
    over_ = true;
    return status_;
  }

  std::size_t open_descriptors() const {
    std::size_t count = 0;
    DIR* all = opendir(("/proc/" + std::to_string(id_) + "/fd").c_str());
    if (all == nullptr) return 0;
    while (const dirent* one = readdir(all)) count += one->d_name[0] == '.' ? 0 : 1;
    closedir(all);
    return count;
  }
  // Memory of its own in use, without the program's text and libraries, in kB.
  long anonymous_memory_kb() const {
    std::ifstream in("/proc/" + std::to_string(id_) + "/status");
    const std::string name = "RssAnon:";
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with(name)) return std::strtol(line.c_str() + name.size(), nullptr, 10);
    }
    return 0;
  }
  // Processor time used so far, in seconds.
  double used() const {
    std::ifstream in("/proc/" + std::to_string(id_) + "/stat");
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    std::size_t at = text.rfind(')');
    for (int field = 2; field < 14; ++field) at = text.find(' ', at + 1);
    char* rest = nullptr;
    const auto user = std::strtol(text.c_str() + at, &rest, 10), system = std::strtol(rest, nullptr, 10);
    return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  }

 private:
  static constexpr int highest = 8'192;  // descriptors of the story itself, which are not the program's
  std::string said_;
  pid_t id_ = -1;
  int log_ = -1, status_ = 0;
  bool over_ = false;
};

}  // namespace rushhill
