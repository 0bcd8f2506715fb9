// `rushhill lab run`: a day in virtual time, judged as a day on sockets is.
#pragma once

#include <cstdint>
#include <string>

#include "lab/badday.h"

namespace rushhill::lab {

struct Emulate {
  std::string day_file;  // empty: the scripted bad day, or a grown one where servers are told
  std::int64_t events = 10'000;
  double rate = 300;
  std::uint64_t seed = 1;
  int servers = 0, routers = 0, functions = 100;  // of a grown day; routers also of the scripted one
  std::string folder;                             // keeps the records there; empty: nowhere
  bool judge = true, json = false;
  BadDay among{};  // of it, what is told of the routers
};

int emulate(const Emulate& of);

}  // namespace rushhill::lab
