// `rushhill bench`: what the router adds, in one run: client to server directly, through one router process,
// through several on one port; and its memory with many events open.
#pragma once

namespace rushhill::lab {

struct Bench {
  int seconds = 3;       // of each measurement
  int connections = 32;  // of the client
  int processes = 4;     // routers on one port in the third measurement
  bool mqtt = true, memory = true;
  bool flood = false;  // instead: how HTTP and a quiet topic fare beside a topic that floods
};

int bench(const Bench& how);

}  // namespace rushhill::lab
