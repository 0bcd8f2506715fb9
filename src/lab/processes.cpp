#include "lab/processes.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <climits>
#include <csignal>
#include <stdexcept>
#include <thread>
#include <utility>

extern char** environ;

namespace rushhill::lab {

using Clock = std::chrono::steady_clock;

FreePort::FreePort() { socket_.bind(transport::numeric_address("127.0.0.1:0"), true, true); }

std::string own_program() {
  std::array<char, PATH_MAX> path{};
  const auto length = readlink("/proc/self/exe", path.data(), path.size() - 1);
  if (length <= 0) throw std::runtime_error("the running program cannot be found");
  return {path.data(), static_cast<std::size_t>(length)};
}

Process::Process(std::string name, const std::vector<std::string>& arguments, const std::string& log,
                 std::vector<std::pair<int, int>> handed_down)
    : name_(std::move(name)) {
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) throw std::runtime_error("no pipe to be had");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], 1);
  posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  for (const auto& [ours, theirs] : handed_down) posix_spawn_file_actions_adddup2(&actions, ours, theirs);
  std::vector<std::string> words{own_program()};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> raw;
  for (std::string& word : words) raw.push_back(word.data());
  raw.push_back(nullptr);
  const int failed = posix_spawn(&id_, words.front().c_str(), &actions, nullptr, raw.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  out_ = ends[0];
  if (failed != 0) throw std::runtime_error(name_ + " could not be started");
}

Process::~Process() {
  if (running()) {
    kill(id_, SIGKILL);
    waitpid(id_, &status_, 0);
  }
  close(out_);
}

std::string Process::ready(int seconds) {
  std::string line;
  const auto end = Clock::now() + std::chrono::seconds(seconds);
  while (Clock::now() < end) {
    pollfd ask{out_, POLLIN, 0};
    if (poll(&ask, 1, 100) <= 0) continue;
    char byte = 0;
    if (read(out_, &byte, 1) != 1) break;
    if (byte != '\n') {
      line += byte;
      continue;
    }
    if (line.starts_with("ready")) return line.size() > 6 ? line.substr(6) : "";
    line.clear();
  }
  throw std::runtime_error(name_ + " did not get ready");
}

bool Process::running() {
  if (!ended_) ended_ = waitpid(id_, &status_, WNOHANG) == id_;
  return !ended_;
}

void Process::ask_to_end() {
  if (running()) kill(id_, SIGTERM);
}

void Process::stall(bool on) {
  if (running()) kill(id_, on ? SIGSTOP : SIGCONT);
}

void Process::crash() {
  if (!running()) return;
  kill(id_, SIGKILL);
  waitpid(id_, &status_, 0);
  ended_ = true;
}

ProcessEnd Process::wait(int seconds) {
  const auto end = Clock::now() + std::chrono::seconds(seconds);
  while (running() && Clock::now() < end) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  const bool timed_out = running();
  if (timed_out) crash();
  if (WIFEXITED(status_)) return {.exit_code = WEXITSTATUS(status_)};
  return {.signal = WTERMSIG(status_), .timed_out = timed_out};
}

std::string describe(const ProcessEnd& end) {
  if (end.signal == 0) return "exit status " + std::to_string(end.exit_code);
  return "signal " + std::to_string(end.signal) + (end.timed_out ? ", as it did not end in time" : "");
}

}  // namespace rushhill::lab
