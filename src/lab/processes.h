// Child processes of a played day: started with their own executable, told apart by name, ended by id.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <sys/types.h>

#include <string>
#include <vector>

#include "transport/address.h"

namespace rushhill::lab {

// A port that the system chose and that stays ours while nobody listens on it.
class FreePort {
 public:
  FreePort();
  transport::Address address() const { return socket_.address(); }

 private:
  Poco::Net::ServerSocket socket_;
};

// The path of the running program.
std::string own_program();

// How a process ended.
struct ProcessEnd {
  int exit_code = 0;
  int signal = 0;          // that ended it; 0: none
  bool timed_out = false;  // it was killed because it had not ended within its time

  bool succeeded() const { return exit_code == 0 && signal == 0; }
};
// Such as "exit status 4" or "signal 11".
std::string describe(const ProcessEnd& end);

class Process {
 public:
  // Standard error goes to a file; a descriptor may be handed down under a number of the child's.
  Process(std::string name, const std::vector<std::string>& arguments, const std::string& log,
          std::vector<std::pair<int, int>> handed_down = {});
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();  // ends it where it still runs

  // What follows "ready " on its first line; throws where none comes within so many seconds.
  std::string ready(int seconds = 10);
  bool running();
  void ask_to_end();
  void stall(bool on);  // SIGSTOP, SIGCONT
  void crash();         // SIGKILL, and waits for its end
  // Waits for its end, and kills it after so many seconds.
  ProcessEnd wait(int seconds);
  pid_t id() const { return id_; }
  const std::string& name() const { return name_; }

 private:
  std::string name_;
  pid_t id_ = -1;
  int out_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

}  // namespace rushhill::lab
