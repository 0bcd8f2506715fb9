// `rushhill send`: one event by hand.
#pragma once

#include <string>

namespace rushhill::command {

struct Sending {
  std::string to{}, type{}, function{}, customer{}, id{}, source = "/rushhill/send", data{};
  int within_ms = 5000;
};

// Prints the answer; 0 honoured, 1 not, 4 no answer.
int send(const Sending& sending);

}  // namespace rushhill::command
